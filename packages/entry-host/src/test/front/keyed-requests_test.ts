import {request as httpRequest} from 'node:http';

import type {LogFields} from '@basilworks/daemon';
import {
  digestKey,
  FairShares,
  KeyRing,
  RouteTable,
  ServerTable,
  StoreViews,
} from '@basilworks/dispatch';
import test from 'ava';

import type {EntryHostContext} from '../../context.js';
import {
  FrontListener,
  type ServerSelector,
  TenantShares,
} from '../../front/index.js';
import {
  type ExchangeObserver,
  UpstreamError,
  type UpstreamPools,
} from '../../upstream/index.js';
import {HEADER_NAMES} from './header-names.js';
import {FleetSimulation, serverEntry} from '../views/fleet-simulation.js';

const KEY = 'in-no-log-and-no-send';

const route = (name: string, open: boolean) => ({
  name,
  host: 'h',
  pathPrefix: `/${name}/`,
  kind: 'idempotent' as const,
  targets: [{service: 'plain', weight: 1}],
  timeoutMs: 2_000,
  latencyTargetMs: 500,
  priority: 5,
  maximumAttempts: 2,
  sticky: false,
  resumable: false,
  open,
});

const CONFIGURATION = {
  version: 3,
  routes: [route('keyed', false), route('open', true)],
  services: [{name: 'plain', healthPath: '/', maximumConnections: 10}],
  limits: {
    maximumHeaderBytes: 9_000,
    maximumBodyBytes: 9_000,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 3_000,
  },
};

const keyRingOf = (...keys: readonly string[]) => {
  const keyDigests = keys.map(digestKey);
  return KeyRing.of([{name: 'acme', priority: 1, keyDigests}])._unsafeUnwrap();
};

/** Starts a listener that records sends, on clocks that the test sets. */
const startListener = async (
  keyRing: KeyRing | undefined,
  /** Runs after a server is selected, before the first byte is sent. */
  beforeFirstByte: (world: {
    at: {monotonicMs: number; wallMs: number};
  }) => void = () => undefined,
) => {
  const fleet = new FleetSimulation(1);
  const {context: hostContext} = fleet.startHost('h0');
  const world = {at: {monotonicMs: 9_000, wallMs: 9_000}};
  const lines: string[] = [];
  const log = (message: string, fields?: LogFields) => {
    lines.push(`${message} ${JSON.stringify(fields)}`);
  };
  const views = new StoreViews();
  const confirm = (revision = 1) => {
    const snapshot = {kind: 'configuration', revision, items: []} as const;
    views.update(snapshot, world.at, world.at);
  };
  views.update({kind: 'servers', revision: 1, items: []}, world.at, world.at);
  const servers = new ServerTable();
  servers.update([{entry: serverEntry('s'), revision: 1}], undefined, world.at);
  const context = {
    ...hostContext,
    settings: {...hostContext.settings, keyRevocationMs: 5_000},
    clock: {now: () => world.at},
    logger: {debug: log, info: log, warn: log, error: log},
    views,
    servers,
    platform: {
      forwarding: {
        headers: HEADER_NAMES,
        lowestPriority: 9,
        parseNotice: () => ({leaving: false}),
        parseLoad: () => undefined,
        parseTokenUsage: () => ({promptTokens: 90, outputTokens: 10}),
      },
    },
  } as unknown as EntryHostContext;
  const sends: string[] = [];
  const pools = {
    poolFor: () => ({
      start: (
        {head}: {head: string},
        _maximum: number,
        observer: ExchangeObserver,
      ) => {
        setImmediate(() => {
          beforeFirstByte(world);
          if (observer.mayWrite?.() === false) {
            observer.failed(new UpstreamError(false, 'withheld', 'withheld'));
            return;
          }
          sends.push(head);
          const rawHeaders = ['X-Signature', 's'];
          observer.head({status: 200, rawHeaders, endsWithConnection: false});
          observer.end();
        });
        return {pause: () => 0, resume: () => 0, cancel: () => 0};
      },
    }),
  } as unknown as UpstreamPools;
  const noop = () => undefined;
  const select = () =>
    Promise.resolve({type: 'server', server: servers.byId('s')});
  const selector = {
    select,
    requestStarted: noop,
    requestEnded: noop,
    markAdapterAbsent: noop,
  };
  const shares = new FairShares(
    () => 2,
    () => 1,
  );
  const front = new FrontListener(
    context,
    pools,
    selector as unknown as ServerSelector,
    new TenantShares(context, shares),
  );
  const applyConfiguration = (keyRing: KeyRing | undefined, revision = 1) => {
    front.applyConfiguration(new RouteTable(CONFIGURATION), keyRing, revision);
  };
  confirm();
  applyConfiguration(keyRing);
  const port = (await front.listen('127.0.0.1', 0))._unsafeUnwrap();
  const request = (
    path: string,
    headers: Record<string, string | string[]> = {},
  ) =>
    new Promise<{status: number; retryAfter: string | undefined}>(
      (resolve, reject) => {
        const outgoing = httpRequest(
          {port, path, headers: {Host: 'h', 'X-Id': 'r', ...headers}},
          (response) => {
            const {statusCode: status = 0, headers: answered} = response;
            response.resume();
            resolve({status, retryAfter: answered['retry-after']});
          },
        );
        outgoing.on('error', reject);
        outgoing.end();
      },
    );
  const close = () => {
    front.close();
    fleet.close();
  };
  return {
    world,
    lines,
    sends,
    shares,
    confirm,
    applyConfiguration,
    request,
    close,
  };
};

