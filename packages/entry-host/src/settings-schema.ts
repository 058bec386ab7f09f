import {z} from 'zod';

/** IP number and port. */
const addressSchema = z
  .string()
  .regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'an IPv4 number and a port');

/** Settings of an entry host whose requests go straight to the servers. */
export const entryHostSettingsSchema = z.object({
  /** Name of this machine, unique in the deployment. */
  host: z.string().min(1),
  /** Availability zone of this machine. */
  zone: z.string().min(1),
  /** Where callers connect. */
  callerAddress: addressSchema,
  /** Where the platform asks whether this host is ready. */
  readinessAddress: addressSchema,
  /** Where callers ask for addresses. */
  directoryAddress: addressSchema,
  /** Where other entry hosts connect. */
  peerAddress: addressSchema,
  /** Peer addresses of some hosts; they may be out of date. */
  seeds: z.array(addressSchema),
  /** Where metrics are served; none when it is absent. */
  metricsAddress: addressSchema.optional(),
  /** Address of the platform's metadata store. */
  storeAddress: addressSchema,
  /** Longest use of an address answer, seconds. */
  addressLifetimeS: z.number().positive(),
  /** Time from a request to stop to the forced end, seconds. */
  stopGraceS: z.number().positive(),
  /** Silence that servers need between orders of two hosts, milliseconds. */
  orderLeaseMs: z.number().nonnegative(),
  /**
   * Times in which all hosts have to go by what the store has acknowledged,
   * milliseconds.
   */
  newsBounds: z
    .object({
      /** A server is leaving or gone. */
      leavingServerMs: z.number().positive().default(2_000),
      configurationMs: z.number().positive().default(2_000),
      adapterVersionMs: z.number().positive().default(5_000),
    })
    .default({
      leavingServerMs: 2_000,
      configurationMs: 2_000,
      adapterVersionMs: 5_000,
    }),
  /** Repeated sends that all hosts share, for each service. */
  retryBudget: z.object({
    ratio: z.number().nonnegative(),
    extra: z.number().nonnegative(),
    windowS: z.number().positive(),
  }),
  /**
   * Time in which all hosts, in touch or not, refuse a key that was taken away,
   * milliseconds; a host that can't know takes no requests with keys.
   */
  keyRevocationMs: z.number().positive().optional(),
  /** How exactly quotas of tenants are kept, in any window. */
  quotaTolerance: z
    .object({
      windowS: z.number().positive().default(8),
      /** Share of a quota that may be used beyond it. */
      share: z.number().nonnegative().default(0.1),
      /** What may be used besides, in the quota's unit. */
      extra: z.number().nonnegative().default(0),
    })
    .default({windowS: 8, share: 0.1, extra: 0}),
  /** The machine; larger ones do more of the work for other hosts. */
  machine: z
    .object({
      /** Share of each core that the process may use, 0 to 1. */
      coreShare: z.number().positive().default(1),
      cores: z.number().positive().default(1),
      linkMbps: z.number().positive().default(1_000),
      /** Memory that the process may use, megabytes. */
      memoryMb: z.number().positive().optional(),
    })
    .default({coreShare: 1, cores: 1, linkMbps: 1_000}),
  logLevel: z.enum(['error', 'warn', 'info', 'debug']).default('info'),
});
export type EntryHostSettings = z.infer<typeof entryHostSettingsSchema>;
