import test from 'ava';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

import {
  chooseLeastLoaded,
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

/** Returns the share of `draws` choices that a server gets, by its id. */
const choiceShares = (
  servers: readonly Server[],
  ms: number,
  draws: number,
) => {
  const generator = xoroshiro128plus(7);
  const counts = new Map<string | undefined, number>();
  for (let index = 0; index < draws; index += 1) {
    const id = choosePlainServer(servers, {
      at: at(ms),
      zone: 'z9',
      tried: new Set(),
      silenceLimitMs: 800,
      random: () => uniformFloat64(generator),
    })?.entry.id;
    counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  return (id: string) => (counts.get(id) ?? 0) / draws;
};

const SCENARIO: Omit<PlainServiceScenario, 'seed' | 'choose'> = {
  hosts: 70,
  requestsPerSecond: 170,
  meanServiceMs: 42.9,
  slowdowns: [1, 2.2, 2.2],
  slots: 6,
  noise: {share: 0, factor: 1},
  reportedSlowness: 'noise and slowdown',
};

const NOISE = {share: 0.15, factor: 2.5};

for (const reportedSlowness of ['noise', 'noise and slowdown'] as const) {
  for (const seed of SEEDS) {
    test(`heterogeneous servers get load by capacity (${reportedSlowness} reported, seed ${seed})`, (t) => {
      const simulate = (
        choose: PlainServiceScenario['choose'],
        noise = SCENARIO.noise,
      ) =>
        simulatePlainService({
          ...SCENARIO,
          reportedSlowness,
          seed,
          choose,
          noise,
        });
      const calm = simulate(choosePlainServer);
      t.true(calm.maxLoadRatio <= 1.3, `load ratio ${calm.maxLoadRatio}`);
      const noisy = simulate(choosePlainServer, NOISE);
      const leastLoaded = simulate(chooseLeastLoaded, NOISE);
      t.log({calm, noisy, leastLoaded});
      t.true(noisy.maxLoadRatio <= 1.6, `load ratio ${noisy.maxLoadRatio}`);
      t.true(noisy.waitP95Ms < leastLoaded.waitP95Ms);
      t.true(noisy.answersWithinTarget > leastLoaded.answersWithinTarget);
    });
  }
}

for (const seed of SEEDS) {
  test(`the least loaded server is chosen if none reports its slowness (seed ${seed})`, (t) => {
    const simulate = (choose: PlainServiceScenario['choose']) =>
      simulatePlainService({
        ...SCENARIO,
        noise: NOISE,
        reportedSlowness: 'nothing',
        seed,
        choose,
      });
    t.deepEqual(simulate(choosePlainServer), simulate(chooseLeastLoaded));
  });
}

test('a currently slow server is excluded until its report expires', (t) => {
  const servers = plainService(3);
  for (let ms = 1_000; ms <= 3_000; ms += 100) {
    servers.forEach((server) => {
      recordAnswer(server, 40, 1, ms);
    });
  }
  t.true(choiceShares(servers, 3_010, 300)('s0') > 0.2);
  const [slow] = servers;
  if (slow !== undefined) {
    recordAnswer(slow, 100, 2.5, 3_010);
  }
  t.is(choiceShares(servers, 3_020, 300)('s0'), 0);
  t.is(choiceShares(servers, 3_300, 300)('s0'), 0);
  t.true(choiceShares(servers, 3_320, 300)('s0') > 0.2);
});

test('a failing server gets fewer requests, but still some', (t) => {
  const servers = plainService(3);
  for (let ms = 1_000; ms <= 3_000; ms += 100) {
    servers.forEach((server) => {
      recordAnswer(server, 40, 1, ms);
    });
  }
  const [failing] = servers;
  failing?.health.recordEnd('failed', false, at(3_000));
  failing?.health.recordEnd('failed', false, at(3_000));
  const share = choiceShares(servers, 3_010, 2_000)('s0');
  t.true(share > 0 && share < 0.1, `${share}`);
});
