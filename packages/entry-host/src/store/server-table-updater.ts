import {elapsedMs} from '@basilworks/core';
import {
  type RecordedEntry,
  type ServerChange,
  serverEntrySchema,
} from '@basilworks/dispatch';

import type {EntryHostContext} from '../context.js';

/** Keeps the table of servers in step with what the store says of them. */
export class ServerTableUpdater {
  constructor(private readonly context: EntryHostContext) {}

  /** Takes over the newest view. */
  applyLatestView(): void {
    const {views, servers, clock, logger} = this.context;
    const view = views.get('servers');
    const at = clock.now();
    const items = view?.snapshot.items ?? [];
    const entries = items.flatMap(
      ({name, value, revision}): RecordedEntry[] => {
        const parsed = serverEntrySchema.safeParse(value);
        if (!parsed.success) {
          logger.warn('a server entry is malformed', {server: name});
          return [];
        }
        return [{entry: parsed.data, revision}];
      },
    );
    this.logChanges(servers.update(entries, view?.outageEndedAt, at));
  }

  /** Drops servers whose entries have stayed away for too long. */
  expire(): void {
    const {servers, clock} = this.context;
    this.logChanges(servers.expire(clock.now()));
  }

  /** Logs each change of a server, and the view that showed it. */
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
