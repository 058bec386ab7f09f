import type {FaultSchedule} from '../schedules/fault-schedule.js';

/** A schedule that once broke a promise. */
export interface Regression {
  readonly name: string;
  readonly schedule: FaultSchedule;
}

export const REGRESSIONS: readonly Regression[] = [
  {
    name: 'an owner from another zone is found to be another incarnation',
    schedule: {
      seed: 1_910_870_799,
      hosts: 3,
      zones: 2,
      checksFencing: 'all',
      maximumClockDrift: 0,
      steps: [
        {atMs: 4_440, action: {type: 'suspend', host: 0, forMs: 6_922}},
        {atMs: 9_267, action: {type: 'suspend', host: 2, forMs: 16_263}},
        {atMs: 12_848, action: {type: 'restart', host: 1, afterMs: 9_574}},
        {atMs: 23_040, action: {type: 'pause', host: 1, forMs: 4_442}},
        {atMs: 24_056, action: {type: 'restart', host: 0, afterMs: 16_254}},
      ],
    },
  },
  {
    name: 'a host cut off from all others does not rely on a restarted engine',
    schedule: {
      seed: 23,
      hosts: 3,
      zones: 1,
      checksFencing: 'all',
      maximumClockDrift: 0.02,
      steps: [
        {atMs: 24_302, action: {type: 'engine-restart', server: 1}},
        {
          atMs: 5_665,
          action: {type: 'requests', host: 0, adapter: 4, count: 1},
        },
        {atMs: 8_718, action: {type: 'cut-list', host: 2, forMs: 9_199}},
        {atMs: 5_347, action: {type: 'isolate', host: 2, forMs: 19_986}},
      ],
    },
  },
  {
    name: 'a host that was unlisted for a while does not act on its old claim',
    schedule: {
      seed: 829_370_499,
      hosts: 3,
      zones: 2,
      checksFencing: 'some',
      maximumClockDrift: 0.001,
      steps: [
        {atMs: 7_078, action: {type: 'restart', host: 0, afterMs: 7_416}},
        {
          atMs: 7_443,
          action: {
            type: 'unlist',
            host: 1,
            isolateAfterMs: 274,
            forMs: 13_626,
          },
        },
        {
          atMs: 19_569,
          action: {
            type: 'lost-answers',
            share: 0.579_098_181_837_772_8,
            forMs: 12_107,
          },
        },
        {
          atMs: 22_343,
          action: {
            type: 'bad-network',
            lossShare: 0,
            repeatShare: 0,
            maximumDelayMs: 350,
            forMs: 16_628,
          },
        },
      ],
    },
  },
  {
    name: 'a new owner waits for the late orders of the one that handed over',
    schedule: {
      seed: 1_817_670_221,
      hosts: 3,
      zones: 1,
      checksFencing: 'none',
      maximumClockDrift: 0.001,
      steps: [
        {
          atMs: 6_907,
          action: {
            type: 'unlist',
            host: 2,
            isolateAfterMs: 710,
            forMs: 15_011,
          },
        },
        {
          atMs: 12_463,
          action: {
            type: 'unlist',
            host: 2,
            isolateAfterMs: 1_154,
            forMs: 17_631,
          },
        },
        {
          atMs: 15_491,
          action: {
            type: 'bad-network',
            lossShare: 0,
            repeatShare: 0,
            maximumDelayMs: 379,
            forMs: 2_982,
          },
        },
        {atMs: 18_546, action: {type: 'suspend', host: 1, forMs: 15_190}},
      ],
    },
  },
];
