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

/** Texts of snapshots, kept as each goes to many hosts. */
export class SnapshotJsonCache {
  private readonly texts = new WeakMap<Snapshot, string>();

  get(snapshot: Snapshot): string {
    const known = this.texts.get(snapshot);
    if (known !== undefined) {
      return known;
    }
    const text = JSON.stringify(snapshot.items);
    this.texts.set(snapshot, text);
    return text;
  }
}

/** Returns the views for a host that knows some revisions. */
export const encodeViews = (
  views: StoreViews,
  known: readonly fleet.KnownRevision[],
  texts: SnapshotJsonCache,
  at: Instant,
): fleet.ViewSnapshot[] =>
  STORE_KINDS.flatMap((kind) => {
    const view = views.get(kind);
    if (view === undefined) {
      return [];
    }
    const {snapshot, freshAt} = view;
    const has = known.find((revision) => revision.kind === kind)?.at ?? -1;
    return [
      {
        kind,
        at: snapshot.revision,
        ageMs: Math.ceil(Math.max(0, elapsedMs(freshAt, at))),
        items: has >= snapshot.revision ? undefined : texts.get(snapshot),
        readBy: snapshot.readBy ?? '',
      },
    ];
  });

/** Says which revisions this host knows. */
export const knownRevisions = (views: StoreViews): fleet.KnownRevision[] =>
  STORE_KINDS.map((kind) => ({kind, at: views.revision(kind)}));

/**
 * Takes over what a peer answered. Ages count from when the peer was asked, as
 * that was before it looked. Returns the kinds that became newer.
 */
export const applyViews = (
  views: StoreViews,
  received: readonly fleet.ViewSnapshot[],
  askedAt: Instant,
  at: Instant,
): readonly Snapshot['kind'][] =>
  received.flatMap(({kind: name, at: revision, ageMs, items, readBy}) => {
    const kind = kindSchema.safeParse(name).data;
    if (kind === undefined) {
      return [];
    }
    const freshAt = instantBefore(askedAt, ageMs);
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
