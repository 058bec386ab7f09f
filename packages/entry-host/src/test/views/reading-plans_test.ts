import {mayAcceptKeys, OUTAGE_GAP_MS, STORE_KINDS} from '@basilworks/dispatch';
import test from 'ava';

import {maximumViewAgeMs, readingPlan} from '../../index.js';

// Guards against views older than their bound: a host used views up to 4 s old
// while it had to know leaving servers within 2 s, because the age from which
// it reads the store itself was not part of the computation.
test('no reading plan lets a view exceed the maximum age of its kind', (t) => {
  for (const scale of [0.8, 1, 1.5, 4]) {
    const newsBounds = {
      leavingServerMs: 2_000 * scale,
      configurationMs: 2_000 * scale,
      adapterVersionMs: 5_000 * scale,
    };
    const bounds = {
      servers: newsBounds.leavingServerMs,
      configuration: newsBounds.configurationMs,
      'adapter-versions': newsBounds.adapterVersionMs,
      records: 6_000,
    };
    for (const kind of STORE_KINDS) {
      const plan = readingPlan(kind, {newsBounds});
      t.true(maximumViewAgeMs(plan) <= bounds[kind], `${kind} ${scale}`);
      t.true(plan.waitMs >= 0 && plan.pauseMs >= 0);
    }
  }
});

// Guards against false outages: with bounds of some seconds, normal gaps
// between reads would count as outages, after which removed servers are kept.
test('no view of the servers gets old enough to count as an outage', (t) => {
  for (const leavingServerMs of [1_600, 2_000, 5_000, 20_000]) {
    const newsBounds = {
      leavingServerMs,
      configurationMs: 2_000,
      adapterVersionMs: 5_000,
    };
    const plan = readingPlan('servers', {newsBounds});
    t.true(maximumViewAgeMs(plan) <= OUTAGE_GAP_MS, `${leavingServerMs}`);
  }
});

test('configurations are confirmed in less time than keys are revoked in', (t) => {
  const newsBounds = {
    leavingServerMs: 2_000,
    configurationMs: 8_000,
    adapterVersionMs: 5_000,
  };
  for (const keyRevocationMs of [2_500, 5_000]) {
    const plan = readingPlan('configuration', {newsBounds, keyRevocationMs});
    t.true(mayAcceptKeys(maximumViewAgeMs(plan), keyRevocationMs));
  }
});
