import {
  type CoreEvent,
  createState,
  type Effect,
  type Instant,
  type Reduction,
} from '@basilworks/core';
import test from 'ava';

import {Loop} from '../loop.js';
import type {RunnerTable} from '../runner-table.js';
import {daemonSettingsSchema} from '../settings-schema.js';
import {TimerService} from '../timer-service.js';

const SETTINGS = daemonSettingsSchema.parse({
  host: 'entry-1',
  zone: 'fairhaven',
  callerAddress: '127.0.0.1:1',
  peerAddress: '127.0.0.1:2',
  objectApiUrl: 'http://127.0.0.1:3',
  hostListUrl: 'http://127.0.0.1:4',
});

/** A loop on a clock that the test moves, with a reducer that records. */
const setUp = (react: (event: CoreEvent) => Effect[] = () => []) => {
  const clock = {monotonicMs: 0, wallMs: 0};
  const seen: string[] = [];
  const failures: string[] = [];
  const loop = new Loop({
    state: createState(SETTINGS, {incarnation: 'entry-1#1', seed: 1}),
    clock: {now: () => ({...clock})},
    timers: new TimerService(),
    reduce: (state, event, at: Instant): Reduction => {
      const name = event.type === 'timer-fired' ? event.timer : event.type;
      seen.push(`${name} at ${at.monotonicMs}`);
      return {state, effects: react(event)};
    },
    observer: {
      turnFinished: () => undefined,
      runnerFailed: ({type}) => {
        failures.push(type);
      },
    },
  });
  const post = (timer: string) => {
    loop.post({type: 'timer-fired', area: 'routing', timer});
  };
  const start = (runners: Partial<RunnerTable> = {}) => {
    loop.start(runners as RunnerTable);
  };
  return {clock, seen, failures, loop, post, start};
};

test('events posted by a runner wait for their own turn', (t) => {
  const ran: string[] = [];
  const {seen, post, start} = setUp((event) =>
    event.type === 'timer-fired' && event.timer === 'first'
      ? [
          {type: 'cancel-timer', area: 'routing', timer: 'a'},
          {type: 'cancel-timer', area: 'routing', timer: 'b'},
        ]
      : [],
  );
  post('first');
  t.deepEqual(seen, []);
  start({
    'cancel-timer': ({timer}) => {
      ran.push(timer);
      post(`after ${timer}`);
      t.is(seen.length, 1);
    },
  });
  t.deepEqual(ran, ['a', 'b']);
  t.deepEqual(seen, ['first at 0', 'after a at 0', 'after b at 0']);
});

test('a paused process learns of the gap before anything else', (t) => {
  for (const advanced of ['monotonicMs', 'wallMs'] as const) {
    const {clock, seen, post, start} = setUp();
    start();
    post('before');
    clock[advanced] += 5_000;
    post('after');
    t.deepEqual(
      seen.map((entry) => entry.split(' ')[0]),
      ['before', 'clock-gap', 'after'],
    );
  }
});

test('a check between turns notices a gap', (t) => {
  const {clock, seen, loop, start} = setUp();
  start();
  clock.monotonicMs += 500;
  loop.checkClocks();
  t.deepEqual(seen, []);
  clock.monotonicMs += 1_500;
  t.is(loop.checkClocks().monotonicMs, 2_000);
  t.deepEqual(seen, ['clock-gap at 2000']);
});

test('a runner that throws does not stop the turn', (t) => {
  const ran: string[] = [];
  const {failures, post, start} = setUp(() => [
    {type: 'cancel-timer', area: 'routing', timer: 'bad'},
    {type: 'set-timer', area: 'routing', timer: 'good', delayMs: 1},
  ]);
  start({
    'cancel-timer': () => {
      throw new TypeError('a fault of the daemon');
    },
    'set-timer': ({timer}) => {
      ran.push(timer);
    },
  });
  post('first');
  t.deepEqual(failures, ['cancel-timer']);
  t.deepEqual(ran, ['good']);
});
