import {homeOf} from '../membership/selectors.js';
import type {CoreState} from '../state.js';
import type {StoredObject, StoreOperation} from '../store.js';

const SHARD_COUNT = 16;

/** First hexadecimal digits of names that are digests. */
const SHARDS = Array.from({length: SHARD_COUNT}, (_, digit) =>
  digit.toString(SHARD_COUNT),
);

interface Page {
  readonly shard: string;
  readonly after: string;
}

/** Hexadecimal digits of the name at which a pass begins in each shard. */
const START_DIGITS = 4;

/**
 * Passes over all objects of a kind, page by page. Each host takes the shards
 * whose home it is, so that together they list every object. Passes begin at a
 * place that the seed chooses and come round to it, so that hosts that are
 * restarted before the end of a pass see other objects each time.
 */
export class ShardSweep {
  private readonly pages: Page[] = [];

  constructor(
    private readonly kind: string,
    private readonly pageSize: number,
    private readonly seed: number,
  ) {}

  /** Whether pages are left to be listed. */
  get active(): boolean {
    return this.pages.length > 0;
  }

  /** Begins a new pass over the shards of this host. */
  begin(state: CoreState): void {
    this.pages.length = 0;
    const mine = SHARDS.filter(
      (shard) => homeOf(state, `${this.kind}/${shard}`) === state.settings.host,
    );
    const start = Math.abs(this.seed)
      .toString(SHARD_COUNT)
      .slice(-START_DIGITS);
    for (const shard of mine) {
      this.pages.push({shard, after: shard + start});
    }
    for (const shard of mine) {
      this.pages.push({shard, after: ''});
    }
  }

  /** The call that lists the next page; undefined at the end of the pass. */
  next(): StoreOperation | undefined {
    const page = this.pages[0];
    return page === undefined
      ? undefined
      : {
          type: 'list',
          kind: this.kind,
          prefix: page.shard,
          after: page.after,
          limit: this.pageSize,
        };
  }

  /** Notes that the page that `next` described was listed. */
  listed(objects: readonly StoredObject[]): void {
    const page = this.pages.shift();
    const last = objects.at(-1);
    if (
      page !== undefined &&
      last !== undefined &&
      objects.length >= this.pageSize
    ) {
      this.pages.unshift({shard: page.shard, after: last.name});
    }
  }
}
