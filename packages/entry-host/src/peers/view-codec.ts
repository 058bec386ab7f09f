import {elapsedMs, type Instant} from '@basilworks/core';
import {parseJson} from '@basilworks/daemon';
import {
  instantBefore,
  type Snapshot,
  STORE_KINDS,
  type StoreViews,
} from '@basilworks/dispatch';
import type {fleet} from '@basilworks/protocol';
import {z} from 'zod';

const itemsSchema = z.array(
  z.object({
    name: z.string(),
    revision: z.number(),
    value: z.unknown(),
  }),
);
const kindSchema = z.enum(STORE_KINDS);

/** Caches serialised snapshots, as each is sent to many hosts. */
export class SnapshotJsonCache {
  private readonly entries = new WeakMap<Snapshot, string>();

  get(snapshot: Snapshot): string {
    const cached = this.entries.get(snapshot);
    if (cached !== undefined) {
      return cached;
    }
    const text = JSON.stringify(snapshot.items);
    this.entries.set(snapshot, text);
    return text;
  }
}

/** Returns the views for a peer; omits the items of revisions that it knows. */
export const encodeViews = (
  views: StoreViews,
  known: readonly fleet.KnownRevision[],
  snapshotJson: SnapshotJsonCache,
  at: Instant,
): fleet.ViewSnapshot[] =>
  STORE_KINDS.flatMap((kind) => {
    const view = views.get(kind);
    if (view === undefined) {
      return [];
    }
    const {snapshot, freshAt} = view;
    const knownRevision =
      known.find((revision) => revision.kind === kind)?.at ?? -1;
    return [
      {
        kind,
        at: snapshot.revision,
        ageMs: Math.ceil(Math.max(0, elapsedMs(freshAt, at))),
        items:
          knownRevision >= snapshot.revision
            ? undefined
            : snapshotJson.get(snapshot),
        readBy: snapshot.readBy ?? '',
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
 * which precedes the peer's read, so that views never appear fresher than they
 * are. Returns the kinds that were updated.
 */
export const applyViews = (
  views: StoreViews,
  received: readonly fleet.ViewSnapshot[],
  requestedAt: Instant,
  at: Instant,
): readonly Snapshot['kind'][] =>
  received.flatMap(({kind: name, at: revision, ageMs, items, readBy}) => {
    const kind = kindSchema.safeParse(name).data;
    if (kind === undefined) {
      return [];
    }
    const freshAt = instantBefore(requestedAt, ageMs);
    if (items === undefined) {
      views.confirm(kind, revision, freshAt, at);
      return [];
    }
    const parsed = itemsSchema.safeParse(parseJson(items)).data;
    if (parsed === undefined) {
      return [];
    }
    const snapshot = {kind, revision, items: parsed, readBy};
    return views.update(snapshot, freshAt, at) ? [kind] : [];
  });
