import test from 'ava';

import type {Route} from '../../configuration/index.js';
import {
  LOOP_SAMPLE_PERIOD_MS,
  pressureAimMs,
  ProcessorPressure,
  REFUSING_SAMPLE_PERIOD_MS,
} from '../../requests/index.js';

/** Processor time of a request, milliseconds, and its part for a refusal. */
const REQUEST_MS = 2;
const CHEAP = 0.01;
/** As measured on a host with plain selection: 65 of 380 µs. */
const MEASURED = 0.17;

/** Time to an answer, and play, milliseconds. */
const AIM_MS = 500;
const FIRST_MS = 6_000;
const PLAY_MS = 30_000;

interface Outcome {
  onTime: number;
  late: number;
  refused: number;
}

/**
 * Plays requests on a processor that takes one after the other. Timers fire
 * between requests, so that they are hardly late whatever waits.
 */
const play = (load: number, refuses: boolean, cost = CHEAP): Outcome => {
  const pressure = new ProcessorPressure(0);
  const outcome = {onTime: 0, late: 0, refused: 0};
  const gapMs = REQUEST_MS / load;
  let nowMs = FIRST_MS;
  let nextArrivalMs = FIRST_MS;
  let sampledAtMs = nowMs;
  let idleMs = 0;
  let random = 1;
  while (nowMs < FIRST_MS + PLAY_MS) {
    if (nextArrivalMs > nowMs) {
      idleMs += nextArrivalMs - nowMs;
      nowMs = nextArrivalMs;
    }
    const periodMs =
      pressure.waitMs > 0 ? REFUSING_SAMPLE_PERIOD_MS : LOOP_SAMPLE_PERIOD_MS;
    if (nowMs - sampledAtMs >= periodMs) {
      pressure.observe({elapsedMs: nowMs - sampledAtMs, idleMs}, nowMs);
      sampledAtMs = nowMs;
      idleMs = 0;
    }
    if (refuses && pressure.refuses(AIM_MS, 0)) {
      nowMs += cost * REQUEST_MS;
      outcome.refused += 1;
    } else {
      nowMs += REQUEST_MS;
      outcome[nowMs - nextArrivalMs <= AIM_MS ? 'onTime' : 'late'] += 1;
    }
    random = (random * 16_807) % 2_147_483_647;
    nextArrivalMs -= gapMs * Math.log(random / 2_147_483_647);
  }
  return outcome;
};

const PEAK = PLAY_MS / REQUEST_MS;

test('a host serves nine tenths of its peak at twice and five times its load', (t) => {
  for (const load of [2, 5]) {
    const {onTime, late, refused} = play(load, true);
    t.log(`load ${load}: on time ${onTime}, late ${late}, refused ${refused}`);
    t.true(onTime >= 0.9 * PEAK);
    const without = play(load, false);
    t.log(`load ${load}, without: on time ${without.onTime}`);
    t.true(without.onTime < 0.1 * PEAK, 'without refusals, all are late');
  }
});

test('refusals that cost more leave nine tenths of what they leave', (t) => {
  for (const load of [2, 5]) {
    const possible = (PEAK * (1 - load * MEASURED)) / (1 - MEASURED);
    const {onTime, late, refused} = play(load, true, MEASURED);
    t.log(`load ${load}: on time ${onTime}, late ${late}, refused ${refused}`);
    t.log(`possible ${Math.round(possible)} of ${PEAK}`);
    t.true(onTime >= 0.9 * possible);
  }
});

test('requests are taken also where refusals alone keep a host busy', (t) => {
  t.true(play(5, true, 0.19).onTime > 0);
});

test('a host below its peak refuses hardly anything', (t) => {
  t.is(play(0.7, true).refused, 0);
  const {onTime, refused} = play(0.9, true);
  t.log(`load 0.9: on time ${onTime}, refused ${refused}`);
  t.true(refused < 0.02 * (onTime + refused));
});

const busy = (pressure: ProcessorPressure, samples: number, fromMs: number) => {
  for (let index = 0; index < samples; index += 1) {
    pressure.observe({elapsedMs: 50, idleMs: 0}, fromMs + 50 * index);
  }
};

test('a freeze and a start are no shortage', (t) => {
  const pressure = new ProcessorPressure(0);
  busy(pressure, 90, 0);
  t.false(pressure.refuses(100, 0), 'a start');
  pressure.observe({elapsedMs: 50, idleMs: 40}, 6_000);
  pressure.observe({elapsedMs: 9_000, idleMs: 0}, 15_000);
  t.false(pressure.refuses(100, 0), 'a freeze');
  busy(pressure, 2, 15_050);
  t.false(pressure.refuses(100, 0), 'what came meanwhile');
});

test('lower ranks are refused first, and all are taken once it is drained', (t) => {
  const pressure = new ProcessorPressure(-10_000);
  busy(pressure, 5, 0);
  t.deepEqual(
    [0, 1, 3, 9].map((rank) => pressure.refuses(1_000, rank)),
    [false, false, true, true],
  );
  pressure.observe({elapsedMs: 50, idleMs: 2}, 300);
  t.true(pressure.refuses(1_000, 3), 'it is hardly idle');
  pressure.observe({elapsedMs: 10, idleMs: 5}, 310);
  t.false(pressure.refuses(1_000, 9));
});

test('a route with a long aim is not taken before those that precede it', (t) => {
  const route = (priority: number, latencyTargetMs: number, service = 's') =>
    ({priority, latencyTargetMs, targets: [{service, weight: 1}]}) as Route;
  const routes = [route(0, 800), route(1, 2_000), route(0, 100, 'other')];
  t.deepEqual(
    routes.map((each) => pressureAimMs(each, routes)),
    [800, 800, 100],
  );
});
