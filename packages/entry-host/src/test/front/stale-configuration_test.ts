import test from 'ava';

import {CONFIGURATION, route, startListener} from './simulated-listener.js';

// Guards against the denial of a route that was added since: a host that had
// not read the configuration for seconds answered 404 by the one that it had.
test('a configuration that may be outdated denies no route', async (t) => {
  const front = await startListener(undefined);
  t.teardown(front.close);
  t.is((await front.request('/added/')).status, 404);
  front.world.at = {monotonicMs: 12_000, wallMs: 12_000};
  const answer = await front.request('/added/');
  t.is(answer.status, 503);
  t.truthy(answer.retryAfter);
  // Routes that it knows are served on, as in an outage of the store.
  t.is((await front.request('/open/')).status, 200);
});

test('requests wait for one read of an outdated configuration', async (t) => {
  let reads = 0;
  const front = await startListener(undefined, undefined, {
    failingMs: () => 0,
    responseMs: () => 0,
    refresh: () => {
      reads += 1;
      front.confirm(2);
      front.applyConfiguration(undefined, 2, {
        ...CONFIGURATION,
        version: 4,
        routes: [...CONFIGURATION.routes, route('added', true)],
      });
      return Promise.resolve(true);
    },
  });
  t.teardown(front.close);
  front.world.at = {monotonicMs: 12_000, wallMs: 12_000};
  const paths = ['/added/', '/open/', '/added/', '/unknown/'];
  const answers = await Promise.all(paths.map((path) => front.request(path)));
  t.deepEqual(
    answers.map(({status}) => status),
    [200, 200, 200, 404],
  );
  t.is(reads, 1);
});

test('no request waits for a store that has been unavailable', async (t) => {
  const front = await startListener(undefined, undefined, {
    failingMs: () => 700,
    responseMs: () => 0,
    refresh: () => t.fail(),
  });
  t.teardown(front.close);
  front.world.at = {monotonicMs: 12_000, wallMs: 12_000};
  t.is((await front.request('/open/')).status, 200);
  t.is((await front.request('/added/')).status, 503);
});

test('requests for unknown routes don’t flood a store that confirms nothing', async (t) => {
  let reads = 0;
  const front = await startListener(undefined, undefined, {
    failingMs: () => 0,
    responseMs: () => 0,
    refresh: () => {
      reads += 1;
      return Promise.resolve(true);
    },
  });
  t.teardown(front.close);
  for (let request = 0; request < 40; request += 1) {
    const atMs = 12_000 + 50 * request;
    front.world.at = {monotonicMs: atMs, wallMs: atMs};
    t.is((await front.request('/added/')).status, 503);
  }
  t.true(reads <= 4, `${reads} reads in two seconds`);
});
