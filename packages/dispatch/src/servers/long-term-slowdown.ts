/** Ratio of one step to the next: some four steps over the differences met. */
const STEP_RATIO = 1.2;

/** Share of a step beyond its middle that a mean has to go to change it. */
const HYSTERESIS = 0.25;

/** Weight of the newest word in the running mean: about the last fifty. */
const WORD_WEIGHT = 0.02;

/** Words before which a server counts as the others do. */
const LEAST_WORDS = 20;

/** Bounds of a word, as hosts are believed within reason only. */
const LEAST = 0.1;
const GREATEST = 10;

/**
 * How slow a server is for good, by the words of all hosts to the issuer of its
 * orders. All go by the issuer's answer, as they have to come to the same
 * ranking of servers for an adapter: so it is one of a few steps, and stays
 * there while the mean flutters.
 */
export class LongTermSlowdown {
  private meanLog: number;
  private words = 0;
  private step: number;

  /** Begins with what the issuer before said. */
  constructor(initial = 1) {
    this.meanLog = inSteps(initial);
    this.step = Math.round(this.meanLog);
  }

  /** A host says how slow it found the server, 1 as usual. */
  applyReport(slowness: number): void {
    const log = inSteps(Math.min(GREATEST, Math.max(LEAST, slowness)));
    this.words += 1;
    // The first words count alike, however few there are.
    const weight = Math.max(WORD_WEIGHT, 1 / this.words);
    this.meanLog += weight * (log - this.meanLog);
    const isBeyond = Math.abs(this.meanLog - this.step) > 0.5 + HYSTERESIS;
    if (this.words >= LEAST_WORDS && isBeyond) {
      this.step = Math.round(this.meanLog);
    }
  }

  /** Slowness that all hosts go by; undefined where nobody told any. */
  current(): number | undefined {
    return this.words === 0 && this.step === 0
      ? undefined
      : STEP_RATIO ** this.step;
  }
}

const inSteps = (slowness: number): number =>
  Math.log(slowness) / Math.log(STEP_RATIO);
