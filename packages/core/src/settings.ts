import {z} from 'zod';

import {hostIdSchema, type Incarnation, zoneIdSchema} from './identifiers.js';

/** The sizes of the weight store in front of the engines. */
export const weightStoreSettingsSchema = z.object({
  loadsPerSecond: z
    .number()
    .positive()
    .default(2)
    .describe('Loads that the weight store starts per second.'),
  fullSpeedLoads: z
    .number()
    .int()
    .positive()
    .default(2)
    .describe('Loads that run at full speed at once.'),
  transitLimit: z
    .number()
    .int()
    .positive()
    .default(16)
    .describe(
      'Loads in transit over all servers before each slows the others.',
    ),
  loadMs: z
    .number()
    .positive()
    .default(250)
    .describe('Duration of one load within the limits, milliseconds.'),
});

/** An operation of a plain service that may be called. */
export const operationSettingsSchema = z.object({
  pool: z
    .string()
    .min(1)
    .describe('Pool of the plain servers, for example `billing-desk`.'),
  operation: z.string().min(1).describe('Name of the operation.'),
  idempotent: z
    .boolean()
    .describe('Whether a repeat of the operation has no further effect.'),
});

/** What the deployment measures; each weight from 0 to 1. */
const objectivesSchema = z.object({
  loadStallWeight: z
    .number()
    .min(0)
    .max(1)
    .default(0.7)
    .describe('Weight of short load stalls, 0 to 1.'),
  batchEfficiencyWeight: z
    .number()
    .min(0)
    .max(1)
    .default(0.3)
    .describe('Weight of full engine batches, 0 to 1.'),
});

/**
 * Mechanisms of the policy that a measurement may switch off one by one.
 * Deployments leave all of them on.
 */
export const mechanismSettingsSchema = z.object({
  heldWork: z
    .boolean()
    .default(true)
    .describe(
      'Leave on. Holds work that can wait until it fills idle positions.',
    ),
  admission: z
    .boolean()
    .default(true)
    .describe('Leave on. Refuses requests that would miss their deadlines.'),
  loadOrder: z
    .boolean()
    .default(true)
    .describe(
      'Leave on. Orders loads by urgency and slack rather than by arrival.',
    ),
  evictionCost: z
    .boolean()
    .default(true)
    .describe('Leave on. Evicts by expected cost rather than by last use.'),
  evictionPrice: z
    .boolean()
    .default(true)
    .describe('Leave on. Places loads where the eviction costs least.'),
  packing: z
    .boolean()
    .default(true)
    .describe(
      'Leave on. Prefers servers that have work, to fill their batches.',
    ),
  prefixAffinity: z
    .boolean()
    .default(true)
    .describe(
      'Leave on. Prefers the server that may have the prompt prefix cached.',
    ),
});

/** The part of the settings that the reducer reads. */
export const coreSettingsSchema = z.object({
  host: hostIdSchema.describe('Name of this entry host, unique.'),
  zone: zoneIdSchema.describe('Availability zone of this entry host.'),
  peerAddress: z
    .string()
    .min(1)
    .describe('Address at which peers reach this host, IP number and port.'),
  callerAddress: z
    .string()
    .min(1)
    .describe('Address at which callers reach this host, IP number and port.'),
  weightStore: weightStoreSettingsSchema.prefault({}),
  operations: z
    .array(operationSettingsSchema)
    .default([])
    .describe('Operations of plain services; others are refused.'),
  objectives: objectivesSchema.prefault({}),
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
