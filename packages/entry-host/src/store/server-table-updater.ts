import {elapsedMs} from '@basilworks/core';
import {
  ItemDecoder,
  type RecordedEntry,
  type ServerChange,
  serverEntrySchema,
} from '@basilworks/dispatch';

import type {EntryHostContext} from '../context.js';

/** Updates the table of servers from the store's view of their entries. */
export class ServerTableUpdater {
  private readonly entries = new ItemDecoder(serverEntrySchema);

  constructor(private readonly context: EntryHostContext) {}

  /** Applies the newest view; skips and logs malformed entries. */
  applyLatestView(): void {
    const {views, servers, clock, logger} = this.context;
    const view = views.get('servers');
    const at = clock.now();
    const items = view?.snapshot.items ?? [];
    const entries = items.flatMap((item): RecordedEntry[] => {
      const entry = this.entries.decode(item);
      if (entry === undefined) {
        logger.warn('malformed server entry skipped', {server: item.name});
        return [];
      }
      return [{entry, revision: item.revision}];
    });
    this.logChanges(servers.update(entries, view?.outageEndedAt, at));
  }

  /** Removes servers whose entries have been missing for too long. */
  expire(): void {
    const {servers, clock} = this.context;
    this.logChanges(servers.expire(clock.now()));
  }

  /** Logs each change of a server with the view that it comes from. */
  private logChanges(changes: readonly ServerChange[]): void {
    const {views, clock, logger} = this.context;
    const at = clock.now();
    const {snapshot, outageEndedAt} = views.get('servers') ?? {};
    const viewAgeMs = Math.round(views.ageMs('servers', at));
    const sinceOutageMs =
      outageEndedAt === undefined
        ? undefined
        : Math.round(elapsedMs(outageEndedAt, at));
    for (const change of changes) {
      logger.info('server changed', {
        ...change,
        viewRevision: snapshot?.revision,
        viewAgeMs,
        readBy: snapshot?.readBy,
        sinceOutageMs,
      });
    }
  }
}
