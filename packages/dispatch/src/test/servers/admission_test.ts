import test from 'ava';

import {
  type Admission,
  type AdmissionRequest,
  admit,
  choosePlainServer,
  type Server,
} from '../../index.js';
import {
  answer,
  type PlainLoad,
  plainService,
  simulatePlainService,
  at,
  SEEDS,
} from './plain-service-simulation.js';

const NOW_MS = 3_010;

/** Servers that answer in 40 ms, and sooner or later have so many requests. */
const busyService = (requests: number): readonly Server[] => {
  const servers = plainService(3);
  for (let ms = 1_000; ms <= 3_000; ms += 100) {
    servers.forEach((server, index) => {
      const tokens = index === 0 ? 5_000 : 0;
      answer(server, 40 + tokens / 50, 1, ms, tokens);
    });
  }
  servers.forEach(({health}) => {
    health.applyIssuerReport(requests, at(NOW_MS));
  });
  return servers;
};

const ask = (
  servers: readonly Server[],
  request: Partial<AdmissionRequest>,
): Admission =>
  admit(
    servers,
    {remainingMs: 1_000, priority: 0, ...request},
    undefined,
    at(NOW_MS),
  );

const BURSTS: Omit<PlainLoad, 'seed'> = {
  hosts: 70,
  requestsPerS: 170,
  burst: 2.4,
  workMs: 42.9,
  speeds: [1, 2.2, 2.2],
  slots: 6,
  noise: {share: 0.15, factor: 2.5},
  tells: 'noise and lasting',
  choose: choosePlainServer,
};

for (const seed of SEEDS) {
  test(`in bursts only what can't be answered is refused (seed ${seed})`, (t) => {
    const play = (error: number | undefined) =>
      simulatePlainService({
        ...BURSTS,
        seed,
        ...(error === undefined
          ? {}
          : {
              admits: (servers, remainingMs, now) =>
                admit(
                  servers,
                  {remainingMs: remainingMs / error, priority: 0},
                  undefined,
                  now,
                ),
            }),
      });
    const without = play(undefined);
    const right = play(1);
    const tooLong = play(2);
    const tooShort = play(0.5);
    t.log({without, right, tooLong, tooShort});
    t.true(right.expired < without.expired * 0.7);
    t.true(right.allInTime > without.allInTime);
    t.true(right.allOnTime > without.allOnTime);
    t.true(right.refusedInVain < 0.01);
    // An estimate that is wrong by two costs one more try, or a late answer.
    for (const wrong of [tooLong, tooShort]) {
      t.true(wrong.allInTime > right.allInTime - 0.05);
    }
  });
}

test('a request is refused with the wait until the first could', (t) => {
  t.true(ask(busyService(0), {remainingMs: 200}).admitted);
  const refused = ask(busyService(60), {remainingMs: 200});
  t.false(refused.admitted);
  if (!refused.admitted) {
    t.true(refused.retryAfterMs > 200 && refused.retryAfterMs < 1_500);
    t.is(refused.best?.requests, 60);
  }
});

test('of requests that wait, lower ranks are refused first', (t) => {
  const servers = busyService(60);
  const leastMs = (priority: number) => {
    let remainingMs = 10;
    while (!ask(servers, {remainingMs, priority}).admitted) {
      remainingMs += 10;
    }
    return remainingMs;
  };
  t.true(leastMs(0) < leastMs(1));
  t.true(leastMs(1) < leastMs(3));
  t.true(leastMs(9) < leastMs(0) * 3);
});

test('a large prompt is taken where it fits the time of its caller', (t) => {
  const servers = busyService(3);
  const promptTokens = 39_600;
  t.true(ask(servers, {promptTokens, remainingMs: 5_000}).admitted);
  t.false(ask(servers, {promptTokens, remainingMs: 300}).admitted);
});

test('a stream is refused where no batch keeps its pause', (t) => {
  const servers = busyService(3);
  const paced = (slow: readonly Server[], gapMs: number) => {
    for (let piece = 0; piece < 100; piece += 1) {
      slow.forEach(({health}) => {
        health.recordGap(gapMs, at(NOW_MS));
      });
    }
  };
  const [first] = servers;
  paced(servers, 900);
  t.false(ask(servers, {eventGapMs: 600}).admitted);
  t.true(ask(servers, {}).admitted);
  paced(first === undefined ? [] : [first], 200);
  t.true(ask(servers, {eventGapMs: 600}).admitted);
});
