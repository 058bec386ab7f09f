/**
 * Ratio of one step to the next: about four steps cover the differences between
 * servers seen so far.
 */
const STEP_RATIO = 1.2;

/**
 * Fraction of a step, beyond the midpoint between two steps, that the mean must
 * pass to change the step.
 */
const HYSTERESIS = 0.25;

/**
 * Weight of the newest report in the running mean: averages about the last
 * fifty.
 */
const REPORT_WEIGHT = 0.02;

/** Number of reports below which a server counts as average. */
const MIN_REPORTS = 20;

/** Bounds of a reported slowness, as hosts may report implausible values. */
const MIN_SLOWNESS = 0.1;
const MAX_SLOWNESS = 10;

/**
 * Long-term slowdown of a server, from the reports of all hosts to the issuer
 * of its orders. All hosts use the issuer's value, because they have to compute
 * the same ranking of servers for an adapter. The value is therefore quantized
 * to a few steps, with hysteresis against fluctuations of the mean.
 */
export class LongTermSlowdown {
  private meanLog: number;
  private reports = 0;
  private step: number;

  /** Starts from the value of the previous issuer. */
  constructor(initial = 1) {
    this.meanLog = inSteps(initial);
    this.step = Math.round(this.meanLog);
  }

  /** Applies a host's observation of the server's slowness; 1 is usual. */
  applyReport(slowness: number): void {
    const log = inSteps(
      Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, slowness)),
    );
    this.reports += 1;
    // The first reports have equal weights, however few there are.
    const weight = Math.max(REPORT_WEIGHT, 1 / this.reports);
    this.meanLog += weight * (log - this.meanLog);
    const isBeyond = Math.abs(this.meanLog - this.step) > 0.5 + HYSTERESIS;
    if (this.reports >= MIN_REPORTS && isBeyond) {
      this.step = Math.round(this.meanLog);
    }
  }

  /** The slowdown that all hosts use; undefined without any report. */
  current(): number | undefined {
    return this.reports === 0 && this.step === 0
      ? undefined
      : STEP_RATIO ** this.step;
  }
}

const inSteps = (slowness: number): number =>
  Math.log(slowness) / Math.log(STEP_RATIO);