test('forwards an authenticated request with its tenant’s name only', async (t) => {
  const front = await startListener(keyRingOf(KEY));
  t.teardown(front.close);
  const headers = {'x-key': KEY, 'x-tenant': 'another'};
  t.is((await front.request('/keyed/', headers)).status, 200);
  t.is((await front.request('/open/', headers)).status, 200);
  const [authenticated = '', open = ''] = front.sends;
  t.deepEqual(authenticated.match(/x-tenant: .*/gi), ['X-Tenant: acme']);
  t.true(authenticated.includes('X-Priority: 1\r\n'));
  t.false(/x-tenant/i.test(open));
  t.true(open.includes('X-Priority: 5\r\n'));
  t.false([...front.sends, ...front.lines].some((text) => text.includes(KEY)));
});

test('without tenants, forwards callers’ own key and tenant headers', async (t) => {
  const front = await startListener(undefined);
  t.teardown(front.close);
  front.world.at = {monotonicMs: 99_000, wallMs: 99_000};
  const headers = {'x-key': 'k', 'x-tenant': 'mine'};
  t.is((await front.request('/keyed/', headers)).status, 200);
  t.regex(front.sends[0] ?? '', /x-key: k\r\nx-tenant: mine\r\n/);
});

test('rejects requests without a valid key with 401', async (t) => {
  const front = await startListener(keyRingOf(KEY));
  t.teardown(front.close);
  const invalid = [
    {},
    {'x-key': `${KEY}x`},
    {'x-key': ''},
    {'x-key': [KEY, KEY]},
  ];
  for (const headers of invalid) {
    t.is((await front.request('/keyed/', headers)).status, 401);
  }
  t.deepEqual(front.sends, []);
  t.false(front.lines.some((line) => line.includes(KEY)));
});

// A host that was disconnected from the store kept accepting revoked keys. Its
// wall clock may step back and its monotonic clock may stop meanwhile.
for (const [clock, now] of Object.entries({
  'both clocks advance': {monotonicMs: 13_900, wallMs: 13_900},
  'the wall clock steps back': {monotonicMs: 13_900, wallMs: 1_000},
  'the monotonic clock stops': {monotonicMs: 9_100, wallMs: 13_900},
})) {
  test(`rejects keys while the configuration is stale: ${clock}`, async (t) => {
    const front = await startListener(keyRingOf(KEY));
    t.teardown(front.close);
    front.world.at = now;
    const rejected = await front.request('/keyed/', {'x-key': KEY});
    t.is(rejected.status, 503);
    t.truthy(rejected.retryAfter);
    t.is((await front.request('/open/')).status, 200);
    front.confirm();
    t.is((await front.request('/keyed/', {'x-key': KEY})).status, 200);
    t.is(front.sends.length, 2);
  });
}

test('does not send a request that was delayed by a frozen process', async (t) => {
  const front = await startListener(keyRingOf(KEY), (world) => {
    world.at = {monotonicMs: 14_100, wallMs: 14_100};
  });
  t.teardown(front.close);
  t.is((await front.request('/keyed/', {'x-key': KEY})).status, 503);
  t.deepEqual(front.sends, []);
});

test('does not send a request whose key is revoked before its first byte', async (t) => {
  const front = await startListener(keyRingOf(KEY), () => {
    front.confirm(2);
    front.applyConfiguration(keyRingOf('other'), 2);
  });
  t.teardown(front.close);
  t.is((await front.request('/keyed/', {'x-key': KEY})).status, 503);
  t.deepEqual(front.sends, []);
});

test('a newer configuration that was not applied confirms no keys', async (t) => {
  const front = await startListener(keyRingOf(KEY));
  t.teardown(front.close);
  t.is((await front.request('/keyed/', {'x-key': KEY})).status, 200);
  front.world.at = {monotonicMs: 14_000, wallMs: 14_000};
  front.confirm(2);
  t.is((await front.request('/keyed/', {'x-key': KEY})).status, 503);
});

test('a tenant beyond its share of a saturated service has to wait', async (t) => {
  const front = await startListener(keyRingOf(KEY));
  t.teardown(front.close);
  const {at} = front.world;
  t.is((await front.request('/keyed/', {'x-key': KEY})).status, 200);
  const [usage] = front.shares.report(at);
  t.deepEqual(usage, {
    service: 'plain',
    tenant: 'acme',
    offered: 50,
    served: 50,
  });
  for (const tenant of ['acme', 'other']) {
    const rates = {service: 'plain', offered: 500, served: 200};
    front.shares.applyGroup({group: 'g', tenant, ...rates}, at);
  }
  front.world.at = {monotonicMs: 9_200, wallMs: 9_200};
  const rejected = await front.request('/keyed/', {'x-key': KEY});
  t.is(rejected.status, 503);
  t.truthy(rejected.retryAfter);
  t.true(
    front.lines.some((line) =>
      line.startsWith('request rejected {"requestId":"r","tenant":"acme"'),
    ),
  );
  t.is((await front.request('/open/')).status, 200);
});
