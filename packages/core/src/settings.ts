import {z} from 'zod';

import {hostIdSchema, type Incarnation, zoneIdSchema} from './identifiers.js';

/** The sizes of the weight store in front of the engines. */
export const weightStoreSettingsSchema = z.object({
  /** Loads that the store starts per second. */
  loadsPerSecond: z.number().positive().default(2),
  /** Loads that run at full speed at once. */
  fullSpeedLoads: z.number().int().positive().default(2),
  /** Loads in transit over all servers before each slows the others. */
  transitLimit: z.number().int().positive().default(16),
  /** Duration of one load within the limits, milliseconds. */
  loadMs: z.number().positive().default(250),
});

/** An operation of a plain service that may be called. */
export const operationSettingsSchema = z.object({
  /** Pool of the plain servers, for example `billing-desk`. */
  pool: z.string().min(1),
  operation: z.string().min(1),
  /** Whether a repeat has no further effect. */
  idempotent: z.boolean(),
});

/**
 * Mechanisms of the policy that a measurement may switch off one by one.
 * Deployments leave all of them on.
 */
export const mechanismSettingsSchema = z.object({
  /** Holds work that can wait until it fills idle positions. */
  heldWork: z.boolean().default(true),
  /** Refuses requests that would miss their deadlines. */
  admission: z.boolean().default(true),
  /** Orders loads by urgency and slack rather than by arrival. */
  loadOrder: z.boolean().default(true),
  /** Evicts by expected cost rather than by last use. */
  evictionCost: z.boolean().default(true),
  /** Places loads where the eviction costs least. */
  evictionPrice: z.boolean().default(true),
  /** Prefers servers that have work, to fill their batches. */
  packing: z.boolean().default(true),
  /** Prefers the server that may have the prompt's prefix cached. */
  prefixAffinity: z.boolean().default(true),
});

/** The part of the settings that the reducer reads. */
export const coreSettingsSchema = z.object({
  host: hostIdSchema,
  zone: zoneIdSchema,
  /** Addresses as peers and callers reach this host, IP number and port. */
  peerAddress: z.string().min(1),
  callerAddress: z.string().min(1),
  weightStore: weightStoreSettingsSchema.prefault({}),
  operations: z.array(operationSettingsSchema).default([]),
  /** What the deployment measures; each weight from 0 to 1. */
  objectives: z
    .object({
      loadStallWeight: z.number().min(0).max(1).default(0.7),
      batchEfficiencyWeight: z.number().min(0).max(1).default(0.3),
    })
    .prefault({}),
  mechanisms: mechanismSettingsSchema.prefault({}),
});
export type CoreSettings = z.infer<typeof coreSettingsSchema>;

/** Settings plus the identity of this run of the process. */
export interface CoreIdentity {
  /** Made of the host's name and a nonce at each start. */
  readonly incarnation: Incarnation;
  /** Seed of this process's own random choices, such as jitter. */
  readonly seed: number;
}
