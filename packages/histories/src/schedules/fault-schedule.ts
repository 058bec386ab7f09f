import * as fc from 'fast-check';

/** Milliseconds of a run in which faults begin. */
export const FAULT_PERIOD_MS = 25_000;

/** Milliseconds after the last fault in which everything must settle. */
export const SETTLING_PERIOD_MS = 30_000;

const hostIndex = fc.nat({max: 2});
const adapterIndex = fc.nat({max: 5});
const shortMs = fc.integer({min: 200, max: 3_000});
const longMs = fc.integer({min: 500, max: 20_000});

const hostFaultArbitrary = fc.oneof(
  fc.record({type: fc.constant('pause'), host: hostIndex, forMs: longMs}),
  fc.record({type: fc.constant('suspend'), host: hostIndex, forMs: longMs}),
  fc.record({type: fc.constant('restart'), host: hostIndex, afterMs: longMs}),
  fc.record({type: fc.constant('planned-stop'), host: hostIndex}),
  fc.record({type: fc.constant('isolate'), host: hostIndex, forMs: longMs}),
  fc.record({
    type: fc.constant('unlist'),
    host: hostIndex,
    isolateAfterMs: shortMs,
    forMs: longMs,
  }),
  fc.record({type: fc.constant('cut-store'), host: hostIndex, forMs: longMs}),
  fc.record({type: fc.constant('cut-list'), host: hostIndex, forMs: longMs}),
  fc.record({
    type: fc.constant('cut-peers'),
    host: hostIndex,
    other: hostIndex,
    forMs: longMs,
  }),
  fc.record({
    type: fc.constant('wall-jump'),
    host: hostIndex,
    byMs: fc.integer({min: -60_000, max: 60_000}),
  }),
);

const outsideFaultArbitrary = fc.oneof(
  fc.record({type: fc.constant('store-outage'), forMs: longMs}),
  fc.record({
    type: fc.constant('store-slow'),
    delayMs: shortMs,
    forMs: longMs,
  }),
  fc.record({
    type: fc.constant('lost-answers'),
    share: fc.double({min: 0.1, max: 0.9, noNaN: true}),
    forMs: longMs,
  }),
  fc.record({
    type: fc.constant('bad-network'),
    lossShare: fc.double({min: 0, max: 0.3, noNaN: true}),
    repeatShare: fc.double({min: 0, max: 0.3, noNaN: true}),
    maximumDelayMs: fc.integer({min: 5, max: 600}),
    forMs: longMs,
  }),
  fc.record({type: fc.constant('engine-restart'), server: fc.nat({max: 2})}),
  fc.record({
    type: fc.constant('server-leaves'),
    server: fc.nat({max: 2}),
    forMs: longMs,
  }),
);

const demandArbitrary = fc.oneof(
  fc.record({
    type: fc.constant('sheet'),
    host: hostIndex,
    version: fc.integer({min: 1, max: 9}),
    adapters: fc.integer({min: 1, max: 6}),
    sawNewest: fc.boolean(),
  }),
  fc.record({
    type: fc.constant('sheet-race'),
    host: hostIndex,
    other: hostIndex,
    version: fc.integer({min: 1, max: 9}),
  }),
  fc.record({
    type: fc.constant('requests'),
    host: hostIndex,
    adapter: adapterIndex,
    count: fc.integer({min: 1, max: 8}),
  }),
  fc.record({
    type: fc.constant('call'),
    host: hostIndex,
    other: hostIndex,
    repeated: fc.boolean(),
    repeatAfterMs: shortMs,
    losesAnswer: fc.boolean(),
  }),
  fc.record({
    type: fc.constant('work'),
    host: hostIndex,
    adapter: adapterIndex,
    other: hostIndex,
    queryAfterMs: longMs,
  }),
);

const actionArbitrary = fc.oneof(
  {weight: 5, arbitrary: hostFaultArbitrary},
  {weight: 2, arbitrary: outsideFaultArbitrary},
  {weight: 3, arbitrary: demandArbitrary},
);

/** One action of a schedule. Durations are true milliseconds. */
export type Action =
  typeof actionArbitrary extends fc.Arbitrary<infer Value> ? Value : never;

const stepArbitrary = fc.record({
  atMs: fc.integer({min: 4_000, max: FAULT_PERIOD_MS}),
  action: actionArbitrary,
});

/** A run of a small deployment and what happens to it. */
export const scheduleArbitrary = fc.record({
  seed: fc.integer({min: 1, max: 2 ** 31 - 1}),
  hosts: fc.integer({min: 2, max: 3}),
  zones: fc.integer({min: 1, max: 2}),
  /** Shares of servers that check fencing numbers: none, some or all. */
  checksFencing: fc.constantFrom('none', 'some', 'all'),
  maximumClockDrift: fc.constantFrom(0, 0.001, 0.02),
  steps: fc.array(stepArbitrary, {minLength: 2, maxLength: 10}),
});

/** A generated schedule. */
export type FaultSchedule =
  typeof scheduleArbitrary extends fc.Arbitrary<infer Value> ? Value : never;

/** Returns the schedules that follow from a seed. */
export const generateSchedules = (
  schedules: number,
  seed: number,
): readonly FaultSchedule[] =>
  fc.sample(scheduleArbitrary, {numRuns: schedules, seed});
