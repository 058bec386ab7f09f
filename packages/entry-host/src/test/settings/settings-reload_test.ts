import test from 'ava';

import {
  type EntryHostSettings,
  entryHostSettingsSchema,
  reloadSettings,
} from '../../index.js';

const current: EntryHostSettings = entryHostSettingsSchema.parse({
  host: 'me',
  zone: 'z1',
  callerAddress: '10.0.0.1:1',
  readinessAddress: '10.0.0.1:2',
  directoryAddress: '10.0.0.1:3',
  peerAddress: '10.0.0.1:4',
  seeds: ['10.0.0.2:4'],
  storeAddress: '10.0.0.9:1',
  addressLifetimeS: 5,
  stopGraceS: 8,
  orderLeaseMs: 3_000,
  retryBudget: {ratio: 0.2, extra: 50, windowS: 10},
});

test('reloading unchanged settings applies nothing', (t) => {
  const reload = reloadSettings(current, structuredClone(current));
  t.deepEqual(reload, {settings: current, applied: [], needRestart: []});
});

test('settings that can change while the process runs take effect', (t) => {
  const next = {
    ...current,
    seeds: ['10.0.0.3:4'],
    retryBudget: {...current.retryBudget, ratio: 0.1},
  };
  const {settings, applied, needRestart} = reloadSettings(current, next);
  t.deepEqual(settings, next);
  t.deepEqual(applied, ['seeds', 'retryBudget']);
  t.deepEqual(needRestart, []);
});

test('settings fixed at the start stay and are reported as needing a restart', (t) => {
  const next = {
    ...current,
    peerAddress: '10.0.0.7:4',
    metricsAddress: '10.0.0.1:9',
    stopGraceS: 4,
  };
  const {settings, applied, needRestart} = reloadSettings(current, next);
  t.deepEqual(settings, {...current, stopGraceS: 4});
  t.deepEqual(applied, ['stopGraceS']);
  t.deepEqual([...needRestart].sort(), ['metricsAddress', 'peerAddress']);
});

test('every setting either takes effect or is reported as needing a restart', (t) => {
  for (const name of Object.keys(entryHostSettingsSchema.shape)) {
    const next = {...current, [name]: 'changed'};
    const {applied, needRestart} = reloadSettings(current, next);
    t.deepEqual([...applied, ...needRestart], [name]);
  }
});
