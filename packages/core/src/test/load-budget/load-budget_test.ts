import test from 'ava';

import type {Effect} from '../../effects.js';
import type {LoadRequested} from '../../load-budget/messages.js';
import {reduce} from '../../reducer.js';
import {coreSettingsSchema} from '../../settings.js';
import {createState, type CoreState} from '../../state.js';

const settings = coreSettingsSchema.parse({
  host: 'holder',
  zone: 'zone-a',
  peerAddress: '127.0.0.1:1',
  callerAddress: '127.0.0.1:2',
  weightStore: {loadsPerSecond: 2, fullSpeedLoads: 1, transitLimit: 3},
});

const newState = (): CoreState =>
  createState(settings, {incarnation: 'holder#1', seed: 1});

const at = (monotonicMs: number) => ({monotonicMs, wallMs: monotonicMs});

const request = (
  loadId: string,
  overrides: Partial<LoadRequested> = {},
): LoadRequested => ({
  type: 'load-requested',
  loadId,
  server: 'server-1',
  wanted: {adapter: 'adapter', version: 'v1'},
  urgency: 10,
  slackMs: 60_000,
  inTransit: false,
  ...overrides,
});

const deliver = (
  state: CoreState,
  message: Parameters<typeof peerEvent>[0],
  nowMs: number,
): readonly string[] =>
  grants(reduce(state, peerEvent(message), at(nowMs)).effects);

const peerEvent = (
  message:
    LoadRequested | {type: 'load-released'; loadId: string; used: boolean},
) =>
  ({
    type: 'peer-message',
    from: 'owner',
    fromIncarnation: 'owner#1',
    message,
  }) as const;

const wake = (state: CoreState, nowMs: number): readonly string[] =>
  grants(
    reduce(
      state,
      {type: 'timer-fired', area: 'load-budget', timer: 'next-load'},
      at(nowMs),
    ).effects,
  );

const grants = (effects: readonly Effect[]): readonly string[] =>
  effects.flatMap((effect) =>
    effect.type === 'send-peer-message' &&
    effect.message.type === 'load-granted'
      ? [effect.message.loadId]
      : [],
  );

test('loads start at the rate of the store', (t) => {
  const state = newState();
  t.deepEqual(deliver(state, request('first'), 1_000), ['first']);
  t.deepEqual(deliver(state, request('second'), 1_010), []);
  t.deepEqual(wake(state, 1_400), []);
  t.deepEqual(wake(state, 1_510), ['second']);
});

test('the load whose waiting costs most goes first', (t) => {
  const state = newState();
  deliver(state, request('first'), 1_000);
  deliver(state, request('low', {urgency: 1}), 1_001);
  deliver(state, request('high', {urgency: 100}), 1_002);
  t.deepEqual(wake(state, 1_600), ['high']);
});

test('waiting raises a load above newer ones of equal urgency', (t) => {
  const state = newState();
  deliver(state, request('first'), 1_000);
  deliver(state, request('older'), 1_010);
  deliver(state, request('newer'), 1_400);
  t.deepEqual(wake(state, 1_600), ['older']);
});

test('a repeated request is granted once and answered again', (t) => {
  const state = newState();
  t.deepEqual(deliver(state, request('first'), 1_000), ['first']);
  t.deepEqual(deliver(state, request('first'), 1_100), ['first']);
  t.is(state.loadBudget.granted.size, 1);
});

test('no more loads are in transit than the limit', (t) => {
  const state = newState();
  for (const loadId of ['a', 'b', 'c']) {
    const inTransit = true;
    deliver(state, request(loadId, {inTransit}), 1_000);
  }
  t.deepEqual(deliver(state, request('d'), 2_000), []);
  const released = {type: 'load-released', loadId: 'a', used: true} as const;
  t.deepEqual(deliver(state, released, 2_100), ['d']);
});

test('grants of an owner that went away expire', (t) => {
  const state = newState();
  for (const loadId of ['a', 'b', 'c']) {
    deliver(state, request(loadId, {inTransit: true}), 1_000);
  }
  t.deepEqual(deliver(state, request('d'), 10_900), []);
  t.deepEqual(wake(state, 11_001), ['d']);
});

test('an unused grant gives its token back', (t) => {
  const state = newState();
  deliver(state, request('first'), 1_000);
  deliver(state, request('second'), 1_001);
  const unused = {type: 'load-released', loadId: 'first', used: false} as const;
  t.deepEqual(deliver(state, unused, 1_002), ['second']);
});
