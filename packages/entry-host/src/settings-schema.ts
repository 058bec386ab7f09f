import {z} from 'zod';

/** IPv4 address and port. */
const addressSchema = z
  .string()
  .regex(
    /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/,
    'must be an IPv4 address and a port',
  );

/** Settings of an entry host that sends requests directly to the servers. */
export const entryHostSettingsSchema = z.object({
  /** Name of this machine, unique in the deployment. */
  host: z.string().min(1),
  /** Availability zone of this machine. */
  zone: z.string().min(1),
  /** Address where callers connect. */
  callerAddress: addressSchema,
  /** Address of the platform's readiness checks. */
  readinessAddress: addressSchema,
  /** Address of the address directory for callers. */
  directoryAddress: addressSchema,
  /** Address where other entry hosts connect. */
  peerAddress: addressSchema,
  /**
   * Address where this host relays connections of hosts that can't reach
   * servers; if absent, it relays none.
   */
  relayAddress: addressSchema.optional(),
  /** Peer addresses of some hosts, possibly outdated, for discovery. */
  seeds: z.array(addressSchema),
  /** Address where metrics are served; if absent, they are not served. */
  metricsAddress: addressSchema.optional(),
  /** Address of the platform's metadata store. */
  storeAddress: addressSchema,
  /** Maximum lifetime of a response of the address directory, seconds. */
  addressLifetimeS: z.number().positive(),
  /** Time from a stop request to the forced exit, seconds. */
  stopGraceS: z.number().positive(),
  /**
   * Minimum pause between the last order of one host and the first of another
   * to the same server, milliseconds.
   */
  orderLeaseMs: z.number().nonnegative(),
  /**
   * Time within which all hosts have to apply a change that the store has
   * acknowledged, by kind of change, milliseconds.
   */
  newsBounds: z
    .object({
      /** A server is leaving or was removed. */
      leavingServerMs: z.number().positive().default(2_000),
      configurationMs: z.number().positive().default(2_000),
      adapterVersionMs: z.number().positive().default(5_000),
    })
    .default({
      leavingServerMs: 2_000,
      configurationMs: 2_000,
      adapterVersionMs: 5_000,
    }),
  /** Retries of all hosts together, for each service. */
  retryBudget: z.object({
    ratio: z.number().nonnegative(),
    extra: z.number().nonnegative(),
    windowS: z.number().positive(),
  }),
  /**
   * Time within which all hosts, connected or not, refuse a revoked key,
   * milliseconds. A host that can't confirm its keys rejects requests with
   * keys.
   */
  keyRevocationMs: z.number().positive().optional(),
  /** Tolerated overuse of quotas of tenants in any window. */
  quotaTolerance: z
    .object({
      windowS: z.number().positive().default(8),
      /** Tolerated overuse as a share of the quota. */
      share: z.number().nonnegative().default(0.1),
      /** Tolerated overuse in addition, in the unit of the quota. */
      extra: z.number().nonnegative().default(0),
    })
    .default({windowS: 8, share: 0.1, extra: 0}),
  /** The machine; hosts on larger ones do more work for other hosts. */
  machine: z
    .object({
      /** Share of each core that the process may use, 0 to 1. */
      coreShare: z.number().positive().default(1),
      cores: z.number().positive().default(1),
      linkMbps: z.number().positive().default(1_000),
      /** Memory that the process may use, megabytes. */
      memoryMb: z.number().positive().optional(),
      /** Descriptors that the process may have open. */
      descriptors: z.number().int().positive().optional(),
    })
    .default({coreShare: 1, cores: 1, linkMbps: 1_000}),
  logLevel: z.enum(['error', 'warn', 'info', 'debug']).default('info'),
});
export type EntryHostSettings = z.infer<typeof entryHostSettingsSchema>;
