import {z} from 'zod';

/** A group of servers of one kind. */
const poolSchema = z.object({
  pool: z.string(),
  kind: z.enum(['engine', 'plain']),
  servers: z.number().int().positive(),
});

/** What the stand-ins of one deployment are made of. */
export const deploymentSchema = z.object({
  name: z.string(),
  /** Servers are spread over the zones in turn. */
  zones: z.array(z.string()).min(1),
  entryHosts: z.number().int().positive(),
  pools: z.array(poolSchema),
  baseModel: z.string(),
  weightStore: z.object({
    loadsPerSecond: z.number().positive(),
    fullSpeedLoads: z.number().int().positive(),
    transitLimit: z.number().int().positive(),
    loadMs: z.number().positive(),
  }),
  /** Whether the engines refuse orders with an old fencing number. */
  checksFencing: z.boolean(),
  slots: z.number().int().positive().default(16),
  batchPositions: z.number().int().positive().default(32),
  /** Processing time of a prompt whose prefix is not cached. */
  promptMs: z.number().nonnegative().default(60),
  /** Processing time of a prompt whose prefix is cached. */
  cachedPromptMs: z.number().nonnegative().default(15),
  /** Requests that may wait at an engine for a position. */
  queueLimit: z.number().int().nonnegative().default(64),
  /** Time between tokens with one request in the batch. */
  tokenMs: z.number().positive().default(12),
  /** Time between tokens in a full batch. */
  fullBatchTokenMs: z.number().positive().default(30),
  plainLatencyMs: z.number().nonnegative().default(5),
  hostListLagMs: z.number().nonnegative().default(500),
  seed: z.number().int().default(1),
});
export type Deployment = z.infer<typeof deploymentSchema>;

/** Three zones in New England; load stalls weigh more. */
export const HALLORAN: Deployment = deploymentSchema.parse({
  name: 'halloran',
  zones: ['fairhaven', 'gloucester', 'portland-me'],
  entryHosts: 7,
  pools: [
    {pool: 'assistant-models', kind: 'engine', servers: 6},
    {pool: 'billing-desk', kind: 'plain', servers: 3},
  ],
  baseModel: 'marine-8b',
  weightStore: {
    loadsPerSecond: 2,
    fullSpeedLoads: 2,
    transitLimit: 16,
    loadMs: 250,
  },
  checksFencing: true,
});

/** Three zones in Nizwa; batch efficiency weighs more. */
export const AL_HAJAR: Deployment = deploymentSchema.parse({
  name: 'al-hajar',
  zones: ['nizwa-a', 'nizwa-b', 'nizwa-c'],
  entryHosts: 9,
  pools: [
    {pool: 'advisor-models', kind: 'engine', servers: 13},
    {pool: 'cellar-ops', kind: 'plain', servers: 3},
  ],
  baseModel: 'cellar-8b',
  weightStore: {
    loadsPerSecond: 9,
    fullSpeedLoads: 4,
    transitLimit: 32,
    loadMs: 250,
  },
  checksFencing: false,
});
