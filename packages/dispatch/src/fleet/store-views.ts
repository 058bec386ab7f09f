import {elapsedMs, type Instant} from '@basilworks/core';

import {eraOf} from './store-revision.js';

/** Kinds of objects that are read from the platform's store. */
export const STORE_KINDS = [
  'configuration',
  'servers',
  'adapter-versions',
  'records',
] as const;
export type StoreKind = (typeof STORE_KINDS)[number];

/** One object of a kind, decoded to internal types. */
export interface StoredItem {
  readonly name: string;
  /** Revision of its last change, ordered over all eras of the store. */
  readonly revision: number;
  readonly value: unknown;
}

/** All objects of a kind as of one revision of the store. */
export interface Snapshot {
  readonly kind: StoreKind;
  /** Revision of the store at which the objects were read. */
  readonly revision: number;
  readonly items: readonly StoredItem[];
  /** Host that read the snapshot from the store, for logs. */
  readonly readBy?: string | undefined;
}

/** A snapshot and when it was last confirmed to be current. */
export interface StoreView {
  readonly snapshot: Snapshot;
  /** Start of the latest read that confirmed the snapshot. */
  readonly freshAt: Instant;
  /**
   * Start of the time until `freshAt` in which it was read without an outage, by
   * whichever host.
   */
  readonly steadySince: Instant;
  /**
   * End of the latest period in which neither this host nor a peer read it, or
   * when the store was found to have been restored from an older copy.
   */
  readonly outageEndedAt: Instant | undefined;
  /**
   * Start of that period; undefined if there was none that reads of other hosts
   * may turn out to have interrupted.
   */
  readonly outageBeganAt: Instant | undefined;
  /**
   * Latest instant at which the snapshot before this one was known to be
   * current; undefined for the first one.
   */
  readonly changedAfter: Instant | undefined;
}

/**
 * Time without a read by any host that counts as a store outage, milliseconds.
 * It is longer than a host uses a view after the readers are lost, and shorter
 * than the missed heartbeats after which entries lapse.
 */
export const OUTAGE_GAP_MS = 2_000;

/** An instant `milliseconds` before another. */
export const instantBefore = (at: Instant, milliseconds: number): Instant => ({
  monotonicMs: at.monotonicMs - milliseconds,
  wallMs: at.wallMs - milliseconds,
});

/**
 * The newest known snapshot of each kind, read by this host or relayed by
 * another. A snapshot is never replaced by an older one, so that revisions
 * never decrease within one process.
 */
export class StoreViews {
  private readonly views = new Map<StoreKind, StoreView>();

  get(kind: StoreKind): StoreView | undefined {
    return this.views.get(kind);
  }

  /** Revision of the newest known snapshot, 0 if there is none. */
  revision(kind: StoreKind): number {
    return this.views.get(kind)?.snapshot.revision ?? 0;
  }

  /** Milliseconds since the view was last confirmed to be current. */
  ageMs(kind: StoreKind, at: Instant): number {
    const view = this.views.get(kind);
    return view === undefined ? Infinity : elapsedMs(view.freshAt, at);
  }

  /**
   * Applies a snapshot that was read without an outage from `steadySince` to
   * `freshAt`; true if the view has changed in more than its age.
   */
  update(
    snapshot: Snapshot,
    freshAt: Instant,
    at: Instant,
    steadySince = freshAt,
  ): boolean {
    const known = this.views.get(snapshot.kind);
    if (known === undefined) {
      this.views.set(snapshot.kind, {
        snapshot,
        freshAt,
        steadySince,
        outageEndedAt: undefined,
        outageBeganAt: undefined,
        changedAfter: undefined,
      });
      return true;
    }
    const read = {freshAt, steadySince};
    if (snapshot.revision < known.snapshot.revision) {
      return this.apply(known, withoutFalseOutage(known, read));
    }
    if (snapshot.revision === known.snapshot.revision) {
      return this.apply(known, confirmView(known, read, at));
    }
    const newer = withKnownItems(snapshot, known);
    this.views.set(snapshot.kind, replaceView(known, newer, read, at));
    return true;
  }

