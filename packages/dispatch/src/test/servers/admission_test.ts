import test from 'ava';

import {
  type Admission,
  type AdmissionRequest,
  admit,
  choosePlainServer,
  type Server,
} from '../../index.js';
import {
  at,
  plainService,
  type PlainServiceScenario,
  recordAnswer,
  SEEDS,
  simulatePlainService,
} from './plain-service-simulation.js';

const NOW_MS = 3_010;

/**
 * Returns servers that answer in 40 ms plus 1 ms per 50 prompt tokens, and have
 * `requests` requests each.
 */
const busyService = (requests: number): readonly Server[] => {
  const servers = plainService(3);
  for (let ms = 1_000; ms <= 3_000; ms += 100) {
    servers.forEach((server, index) => {
      const tokens = index === 0 ? 5_000 : 0;
      recordAnswer(server, 40 + tokens / 50, 1, ms, tokens);
    });
  }
  servers.forEach(({health}) => {
    health.applyIssuerReport(requests, at(NOW_MS));
  });
  return servers;
};

const admitAtNow = (
  servers: readonly Server[],
  request: Partial<AdmissionRequest>,
): Admission =>
  admit(
    servers,
    {remainingMs: 1_000, priority: 0, ...request},
    undefined,
    at(NOW_MS),
  );

const BURSTS: Omit<PlainServiceScenario, 'seed'> = {
  hosts: 70,
  requestsPerSecond: 170,
  burstFactor: 2.4,
  meanServiceMs: 42.9,
  slowdowns: [1, 2.2, 2.2],
  slots: 6,
  noise: {share: 0.15, factor: 2.5},
  reportedSlowness: 'noise and slowdown',
  choose: choosePlainServer,
};

for (const seed of SEEDS) {
  test(`during bursts only requests that can't be answered are refused (seed ${seed})`, (t) => {
    const simulate = (estimateError: number | undefined) =>
      simulatePlainService({
        ...BURSTS,
        seed,
        ...(estimateError === undefined
          ? {}
          : {
              admits: (servers, remainingMs, now) =>
                admit(
                  servers,
                  {remainingMs: remainingMs / estimateError, priority: 0},
                  undefined,
                  now,
                ),
            }),
      });
    const admitAll = simulate(undefined);
    const accurate = simulate(1);
    const tooLong = simulate(2);
    const tooShort = simulate(0.5);
    t.log({admitAll, accurate, tooLong, tooShort});
    t.true(accurate.expired < admitAll.expired * 0.7);
    t.true(accurate.requestsWithinDeadline > admitAll.requestsWithinDeadline);
    t.true(accurate.requestsWithinTarget > admitAll.requestsWithinTarget);
    t.true(accurate.refusedNeedlessly < 0.01);
    // An estimate that is off by a factor of two costs a retry or a late answer.
    for (const inaccurate of [tooLong, tooShort]) {
      t.true(
        inaccurate.requestsWithinDeadline >
          accurate.requestsWithinDeadline - 0.05,
      );
    }
  });
}

test('a refusal names the wait until a request can be admitted', (t) => {
  t.true(admitAtNow(busyService(0), {remainingMs: 200}).admitted);
  const refused = admitAtNow(busyService(60), {remainingMs: 200});
  t.false(refused.admitted);
  if (!refused.admitted) {
    t.true(refused.retryAfterMs > 200 && refused.retryAfterMs < 1_500);
    t.is(refused.best?.requests, 60);
  }
});

test('when requests wait, less urgent ones are refused first', (t) => {
  const servers = busyService(60);
  const leastMs = (priority: number) => {
    let remainingMs = 10;
    while (!admitAtNow(servers, {remainingMs, priority}).admitted) {
      remainingMs += 10;
    }
    return remainingMs;
  };
  t.true(leastMs(0) < leastMs(1));
  t.true(leastMs(1) < leastMs(3));
  t.true(leastMs(9) < leastMs(0) * 3);
});

test('a large prompt is admitted if the remaining time suffices', (t) => {
  const servers = busyService(3);
  const promptTokens = 39_600;
  t.true(admitAtNow(servers, {promptTokens, remainingMs: 5_000}).admitted);
  t.false(admitAtNow(servers, {promptTokens, remainingMs: 300}).admitted);
});

test('a stream is refused if the event gaps of all servers are too long', (t) => {
  const servers = busyService(3);
  const recordGaps = (members: readonly Server[], gapMs: number) => {
    for (let event = 0; event < 100; event += 1) {
      members.forEach(({health}) => {
        health.recordGap(gapMs, at(NOW_MS));
      });
    }
  };
  const [first] = servers;
  recordGaps(servers, 900);
  t.false(admitAtNow(servers, {eventGapMs: 600}).admitted);
  t.true(admitAtNow(servers, {}).admitted);
  recordGaps(first === undefined ? [] : [first], 200);
  t.true(admitAtNow(servers, {eventGapMs: 600}).admitted);
});
