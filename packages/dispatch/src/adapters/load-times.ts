/** Time that a load from the weight store takes until one was seen, ms. */
const ASSUMED_STORE_LOAD_MS = 250;

/** How much faster a load from a server's own copy is, until one was seen. */
const ASSUMED_COPY_FACTOR = 10;

/** Weight of the newest sample in the running mean. */
const SAMPLE_WEIGHT = 0.2;

/** Where a server gets an adapter from. */
export type LoadSource = 'store' | 'copy';

/** Mean times of adapter loads, as seen by this host. */
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
