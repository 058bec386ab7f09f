import type {AdapterVersion} from '@basilworks/core';

import type {Random} from '../lib/random.js';
import {TokenBucket} from '../lib/token-bucket.js';
import type {ScheduledCallback, Scheduler} from './scheduler.js';

/** The sizes of a weight store. */
export interface WeightStoreOptions {
  /** Loads that the store starts per second. */
  readonly loadsPerSecond: number;
  /** Loads that it starts at once after an idle time. */
  readonly fullSpeedLoads: number;
  /** Loads in transit before each slows the others. */
  readonly transitLimit: number;
  /** Duration of one transfer within the limit. */
  readonly loadMs: number;
}

/** What is wrong with the weight store at present. */
export interface WeightStoreFaults {
  /** Share of loads that take their time and then fail. */
  failureProbability: number;
  /** This many of the next loads fail. */
  failNextLoads: number;
  /** Adapters whose loads always fail. */
  failingAdapters: readonly string[];
}

export type LoadOutcome = 'loaded' | 'failed';

/**
 * The rate-limited weight store. The rule, exactly:
 *
 * - A load is in transit from its order until its end, over all servers.
 * - It starts when it gets a token, in the order of arrival. Tokens come at
 *   `loadsPerSecond`, and at most `fullSpeedLoads` of them are kept.
 * - Its transfer then lasts `loadMs * max(1, inTransit / transitLimit)`, where
 *   `inTransit` is counted at its start and includes loads that wait.
 */
export class WeightStoreModel {
  /** Loads ordered so far, failed and cancelled ones included. */
  orderedLoads = 0;
  private readonly tokens: TokenBucket;
  private inTransit = 0;
  private faults: WeightStoreFaults = {
    failureProbability: 0,
    failNextLoads: 0,
    failingAdapters: [],
  };

  constructor(
    private readonly scheduler: Scheduler,
    private readonly random: Random,
    private readonly options: WeightStoreOptions,
  ) {
    this.tokens = new TokenBucket(
      scheduler,
      options.loadsPerSecond,
      options.fullSpeedLoads,
    );
  }

  /** Switches faults; those left out stay as they are. */
  setFaults(faults: Partial<WeightStoreFaults>): void {
    this.faults = {...this.faults, ...faults};
  }

  /** Loads that wait or transfer at present. */
  get loadsInTransit(): number {
    return this.inTransit;
  }

  /** Orders one load. A cancelled one gives no answer, and its token is lost. */
  load(
    adapterVersion: AdapterVersion,
    answer: (outcome: LoadOutcome) => void,
  ): ScheduledCallback {
    this.orderedLoads += 1;
    this.inTransit += 1;
    let active = true;
    const end = () => {
      active = false;
      this.inTransit -= 1;
    };
    let step = this.scheduler.schedule(this.tokens.reserve(), () => {
      step = this.scheduler.schedule(this.transferMs(), () => {
        end();
        answer(this.fails(adapterVersion) ? 'failed' : 'loaded');
      });
    });
    return {
      cancel: () => {
        if (active) {
          step.cancel();
          end();
        }
      },
    };
  }

  private transferMs(): number {
    const {loadMs, transitLimit} = this.options;
    return loadMs * Math.max(1, this.inTransit / transitLimit);
  }

  private fails({adapter}: AdapterVersion): boolean {
    if (this.faults.failingAdapters.includes(adapter)) {
      return true;
    }
    if (this.faults.failNextLoads > 0) {
      this.faults.failNextLoads -= 1;
      return true;
    }
    const {failureProbability} = this.faults;
    return failureProbability > 0 && this.random() < failureProbability;
  }
}
