import test from 'ava';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

import {
  chooseLeastLoaded,
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

const chosen = (servers: readonly Server[], ms: number, draws: number) => {
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

const LOAD: Omit<PlainLoad, 'seed' | 'choose'> = {
  hosts: 70,
  requestsPerS: 170,
  workMs: 42.9,
  speeds: [1, 2.2, 2.2],
  slots: 6,
  noise: {share: 0, factor: 1},
  tells: 'noise and lasting',
};

const NOISE = {share: 0.15, factor: 2.5};

for (const tells of ['noise', 'noise and lasting'] as const) {
  for (const seed of SEEDS) {
    test(`unlike servers get what they can do (told ${tells}, seed ${seed})`, (t) => {
      const play = (choose: PlainLoad['choose'], noise = LOAD.noise) =>
        simulatePlainService({...LOAD, tells, seed, choose, noise});
      const calm = play(choosePlainServer);
      t.true(calm.busiest <= 1.3, `busiest ${calm.busiest}`);
      const noisy = play(choosePlainServer, NOISE);
      const before = play(chooseLeastLoaded, NOISE);
      t.log({calm, noisy, before});
      t.true(noisy.busiest <= 1.6, `busiest ${noisy.busiest}`);
      t.true(noisy.waitingMs < before.waitingMs);
      t.true(noisy.onTime > before.onTime);
    });
  }
}

for (const seed of SEEDS) {
  test(`without a word on slowness, the least loaded is taken (seed ${seed})`, (t) => {
    const play = (choose: PlainLoad['choose']) =>
      simulatePlainService({
        ...LOAD,
        noise: NOISE,
        tells: 'nothing',
        seed,
        choose,
      });
    t.deepEqual(play(choosePlainServer), play(chooseLeastLoaded));
  });
}

test('a server that is slow now is passed over until the word is old', (t) => {
  const servers = plainService(3);
  for (let ms = 1_000; ms <= 3_000; ms += 100) {
    servers.forEach((server) => {
      answer(server, 40, 1, ms);
    });
  }
  t.true(chosen(servers, 3_010, 300)('s0') > 0.2);
  const [slow] = servers;
  if (slow !== undefined) {
    answer(slow, 100, 2.5, 3_010);
  }
  t.is(chosen(servers, 3_020, 300)('s0'), 0);
  t.is(chosen(servers, 3_300, 300)('s0'), 0);
  t.true(chosen(servers, 3_320, 300)('s0') > 0.2);
});

test('a server that fails gets less, and a try now and then', (t) => {
  const servers = plainService(3);
  for (let ms = 1_000; ms <= 3_000; ms += 100) {
    servers.forEach((server) => {
      answer(server, 40, 1, ms);
    });
  }
  const [failing] = servers;
  failing?.health.recordEnd('failed', false, at(3_000));
  failing?.health.recordEnd('failed', false, at(3_000));
  const share = chosen(servers, 3_010, 2_000)('s0');
  t.true(share > 0 && share < 0.1, `${share}`);
});
