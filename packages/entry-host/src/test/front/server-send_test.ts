import {ServerTable} from '@basilworks/dispatch';
import test from 'ava';

import type {EntryHostContext} from '../../context.js';
import {ServerSend} from '../../front/server-send.js';
import {
  type ExchangeObserver,
  UpstreamError,
  type UpstreamPools,
} from '../../upstream/index.js';
import {HEADER_NAMES} from './header-names.js';
import {FleetSimulation, serverEntry} from '../views/fleet-simulation.js';
import {REQUEST} from './request-parts.js';

const entry = serverEntry('s');

/** A send whose connection is not open yet. */
const begin = (permitted = false) => {
  const fleet = new FleetSimulation(1);
  const {context: parts} = fleet.startHost('h0');
  const at = parts.clock.now();
  parts.views.update({kind: 'servers', revision: 7, items: []}, at, at);
  const servers = new ServerTable();
  servers.update([{entry, revision: 1}], undefined, at);
  const context = {
    ...parts,
    servers,
    platform: {
      forwarding: {
        headers: HEADER_NAMES,
        parseNotice: () => ({leaving: false}),
        parseLoad: () => undefined,
      },
    },
  } as unknown as EntryHostContext;
  const server = servers.byId('s');
  if (server === undefined) {
    throw new Error('no server');
  }
  let observer: ExchangeObserver | undefined;
  let cancelled = false;
  const pools = {
    poolFor: () => ({
      start: (_request: unknown, _maximum: number, given: ExchangeObserver) => {
        observer = given;
        const cancel = () => {
          cancelled = true;
          given.failed(new UpstreamError(true, 'cancelled', 'cancelled'));
        };
        return {pause: () => 0, resume: () => 0, cancel};
      },
    }),
  } as unknown as UpstreamPools;
  const ignore = {head: () => undefined, data: () => undefined};
  const send = new ServerSend(context, pools, server, 10, permitted, ignore);
  const result = send.run(REQUEST, {
    server: 's',
    remainingMs: 1_000,
    version: undefined,
    priority: 0,
    resumeAfter: undefined,
  });
  fleet.close();
  if (observer === undefined) {
    throw new Error('nothing was sent');
  }
  const wasCancelled = () => cancelled;
  return {servers, server, observer, result, send, cancelled: wasCancelled};
};

test('a send writes to a server that is open', (t) => {
  const {observer, send} = begin();
  t.true(observer.mayWrite?.());
  t.deepEqual(send.grounds, {
    entryRevision: 1,
    viewRevision: 7,
    viewAgeMs: 0,
    requestsPerSecond: undefined,
    delayMs: 0,
  });
});

// A request that was on its way when its server named a limit came on top of it.
test('a send without a permit writes nothing to a limited server', (t) => {
  for (const permitted of [false, true]) {
    const {observer, server} = begin(permitted);
    const at = {monotonicMs: 0, wallMs: 0};
    server.notices.applyRateLimit({
      requestsPerSecond: 5,
      after: at,
      before: at,
    });
    t.is(observer.mayWrite?.(), permitted);
  }
});

// Requests reached a server that had begun to leave while a connection to it was
// opened: nothing looked at it again before the first byte.
for (const [change, entries] of Object.entries({
  'is leaving': [{entry: {...entry, leaving: true}, revision: 2}],
  'is gone': [],
  'has restarted': [{entry: {...entry, startedAtWallMs: 2}, revision: 2}],
})) {
  test(`a send that waited writes nothing to a server that ${change}`, async (t) => {
    const {servers, server, observer, result} = begin();
    const at = {monotonicMs: 0, wallMs: 0};
    servers.update(entries, undefined, at);
    t.false(observer.mayWrite?.());
    observer.failed(new UpstreamError(false, 'withheld', 'not wanted'));
    const end = await result;
    t.is(end.type === 'no-answer' ? end.end : end.type, 'not-sent');
    t.false(server.health.needsCheck());
  });
}

// A failure with a long body reached the caller cut off, and looked complete.
test('a failure that is too long to be kept is not passed on', async (t) => {
  const {observer, result, cancelled} = begin();
  observer.head({status: 500, rawHeaders: [], endsWithConnection: false});
  for (let index = 0; index < 3 && !cancelled(); index += 1) {
    observer.data(Buffer.alloc(40_000));
  }
  t.true(cancelled());
  const end = await result;
  t.is(end.type === 'no-answer' ? end.end : end.type, 'unknown');
});
