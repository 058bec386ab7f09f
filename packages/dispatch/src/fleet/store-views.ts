import {elapsedMs, type Instant} from '@basilworks/core';

/** What is read from the platform's store. */
export const STORE_KINDS = [
  'configuration',
  'servers',
  'adapter-versions',
  'records',
] as const;
export type StoreKind = (typeof STORE_KINDS)[number];

/** One object of a kind, in the product's own types. */
export interface StoredItem {
  readonly name: string;
  /** Revision of its last change. */
  readonly revision: number;
  readonly value: unknown;
}

/** All objects of a kind as of one revision of the store. */
export interface Snapshot {
  readonly kind: StoreKind;
  /** Revision of the store that the objects are read at. */
  readonly revision: number;
  readonly items: readonly StoredItem[];
  /** Host that read it from the store, for logs. */
  readonly readBy?: string | undefined;
}

/** A snapshot and when it was known to be current. */
export interface StoreView {
  readonly snapshot: Snapshot;
  /** Start of the latest read that confirmed it. */
  readonly freshAt: Instant;
  /** End of the latest time in which neither this host nor any peer read it. */
  readonly outageEndedAt: Instant | undefined;
}

/**
 * Time without a read by anyone that counts as an outage of the store,
 * milliseconds: longer than a host goes by a view when the readers are lost,
 * shorter than the silence of some beats after which entries lapse.
 */
export const OUTAGE_GAP_MS = 2_000;

/** An instant `milliseconds` before another. */
export const instantBefore = (at: Instant, milliseconds: number): Instant => ({
  monotonicMs: at.monotonicMs - milliseconds,
  wallMs: at.wallMs - milliseconds,
});

/**
 * The newest known snapshot of each kind, read here or passed on by another
 * host. A snapshot never gives way to an older one, so that what this host
 * believes never goes backwards in one life.
 */
export class StoreViews {
  private readonly views = new Map<StoreKind, StoreView>();

  get(kind: StoreKind): StoreView | undefined {
    return this.views.get(kind);
  }

  /** Revision of the newest known snapshot, 0 when there is none. */
  revision(kind: StoreKind): number {
    return this.views.get(kind)?.snapshot.revision ?? 0;
  }

  /** Milliseconds since the view was known to be current. */
  ageMs(kind: StoreKind, at: Instant): number {
    const view = this.views.get(kind);
    return view === undefined ? Infinity : elapsedMs(view.freshAt, at);
  }

  /** Takes a snapshot that was current at `freshAt`; true when it is newer. */
  update(snapshot: Snapshot, freshAt: Instant, at: Instant): boolean {
    const known = this.views.get(snapshot.kind);
    if (known !== undefined && snapshot.revision < known.snapshot.revision) {
      return false;
    }
    const newer =
      known === undefined || snapshot.revision > known.snapshot.revision;
    this.views.set(
      snapshot.kind,
      known === undefined
        ? {snapshot, freshAt, outageEndedAt: undefined}
        : renew(newer ? {...known, snapshot} : known, freshAt, at),
    );
    return newer;
  }

  /** Notes that the snapshot at `revision` is still current. */
  confirm(
    kind: StoreKind,
    revision: number,
    freshAt: Instant,
    at: Instant,
  ): void {
    const known = this.views.get(kind);
    if (known?.snapshot.revision === revision) {
      this.views.set(kind, renew(known, freshAt, at));
    }
  }
}

/** The view once it is known, at `at`, that it was current at `freshAt`. */
const renew = (view: StoreView, freshAt: Instant, at: Instant): StoreView => {
  if (elapsedMs(view.freshAt, freshAt) <= 0) {
    return view;
  }
  // A step of the time of day or a suspended host is no outage of the store.
  const gapMs = freshAt.monotonicMs - view.freshAt.monotonicMs;
  const {outageEndedAt} = view;
  return {
    ...view,
    freshAt,
    outageEndedAt: gapMs > OUTAGE_GAP_MS ? at : outageEndedAt,
  };
};
