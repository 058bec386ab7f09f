import {
  type CoreEvent,
  type CoreSettings,
  type CoreState,
  createState,
  type Effect,
  type Instant,
  reduce,
} from '@basilworks/core';
import type {ScheduledCallback} from '@basilworks/stand-ins';

import {runEffect} from './effect-runners.js';
import type {HostClock} from './host-clock.js';
import type {Surroundings} from './outside.js';

/** Gap after which a host's loop reports that it did not run. */
const GAP_THRESHOLD_MS = 1_000;

/** Milliseconds after a wall clock jump in which no machine is suspended. */
const CLOCK_SETTLING_MS = 10_000;

/** One process of an entry host: its reducer, its clocks and its timers. */
export class SimulatedHost {
  readonly name: string;
  readonly state: CoreState;
  /** Attempts that this host's data path waits for, by attempt. */
  readonly attempts = new Map<string, string>();
  /** Executions that this host received over the data path. */
  readonly executions = new Map<string, ReceivedExecution>();
  /** Work that can wait and that this host runs as a model request. */
  readonly works = new Set<string>();
  isRunning = true;
  hasStopped = false;
  private pausedSince: number | undefined;
  private isSuspended = false;
  private wallJumpedAtMs: number | undefined;
  private readonly inbox: CoreEvent[] = [];
  private readonly timers = new Map<string, ScheduledCallback>();

  constructor(
    readonly settings: CoreSettings,
    readonly incarnation: string,
    seed: number,
    private readonly clock: HostClock,
    readonly around: Surroundings,
  ) {
    this.name = settings.host;
    this.state = createState(settings, {incarnation, seed});
  }

  /** Both clocks of the host, now. */
  now(): Instant {
    return this.clock.read(this.around.scheduler.nowMs());
  }

  /** Whether the process runs and is not paused. */
  get isAwake(): boolean {
    return this.isRunning && this.pausedSince === undefined;
  }

  /** Hands an event to the loop, which handles it at once when awake. */
  handle(event: CoreEvent): void {
    if (!this.isRunning) {
      return;
    }
    if (this.pausedSince !== undefined) {
      this.inbox.push(event);
      return;
    }
    const effects = this.reduce(event);
    for (const effect of effects) {
      runEffect(this, effect);
    }
  }

  private reduce(event: CoreEvent): readonly Effect[] {
    const {observer} = this.around;
    const startedNs = observer === undefined ? 0n : process.hrtime.bigint();
    const {effects} = reduce(this.state, event, this.now());
    observer?.reduced(this.name, event, process.hrtime.bigint() - startedNs);
    return effects;
  }

  /** Stops the process's loop; what arrives meanwhile waits. */
  pause(): void {
    this.pausedSince ??= this.around.scheduler.nowMs();
  }

  /** Stops the machine, whose monotonic clock misses the time. */
  suspend(): void {
    if (this.pausedSince === undefined) {
      this.pause();
      const sinceJumpMs =
        this.around.scheduler.nowMs() - (this.wallJumpedAtMs ?? -Infinity);
      this.isSuspended = sinceJumpMs > CLOCK_SETTLING_MS;
    }
  }

  /** Lets the loop go on: first it sees the gap, then what has waited. */
  resume(): void {
    if (this.pausedSince === undefined) {
      return;
    }
    const before = this.clock.read(this.pausedSince);
    const gapMs = this.around.scheduler.nowMs() - this.pausedSince;
    this.pausedSince = undefined;
    if (this.isSuspended) {
      this.isSuspended = false;
      this.clock.stopMonotonic(gapMs);
    }
    if (gapMs >= GAP_THRESHOLD_MS) {
      this.handle({type: 'clock-gap', before, gapMs});
    }
    // A send that was due before the pause comes before what has waited.
    this.around.probeHost(this);
    for (const event of this.inbox.splice(0)) {
      this.handle(event);
    }
  }

  /** Ends the process without a word to anybody. */
  kill(): void {
    this.isRunning = false;
    for (const timer of this.timers.values()) {
      timer.cancel();
    }
    this.timers.clear();
  }

  setTimer(key: string, delayMs: number, fire: () => void): void {
    this.timers.get(key)?.cancel();
    const {scheduler} = this.around;
    const callback = (): void => {
      this.timers.delete(key);
      fire();
    };
    this.timers.set(
      key,
      scheduler.schedule(this.clock.toTrueMs(delayMs), callback),
    );
  }

  cancelTimer(key: string): void {
    this.timers.get(key)?.cancel();
    this.timers.delete(key);
  }

  /**
   * Sets the wall clock. A machine that is suspended, or was a moment after,
   * is not set back: then no clock would show that time has passed.
   */
  jumpWall(byMs: number): void {
    if (!this.isSuspended) {
      this.clock.jumpWall(byMs);
      this.wallJumpedAtMs = this.around.scheduler.nowMs();
    }
  }
}

/** An execution that arrived at the owner of its server. */
export interface ReceivedExecution {
  readonly requestId: string;
  readonly attemptId: string;
  readonly from: SimulatedHost;
}
