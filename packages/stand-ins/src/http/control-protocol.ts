import {entryHostSchema} from '@basilworks/core';
import {z} from 'zod';

const probability = z.number().min(0).max(1).optional();
const count = z.number().int().nonnegative().optional();
const delay = z.number().nonnegative().optional();

/** A fault to switch, in the body of `POST /faults`. */
export const faultSchema = z.discriminatedUnion('target', [
  z.strictObject({
    target: z.literal('object-api'),
    outage: z.boolean().optional(),
    delayMs: delay,
    lostAnswerProbability: probability,
    loseNextAnswers: count,
  }),
  z.strictObject({
    target: z.literal('weight-store'),
    failureProbability: probability,
    failNextLoads: count,
    failingAdapters: z.array(z.string()).optional(),
  }),
  z.strictObject({
    target: z.literal('plain-services'),
    refuseProbability: probability,
    lostAnswerProbability: probability,
    loseNextAnswers: count,
    delayMs: delay,
  }),
  z.strictObject({target: z.literal('engine-restart'), server: z.string()}),
  z.strictObject({
    target: z.literal('server-state'),
    server: z.string(),
    state: z.enum(['live', 'leaving']),
  }),
  z.strictObject({
    target: z.literal('entry-host-state'),
    host: z.string(),
    state: z.enum(['live', 'leaving', 'gone']),
  }),
]);
export type Fault = z.infer<typeof faultSchema>;

/** Answer to `POST /faults`: when it took effect, on the stand-ins' clock. */
export const faultAnswerSchema = z.object({atMs: z.number()});

/** Body of `POST /entry-hosts`. */
export const entryHostsSchema = z.array(entryHostSchema);

/** Answer to `GET /history`: what the outside systems saw. */
export const standInHistorySchema = z.object({
  /** Added to times of this history, gives milliseconds since the epoch. */
  clockOriginMs: z.number(),
  runs: z.array(
    z.object({
      server: z.string(),
      executionId: z.string(),
      requestId: z.string(),
      member: z.string(),
      adapter: z.string(),
      version: z.string(),
      receivedMs: z.number(),
      startedMs: z.number().optional(),
      endedMs: z.number(),
      end: z.enum(['complete', 'cancelled', 'broken']),
    }),
  ),
  calls: z.array(
    z.object({
      server: z.string(),
      operation: z.string(),
      member: z.string(),
      body: z.string(),
      runs: z.number().int(),
      lastRunMs: z.number(),
    }),
  ),
  evictedInUse: z.number().int(),
  loads: z.number().int(),
  batchUse: z.object({
    filledPositionMs: z.number(),
    offeredPositionMs: z.number(),
  }),
  storeCalls: z.record(z.string(), z.number()),
});
export type StandInHistory = z.infer<typeof standInHistorySchema>;

/** First line on the standard output of the stand-ins' process. */
export const standInAddressesSchema = z.object({
  objectApi: z.string(),
  hostList: z.string(),
  control: z.string(),
  servers: z.array(z.object({server: z.string(), address: z.string()})),
});
export type StandInAddresses = z.infer<typeof standInAddressesSchema>;
