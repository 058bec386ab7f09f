import {digestKey, KeyRing} from '@basilworks/dispatch';
import test from 'ava';

import {startListener} from './simulated-listener.js';

const KEY = 'in-no-log-and-no-send';

const keyRingOf = (...keys: readonly string[]) => {
  const keyDigests = keys.map(digestKey);
  return KeyRing.of([{name: 'acme', priority: 1, keyDigests}])._unsafeUnwrap();
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