  /**
   * Records that the snapshot at `revision` was current from `steadySince` to
   * `freshAt`; true if the view has changed in more than its age.
   */
  confirm(
    kind: StoreKind,
    revision: number,
    freshAt: Instant,
    at: Instant,
    steadySince = freshAt,
  ): boolean {
    const known = this.views.get(kind);
    if (known === undefined) {
      return false;
    }
    const read = {freshAt, steadySince};
    const isCurrent = known.snapshot.revision === revision;
    return this.apply(
      known,
      isCurrent
        ? confirmView(known, read, at)
        : withoutFalseOutage(known, read),
    );
  }

  /** Whether an outage was found to have been none. */
  private apply(known: StoreView, view: StoreView): boolean {
    this.views.set(view.snapshot.kind, view);
    return (
      known.outageEndedAt !== undefined && view.outageEndedAt === undefined
    );
  }
}

/** The time in which a host has read a snapshot without an outage. */
type SteadyRead = Pick<StoreView, 'freshAt' | 'steadySince'>;

/** Returns the snapshot with the known objects of items that are unchanged. */
const withKnownItems = (snapshot: Snapshot, {snapshot: known}: StoreView) => {
  const knownByName = new Map(known.items.map((item) => [item.name, item]));
  return {
    ...snapshot,
    items: snapshot.items.map((item) => {
      const before = knownByName.get(item.name);
      return before?.revision === item.revision ? before : item;
    }),
  };
};

/**
 * Returns the view with a snapshot that was current at `freshAt`. In a new era
 * of the store, entries written since its copy was made are missing until their
 * writers notice, as after an outage.
 */
const replaceView = (
  known: StoreView,
  snapshot: Snapshot,
  read: SteadyRead,
  at: Instant,
): StoreView => {
  const changed = {...known, snapshot, changedAfter: known.freshAt};
  const {freshAt} = read;
  const restored = eraOf(snapshot.revision) > eraOf(known.snapshot.revision);
  return restored
    ? {
        ...changed,
        freshAt,
        steadySince: freshAt,
        outageEndedAt: at,
        outageBeganAt: undefined,
      }
    : confirmView(changed, read, at);
};

/** Returns the view with a confirmation by a read, received at `at`. */
const confirmView = (
  known: StoreView,
  {freshAt, steadySince}: SteadyRead,
  at: Instant,
): StoreView => {
  const view = withoutFalseOutage(known, {freshAt, steadySince});
  if (elapsedMs(view.freshAt, freshAt) <= 0) {
    return view;
  }
  return isInterrupted(view.freshAt, steadySince)
    ? {
        ...view,
        freshAt,
        steadySince,
        outageEndedAt: at,
        outageBeganAt: view.freshAt,
      }
    : {
        ...view,
        freshAt,
        steadySince: earlier(view.steadySince, steadySince),
      };
};

/**
 * Returns the view without its outage if another host read meanwhile, whatever
 * revision it has.
 */
const withoutFalseOutage = (
  view: StoreView,
  {freshAt, steadySince}: SteadyRead,
): StoreView => {
  const {outageBeganAt} = view;
  const wasRead =
    outageBeganAt !== undefined &&
    !isInterrupted(outageBeganAt, steadySince) &&
    !isInterrupted(freshAt, view.steadySince);
  return wasRead
    ? {
        ...view,
        steadySince: earlier(outageBeganAt, steadySince),
        outageEndedAt: undefined,
        outageBeganAt: undefined,
      }
    : view;
};

/**
 * Whether the time between two reads counts as an outage. Uses the monotonic
 * clock only: a wall clock step or a suspended host is not a store outage.
 */
const isInterrupted = (from: Instant, to: Instant): boolean =>
  to.monotonicMs - from.monotonicMs > OUTAGE_GAP_MS;

const earlier = (one: Instant, other: Instant): Instant =>
  one.monotonicMs <= other.monotonicMs ? one : other;
