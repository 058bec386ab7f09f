import type {AuditEntry} from '@basilworks/core';
import type {ServersView, ServerView} from '@basilworks/protocol';
import test from 'ava';

import {combineEntries} from '../commands/audit.js';
import {toCapacity} from '../commands/support.js';

const applied = (revision: number, atWallMs: number): AuditEntry => ({
  atWallMs,
  host: 'entry-1',
  actor: 'ines',
  action: 'sheet-applied',
  subject: 'configuration',
  revision,
});

test('the trail keeps revisions whose host is gone', (t) => {
  const note = {operator: 'omar', changeCount: 2, changes: []};
  const entries = combineEntries(
    [
      {host: 'entry-2', entries: [applied(4, 40)]},
      {host: 'entry-1', entries: [applied(3, 30)]},
    ],
    {
      revisions: [
        {...note, revision: 4},
        {...note, revision: 3},
        {...note, revision: 2},
        {...note, revision: 1},
      ],
    },
  );
  t.deepEqual(
    entries.map(({revision}) => revision),
    [1, 2, 3, 4],
  );
  t.is(entries[0]?.actor, 'omar');
  t.is(entries[2]?.actor, 'ines');
});

test('capacity counts each server once, as its owner sees it', (t) => {
  const server = (owned: ServerView['owned']): ServerView => ({
    server: 'engine-1',
    zone: 'fairhaven',
    pool: 'assistant-models',
    kind: 'engine',
    address: '127.0.0.1:1',
    slots: 8,
    batchPositions: 16,
    checksFencing: true,
    state: 'live',
    owned,
  });
  const view = (host: string, owned: ServerView['owned']): ServersView => ({
    host,
    servers: [server(owned)],
  });
  const slot = {
    adapter: 'tug',
    version: 'v1',
    state: 'ready',
    running: 1,
    queued: 0,
    idleMs: 0,
    uses: 1,
  };
  const pools = toCapacity([
    view('entry-1', undefined),
    view('entry-2', {fencingNumber: 3, running: 5, slotsInUse: [slot]}),
    view('entry-3', undefined),
  ]);
  t.deepEqual(pools, [
    {
      pool: 'assistant-models',
      servers: 1,
      observed: 1,
      slots: 8,
      slotsInUse: 1,
      batchPositions: 16,
      running: 5,
    },
  ]);
});
