import {ServerTable} from '@basilworks/dispatch';
import test from 'ava';

import type {EntryHostContext} from '../../context.js';
import {ServerSend} from '../../front/server-send.js';
import {
  type ExchangeObserver,
  UpstreamError,
  type UpstreamPools,
} from '../../upstream/index.js';
import {FleetSimulation, serverEntry} from '../views/fleet-simulation.js';
import {HEADER_NAMES} from './header-names.js';
import {SAMPLE_REQUEST} from './sample-request.js';

const entry = serverEntry('s');

/** Starts a send whose connection is not established yet. */
const startSend = (permitted = false) => {
  const fleet = new FleetSimulation(1);
  const {context: hostContext} = fleet.startHost('h0');
  const at = hostContext.clock.now();
  hostContext.views.update({kind: 'servers', revision: 7, items: []}, at, at);
  const servers = new ServerTable();
  servers.update([{entry, revision: 1}], undefined, at);
  const context = {
    ...hostContext,
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
  const ignoringObserver = {head: () => undefined, data: () => undefined};
  const send = new ServerSend(
    context,
    pools,
    server,
    10,
    permitted,
    ignoringObserver,
  );
  const result = send.run(SAMPLE_REQUEST, {
    serverId: 's',
    remainingMs: 1_000,
    version: undefined,
    priority: 0,
    lastEventId: undefined,
  });
  fleet.close();
  if (observer === undefined) {
    throw new Error('nothing was sent');
  }
  const wasCancelled = () => cancelled;
  return {servers, server, observer, result, send, cancelled: wasCancelled};
};

test('a send writes to a server that accepts requests', (t) => {
  const {observer, send} = startSend();
  t.true(observer.mayWrite?.());
  t.deepEqual(send.logFields, {
    entryRevision: 1,
    viewRevision: 7,
    viewAgeMs: 0,
    requestsPerSecond: undefined,
    delayMs: 0,
    startedMs: undefined,
    versionViewAgeMs: Infinity,
    path: undefined,
    endsWithConnection: undefined,
    answerBytes: 0,
  });
});

// Guards against requests beyond a server's rate limit: no permit was acquired
// for them, as the limit was not known yet when the server was selected.
test('a send without a permit writes nothing to a rate-limited server', (t) => {
  for (const permitted of [false, true]) {
    const {observer, server} = startSend(permitted);
    const at = {monotonicMs: 0, wallMs: 0};
    server.notices.applyRateLimit({
      requestsPerSecond: 5,
      after: at,
      before: at,
    });
    t.is(observer.mayWrite?.(), permitted);
  }
});

// Guards against requests that reach a server which began to leave while the
// connection to it was being opened: its state has to be checked again before
// the first byte.
for (const [change, entries] of Object.entries({
  'is leaving': [{entry: {...entry, leaving: true}, revision: 2}],
  'was removed': [],
  'has restarted': [{entry: {...entry, startedAtWallMs: 2}, revision: 2}],
})) {
  test(`a delayed send writes nothing to a server that ${change}`, async (t) => {
    const {servers, server, observer, result} = startSend();
    const at = {monotonicMs: 0, wallMs: 0};
    servers.update(entries, undefined, at);
    t.false(observer.mayWrite?.());
    observer.failed(new UpstreamError(false, 'withheld', 'not wanted'));
    const sendResult = await result;
    t.is(
      sendResult.type === 'no-answer' ? sendResult.outcome : sendResult.type,
      'not-sent',
    );
    t.false(server.health.needsCheck());
  });
}

// Guards against a failure with a long body that reaches the caller truncated
// and looks complete.
test('a failure too large to buffer is not passed on', async (t) => {
  const {observer, result, cancelled} = startSend();
  observer.head({status: 500, rawHeaders: [], endsWithConnection: false});
  for (let index = 0; index < 3 && !cancelled(); index += 1) {
    observer.data(Buffer.alloc(40_000));
  }
  t.true(cancelled());
  const sendResult = await result;
  t.is(
    sendResult.type === 'no-answer' ? sendResult.outcome : sendResult.type,
    'unknown',
  );
});
