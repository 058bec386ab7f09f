import {mayAcceptKeys, OUTAGE_GAP_MS, STORE_KINDS} from '@basilworks/dispatch';
import test from 'ava';

import {maximumViewAgeMs, readingPlan} from '../../index.js';

// A host went by views of up to 4 s while leaving had to be known within 2 s:
// the age at which it read for itself was no part of any sum.
test('no plan lets a view grow older than the bound of its kind', (t) => {
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

// With bounds of some seconds, usual gaps between reads would have counted as
// outages, after which servers that are gone are kept.
test('no view of the servers grows old enough to pass for an outage', (t) => {
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

test('configurations are confirmed more closely than keys are revoked', (t) => {
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
