import test from 'ava';

import {startListener} from './simulated-listener.js';

// Guards against the denial of a route that was added since: a host that had
// not read the configuration for seconds answered 404 by the one that it had.
test.failing(
  'a configuration that may be outdated denies no route',
  async (t) => {
    const front = await startListener(undefined);
    t.teardown(front.close);
    t.is((await front.request('/added/')).status, 404);
    front.world.at = {monotonicMs: 12_000, wallMs: 12_000};
    const answer = await front.request('/added/');
    t.is(answer.status, 503);
    t.truthy(answer.retryAfter);
    // Routes that it knows are served on, as in an outage of the store.
    t.is((await front.request('/open/')).status, 200);
  },
);
