import {TimerService} from '@basilworks/daemon';
import {
  FailureTallies,
  firstFence,
  PromptReports,
  FleetLoad,
  type HostEntry,
  Membership,
  ServerOutliers,
  ServerPaths,
  ServerTable,
  storeRevision,
  StoreViews,
} from '@basilworks/dispatch';
import test from 'ava';

import type {EntryHostContext} from '../../context.js';
import {EntryHostMetrics} from '../../metrics.js';
import {ClaimManager} from '../../orders/index.js';
import type {PlatformProtocol} from '../../ports.js';

const entry = (host: string): HostEntry => ({
  host,
  incarnation: 'run-1',
  zone: 'z1',
  peerAddress: `${host}:1`,
  callerAddress: `${host}:2`,
  ready: true,
  readsStore: true,
  capacity: 1_000,
  version: 1,
  gone: false,
});

const createFixture = () => {
  let nowMs = 0;
  const clock = {now: () => ({monotonicMs: nowMs, wallMs: nowMs})};
  const context: EntryHostContext = {
    settings: {
      host: 'me',
      zone: 'z1',
      callerAddress: 'me:2',
      readinessAddress: 'me:3',
      directoryAddress: 'me:4',
      peerAddress: 'me:1',
      seeds: [],
      storeAddress: 'store:1',
      addressLifetimeS: 5,
      stopGraceS: 8,
      orderLeaseMs: 3_000,
      newsBounds: {
        leavingServerMs: 2_000,
        configurationMs: 2_000,
        adapterVersionMs: 5_000,
      },
      retryBudget: {ratio: 0.2, extra: 10, windowS: 10},
      quotaTolerance: {windowS: 8, share: 0.1, extra: 0},
      machine: {coreShare: 1, cores: 1, linkMbps: 1_000},
      logLevel: 'error',
    },
    // Unused, since no record needs a change.
    platform: {} as PlatformProtocol,
    clock,
    timers: new TimerService(),
    logger: {
      debug: () => undefined,
      info: () => undefined,
      warn: () => undefined,
      error: () => undefined,
    },
    metrics: new EntryHostMetrics(() => 0),
    membership: new Membership(() => entry('me'), 1),
    views: new StoreViews(),
    servers: new ServerTable(),
    fleetLoad: new FleetLoad(),
    tallies: new FailureTallies(),
    promptReports: new PromptReports(() => undefined),
    outliers: new ServerOutliers(),
    paths: new ServerPaths(),
    signal: new AbortController().signal,
    random: () => 0.5,
  };
  const claims = new ClaimManager(
    context,
    () => undefined,
    () => undefined,
  );
  const claim = {
    type: 'claim',
    server: 's1',
    host: 'me',
    fence: 5,
    takenFrom: 'other',
  };
  context.views.update(
    {
      kind: 'records',
      revision: 7,
      items: [{name: 'claim.s1', revision: 7, value: claim}],
    },
    clock.now(),
    clock.now(),
  );
  claims.applyRecords();
  return {
    claims,
    context,
    setNow: (milliseconds: number) => {
      nowMs = milliseconds;
    },
  };
};

test('a restart during a takeover keeps the wait for the former holder', (t) => {
  const {claims, context, setNow} = createFixture();
  t.is(claims.stateOf('s1'), 'waiting');
  setNow(400);
  context.membership.recordContact(entry('other'), 7, {
    monotonicMs: 400,
    wallMs: 400,
  });
  setNow(500);
  claims.review();
  setNow(3_900);
  t.is(claims.stateOf('s1'), 'waiting');
  setNow(4_100);
  t.is(claims.stateOf('s1'), 'issuing');
});

test('a former holder that uses older records has not yielded', (t) => {
  const {claims, context, setNow} = createFixture();
  setNow(400);
  context.membership.recordContact(entry('other'), 6, {
    monotonicMs: 400,
    wallMs: 400,
  });
  setNow(500);
  claims.review();
  setNow(4_100);
  t.is(claims.stateOf('s1'), 'waiting');
  t.is(claims.stateOf('s2'), 'none');
});

// Guards against orders by claims that a restored store has forgotten: the copy
// may show an older claim of this host, which another has taken since.
test('a claim of an earlier era of the store issues no orders', (t) => {
  const {claims, context, setNow} = createFixture();
  const apply = (atMs: number, counter: number, fence: number) => {
    setNow(atMs);
    const at = {monotonicMs: atMs, wallMs: atMs};
    const revision = storeRevision(1, counter) ?? 0;
    const value = {type: 'claim', server: 's1', host: 'me', fence};
    const items = [{name: 'claim.s1', revision, value}];
    context.views.update({kind: 'records', revision, items}, at, at);
    claims.applyRecords();
  };
  apply(30_000, 5, 4);
  t.is(claims.stateOf('s1'), 'none');
  t.is(claims.fenceFor('s1'), undefined);
  apply(30_500, 6, firstFence(1));
  t.is(claims.stateOf('s1'), 'issuing');
  t.is(claims.fenceFor('s1'), firstFence(1));
});
