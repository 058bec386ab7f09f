import type {Random} from '../lib/random.js';
import type {Scheduler} from './scheduler.js';

const KEPT_EVENTS = 1_000;

/** A prefix entered or left the cache. */
export interface CacheChange {
  readonly sequence: number;
  readonly prefixDigest: string;
  readonly cached: boolean;
}

export interface PrefixCacheOptions {
  /** Prefixes that fit into the memory. */
  readonly capacity: number;
  /** Time after which a change is published. */
  readonly eventLagMs: number;
  /** Share of changes that are never published. */
  readonly eventLossProbability: number;
}

interface PublishedChange extends CacheChange {
  readonly visibleMs: number;
}

/** An engine's prompt prefixes, least recently used out first. */
export class PrefixCache {
  private readonly prefixes = new Set<string>();
  private changes: PublishedChange[] = [];
  private sequence = 0;

  constructor(
    private readonly scheduler: Scheduler,
    private readonly random: Random,
    private readonly options: PrefixCacheOptions,
  ) {}

  /** Uses a prefix and returns whether it was cached. */
  use(prefixDigest: string): boolean {
    if (prefixDigest === '') {
      return false;
    }
    const hit = this.prefixes.delete(prefixDigest);
    this.prefixes.add(prefixDigest);
    if (!hit) {
      this.publish(prefixDigest, true);
      this.evictOverflow();
    }
    return hit;
  }

  clear(): void {
    this.prefixes.clear();
    this.changes = [];
  }

  /** Published changes with a sequence above `after`. */
  changesAfter(after: number): readonly CacheChange[] {
    const nowMs = this.scheduler.nowMs();
    return this.changes
      .filter(({sequence, visibleMs}) => sequence > after && visibleMs <= nowMs)
      .map(({sequence, prefixDigest, cached}) => ({
        sequence,
        prefixDigest,
        cached,
      }));
  }

  private evictOverflow(): void {
    const [oldest] = this.prefixes;
    if (this.prefixes.size > this.options.capacity && oldest !== undefined) {
      this.prefixes.delete(oldest);
      this.publish(oldest, false);
    }
  }

  private publish(prefixDigest: string, cached: boolean): void {
    const sequence = ++this.sequence;
    if (this.random() < this.options.eventLossProbability) {
      return;
    }
    const visibleMs = this.scheduler.nowMs() + this.options.eventLagMs;
    this.changes.push({sequence, prefixDigest, cached, visibleMs});
    if (this.changes.length > 2 * KEPT_EVENTS) {
      this.changes = this.changes.slice(-KEPT_EVENTS);
    }
  }
}
