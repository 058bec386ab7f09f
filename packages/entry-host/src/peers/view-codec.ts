import {deflateRawSync, inflateRawSync} from 'node:zlib';

import {elapsedMs, type Instant} from '@basilworks/core';
import {parseJson} from '@basilworks/daemon';
import {
  instantBefore,
  type Snapshot,
  STORE_KINDS,
  type StoreViews,
} from '@basilworks/dispatch';
import type {fleet} from '@basilworks/protocol';
import {Result} from 'neverthrow';
import {z} from 'zod';

const itemsSchema = z.array(
  z.object({
    name: z.string(),
    revision: z.number(),
    value: z.unknown(),
  }),
);
const kindSchema = z.enum(STORE_KINDS);

/** Compression level: higher ones take longer for a few bytes less. */
const DEFLATE_LEVEL = 1;

/** Largest snapshot that is decompressed, bytes of JSON. */
const MAXIMUM_SNAPSHOT_BYTES = 16 * 1_048_576;

/** The items of a snapshot as a peer reads them. */
type EncodedItems = Pick<fleet.ViewSnapshot, 'items' | 'deflatedItems'>;

/** Caches encoded snapshots, as each is sent to many hosts. */
export class SnapshotCache {
  private readonly json = new WeakMap<Snapshot, string>();
  private readonly deflated = new WeakMap<Snapshot, Buffer>();

  /** Returns the items, compressed if the peer accepts that. */
  encode(snapshot: Snapshot, acceptsDeflate: boolean): EncodedItems {
    return acceptsDeflate
      ? {
          items: undefined,
          deflatedItems: cached(this.deflated, snapshot, () =>
            deflateRawSync(this.jsonOf(snapshot), {level: DEFLATE_LEVEL}),
          ),
        }
      : {items: this.jsonOf(snapshot), deflatedItems: undefined};
  }

  private jsonOf(snapshot: Snapshot): string {
    return cached(this.json, snapshot, () => JSON.stringify(snapshot.items));
  }
}

const cached = <Value>(
  cache: WeakMap<Snapshot, Value>,
  snapshot: Snapshot,
  compute: () => Value,
): Value => {
  const known = cache.get(snapshot);
  if (known !== undefined) {
    return known;
  }
  const value = compute();
  cache.set(snapshot, value);
  return value;
};

/** Longest time without an outage that is passed on, milliseconds. */
const LONGEST_STEADY_MS = 3_600_000;

const NO_ITEMS: EncodedItems = {items: undefined, deflatedItems: undefined};

/** What a peer asks for. */
export interface ViewQuery {
  /** Revisions of the snapshots that it has. */
  readonly known: readonly fleet.KnownRevision[];
  readonly acceptsDeflate: boolean;
}

/** Returns the views for a peer; omits the items of revisions that it knows. */
export const encodeViews = (
  views: StoreViews,
  {known, acceptsDeflate}: ViewQuery,
  snapshots: SnapshotCache,
  at: Instant,
): fleet.ViewSnapshot[] =>
  STORE_KINDS.flatMap((kind) => {
    const view = views.get(kind);
    if (view === undefined) {
      return [];
    }
    const {snapshot, freshAt, steadySince} = view;
    const knownRevision =
      known.find((revision) => revision.kind === kind)?.at ?? -1;
    return [
      {
        kind,
        at: snapshot.revision,
        ageMs: Math.ceil(Math.max(0, elapsedMs(freshAt, at))),
        ...(knownRevision >= snapshot.revision
          ? NO_ITEMS
          : snapshots.encode(snapshot, acceptsDeflate)),
        readBy: snapshot.readBy ?? '',
        steadyMs: Math.min(
          LONGEST_STEADY_MS,
          Math.floor(Math.max(0, elapsedMs(steadySince, freshAt))),
        ),
      },
    ];
  });

/**
 * Returns the revision (`at` in messages) that this host knows of each kind.
 */
export const knownRevisions = (views: StoreViews): fleet.KnownRevision[] =>
  STORE_KINDS.map((kind) => ({kind, at: views.revision(kind)}));

/**
 * Applies the views of a peer's response. Ages count back from `requestedAt`,
 * which precedes the peer's answer, so that views never appear fresher than they
 * are, and times without an outage from `at`, so that they never appear longer.
 * Returns the kinds that were updated.
 */
export const applyViews = (
  views: StoreViews,
  received: readonly fleet.ViewSnapshot[],
  requestedAt: Instant,
  at: Instant,
): readonly Snapshot['kind'][] =>
  received.flatMap((view) => {
    const {kind: name, at: revision, ageMs, steadyMs = 0, readBy} = view;
    const kind = kindSchema.safeParse(name).data;
    if (kind === undefined) {
      return [];
    }
    const freshAt = instantBefore(requestedAt, ageMs);
    const steadySince =
      steadyMs === 0 ? freshAt : instantBefore(at, ageMs + steadyMs);
    const {items, deflatedItems} = view;
    if (items === undefined && deflatedItems === undefined) {
      return views.confirm(kind, revision, freshAt, at, steadySince)
        ? [kind]
        : [];
    }
    const text = items ?? inflate(deflatedItems);
    const parsed = itemsSchema.safeParse(parseJson(text)).data;
    if (parsed === undefined) {
      return [];
    }
    const snapshot = {kind, revision, items: parsed, readBy};
    return views.update(snapshot, freshAt, at, steadySince) ? [kind] : [];
  });

/** Decompresses JSON; returns an empty text if that fails. */
const inflate = (bytes: Uint8Array | undefined): string =>
  Result.fromThrowable(() =>
    inflateRawSync(bytes ?? new Uint8Array(), {
      maxOutputLength: MAXIMUM_SNAPSHOT_BYTES,
    }).toString(),
  )().unwrapOr('');
