import type {Route} from '../configuration/index.js';

/** How a process spent the time since the sample before. */
export interface LoopSample {
  readonly elapsedMs: number;
  /** Time in which the loop waited for something to do. */
  readonly idleMs: number;
}

/**
 * Between two samples, milliseconds: a few of them within the shortest wait
 * that matters to callers.
 */
export const LOOP_SAMPLE_PERIOD_MS = 50;

/** Between two samples while requests are refused: it ends with the queue, ms. */
export const REFUSING_SAMPLE_PERIOD_MS = 10;

/** Share of idle time below which there was always something to do. */
const BUSY_SHARE = 0.02;

/** The same for a process that was short: it has to be idle for a moment. */
const DRAINED_SHARE = 0.1;

/** Longest time that one sample counts for: the rest may be a standstill, ms. */
const LONGEST_SAMPLE_MS = 100;

/** Samples that make a shortage; a freeze or one long task is a single one. */
const FEWEST_SAMPLES = 4;

/**
 * Busy time after which requests are taken anew, ms: where refusals alone keep
 * a process busy, they have drained what waited by then.
 */
const LONGEST_BUSY_MS = 3_000;

/** Time after a start in which nothing is refused, ms: code is still cold. */
const START_MS = 5_000;

/** Share of the aim that the first rank may wait for the processor. */
const WAIT_SHARE = 0.5;

/** Each rank below the first may wait this much less of its aim. */
const SHARE_PER_RANK = 0.1;

const LEAST_SHARE = 0.1;

/**
 * Tells whether new requests are refused for want of processor time. Answers
 * the load of more requests than a host can handle: all of them would wait, and
 * all would be late. While the loop is never idle, whatever waits for it has
 * waited no longer than that; how late timers are tells less, as connections
 * are accepted one a turn and turns stay short while they wait.
 */
export class ProcessorPressure {
  private busyMs = 0;
  private samples = 0;

  constructor(private readonly startedAtMs: number) {}

  /** Longest time that anything can have waited for the processor, ms. */
  get waitMs(): number {
    return this.samples >= FEWEST_SAMPLES ? this.busyMs : 0;
  }

  /** Takes a sample; to be called about every `LOOP_SAMPLE_PERIOD_MS`. */
  observe({elapsedMs, idleMs}: LoopSample, atMs: number): void {
    const idleShare = idleMs / elapsedMs;
    const drainedShare = this.waitMs > 0 ? DRAINED_SHARE : BUSY_SHARE;
    if (
      idleShare >= drainedShare ||
      this.busyMs >= LONGEST_BUSY_MS ||
      atMs - this.startedAtMs < START_MS
    ) {
      this.busyMs = 0;
      this.samples = 0;
    } else {
      this.busyMs += Math.min(elapsedMs, LONGEST_SAMPLE_MS);
      this.samples += 1;
    }
  }

  /** Whether a request of a rank is refused; 0 is the first rank. */
  refuses(aimMs: number, rank: number): boolean {
    const share = Math.max(LEAST_SHARE, WAIT_SHARE - SHARE_PER_RANK * rank);
    return this.waitMs > 0 && this.waitMs >= aimMs * share;
  }
}

/**
 * The aim that a route's requests are refused by: no longer than that of any
 * route to the same services that goes before it, so that lower ranks are
 * refused first.
 */
export const pressureAimMs = (
  route: Route,
  routes: readonly Route[],
): number => {
  const services = new Set(route.targets.map(({service}) => service));
  return Math.min(
    ...routes
      .filter(
        ({priority, targets}) =>
          priority <= route.priority &&
          targets.some(({service}) => services.has(service)),
      )
      .map(({latencyTargetMs}) => latencyTargetMs),
  );
};
