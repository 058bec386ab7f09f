import type {
  CoreEvent,
  CoreState,
  Effect,
  Instant,
  Reduction,
} from '@basilworks/core';
import {elapsedMs} from '@basilworks/core';

import type {Clock} from './clock.js';
import type {RunnerTable} from './runner-table.js';
import type {TimerService} from './timer-service.js';

/** How often the loop notes that the process runs, milliseconds. */
const HEARTBEAT_PERIOD_MS = 200;

/** A silence above this means that the process was paused, milliseconds. */
const CLOCK_GAP_THRESHOLD_MS = 1_000;

/** What the loop reports about its own work. */
export interface LoopObserver {
  /** A turn took `milliseconds` of this thread. */
  turnFinished(event: CoreEvent, milliseconds: number): void;
  /** A runner threw, which is a fault of the daemon. */
  runnerFailed(effect: Effect, error: unknown): void;
}

/** Parts the loop is made of. */
export interface LoopOptions {
  readonly state: CoreState;
  readonly clock: Clock;
  readonly timers: TimerService;
  readonly observer: LoopObserver;
  readonly reduce: (
    state: CoreState,
    event: CoreEvent,
    at: Instant,
  ) => Reduction;
}

/**
 * The one loop of the daemon. A turn reads both clocks, reduces one event and
 * runs the effects in order; events that are posted meanwhile wait for their
 * own turn. A process that was paused learns of it before anything else: the
 * turn that notices a gap reduces `clock-gap` first.
 */
export class Loop {
  private readonly pending: CoreEvent[] = [];
  private runners: RunnerTable | undefined;
  private draining = false;
  private lastSeen: Instant;

  constructor(private readonly options: LoopOptions) {
    this.lastSeen = options.clock.now();
  }

  /** State as of the last turn; to be read through selectors only. */
  get state(): CoreState {
    return this.options.state;
  }

  /** Reads the clocks now, for checks between turns. */
  now(): Instant {
    return this.options.clock.now();
  }

  /** Starts to handle events, those posted before included. */
  start(runners: RunnerTable): void {
    this.runners = runners;
    this.lastSeen = this.now();
    this.options.timers.every('loop/heartbeat', HEARTBEAT_PERIOD_MS, () => {
      this.noticeGap(this.now());
      this.drain();
    });
    this.drain();
  }

  /** Queues an event and handles it at once unless a turn is in progress. */
  post(event: CoreEvent): void {
    this.pending.push(event);
    this.drain();
  }

  /**
   * Handles a clock gap now if there was one. To be called before a decision
   * that is made outside a turn, such as a check before a socket write.
   */
  checkClocks(): Instant {
    const at = this.now();
    this.noticeGap(at);
    this.drain();
    return at;
  }

  private drain(): void {
    if (this.draining || this.runners === undefined) {
      return;
    }
    this.draining = true;
    try {
      for (
        let event = this.pending.shift();
        event !== undefined;
        event = this.pending.shift()
      ) {
        this.turn(event, this.runners);
      }
    } finally {
      this.draining = false;
    }
  }

  private turn(event: CoreEvent, runners: RunnerTable): void {
    const at = this.now();
    if (event.type !== 'clock-gap' && this.noticeGap(at)) {
      this.pending.splice(1, 0, event);
      return;
    }
    const {effects} = this.options.reduce(this.options.state, event, at);
    for (const effect of effects) {
      this.run(effect, at, runners);
    }
    const {observer} = this.options;
    observer.turnFinished(event, this.now().monotonicMs - at.monotonicMs);
  }

  /** Puts `clock-gap` before everything else if there was a gap. */
  private noticeGap(at: Instant): boolean {
    const before = this.lastSeen;
    const gapMs = elapsedMs(before, at);
    this.lastSeen = at;
    if (gapMs < CLOCK_GAP_THRESHOLD_MS) {
      return false;
    }
    this.pending.unshift({type: 'clock-gap', before, gapMs});
    return true;
  }

  private run(effect: Effect, at: Instant, runners: RunnerTable): void {
    const runner = runners[effect.type] as (
      effect: Effect,
      at: Instant,
    ) => void;
    try {
      runner(effect, at);
    } catch (error) {
      this.options.observer.runnerFailed(effect, error);
    }
  }
}
