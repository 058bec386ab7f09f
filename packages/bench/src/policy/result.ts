import type {EngineModel} from '@basilworks/stand-ins';
import {z} from 'zod';

import type {Recorder, RequestRecord} from './recorder.js';
import type {Scenario} from './scenarios.js';

/** Result of one run, as the last line of the bench prints it. */
export const policyResultSchema = z.object({
  scenario: z.string(),
  policy: z.string(),
  seed: z.number().int(),
  offered: z.number().int(),
  answered: z.number().int(),
  onTime: z.number().int(),
  refused: z.number().int(),
  loads: z.number().int(),
  wastedLoads: z.number().int(),
  urgentStallP50Ms: z.number(),
  urgentStallP99Ms: z.number(),
  stallP99Ms: z.number(),
  batchEfficiency: z.number(),
  onTimeFraction: z.number(),
});
export type PolicyResult = z.infer<typeof policyResultSchema>;

/** Filled and offered batch positions, multiplied by time. */
export interface BatchUse {
  readonly filledPositionMs: number;
  readonly offeredPositionMs: number;
}

/** Returns the use of all engines' batches so far. */
export const totalBatchUse = (engines: Iterable<EngineModel>): BatchUse => {
  let filledPositionMs = 0;
  let offeredPositionMs = 0;
  for (const engine of engines) {
    const use = engine.batchUse();
    filledPositionMs += use.filledPositionMs;
    offeredPositionMs += use.offeredPositionMs;
  }
  return {filledPositionMs, offeredPositionMs};
};

/** Sums up a run over the requests that arrived after the warm-up. */
export const summarize = (
  scenario: Scenario,
  policy: string,
  seed: number,
  recorder: Recorder,
  use: BatchUse,
): PolicyResult => {
  const records = [...recorder.records.values()].filter(
    ({arrival}) => arrival.atMs >= scenario.warmUpSeconds * 1_000,
  );
  const urgent = records.filter(
    ({arrival}) => arrival.priorityClass === 'urgent',
  );
  const count = (outcome: RequestRecord['outcome']): number =>
    records.filter((record) => record.outcome === outcome).length;
  const onTime = records.filter(isOnTime).length;
  return {
    scenario: scenario.name,
    policy,
    seed,
    offered: records.length,
    answered: count('answered'),
    onTime,
    refused: count('refused'),
    loads: recorder.loads,
    wastedLoads: recorder.wastedLoads,
    urgentStallP50Ms: percentile(urgent.map(stallOf), 0.5),
    urgentStallP99Ms: percentile(urgent.map(stallOf), 0.99),
    stallP99Ms: percentile(records.map(stallOf), 0.99),
    batchEfficiency: round(use.filledPositionMs / use.offeredPositionMs, 4),
    onTimeFraction: round(onTime / records.length, 4),
  };
};

/**
 * A refused or unanswered urgent request counts as stalled for its whole
 * deadline, so that refusing cannot improve the figure.
 */
const stallOf = ({arrival, outcome, stallMs}: RequestRecord): number =>
  outcome !== 'answered' && arrival.priorityClass === 'urgent'
    ? arrival.deadlineMs
    : stallMs;

const isOnTime = ({arrival, outcome, endedMs}: RequestRecord): boolean =>
  outcome === 'answered' && endedMs <= arrival.atMs + arrival.deadlineMs;

const percentile = (values: readonly number[], share: number): number => {
  const sorted = [...values].sort((first, second) => first - second);
  const index = Math.ceil(share * sorted.length) - 1;
  return round(sorted[Math.max(0, index)] ?? 0, 1);
};

const round = (value: number, digits: number): number =>
  Number(value.toFixed(digits));
