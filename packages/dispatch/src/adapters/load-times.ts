/** Assumed time of a load from the weight store before the first sample, ms. */
const ASSUMED_STORE_LOAD_MS = 250;

/** Assumed speedup of a load from a local copy before the first sample. */
const ASSUMED_COPY_FACTOR = 10;

/** Weight of the newest sample in the moving average. */
const SAMPLE_WEIGHT = 0.2;

/** Source of a load: the weight store, or the server's local copy. */
export type LoadSource = 'store' | 'copy';

/** Moving averages of the adapter load times that this host observed. */
export class LoadTimes {
  private readonly meanMs: Record<LoadSource, number> = {
    store: ASSUMED_STORE_LOAD_MS,
    copy: ASSUMED_STORE_LOAD_MS / ASSUMED_COPY_FACTOR,
  };

  expectedMs(source: LoadSource): number {
    return this.meanMs[source];
  }

  observe(source: LoadSource, milliseconds: number): void {
    this.meanMs[source] += SAMPLE_WEIGHT * (milliseconds - this.meanMs[source]);
  }
}
