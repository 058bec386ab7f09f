import test from 'ava';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

import {ServiceEstimates} from '../../index.js';
import {
  at,
  plainService,
  recordAnswer,
  SEEDS,
} from './plain-service-simulation.js';

test('unknown values of a server default to the mean of its service', (t) => {
  const servers = plainService(3);
  for (let ms = 1_000; ms <= 3_000; ms += 100) {
    for (const server of servers.slice(0, 2)) {
      recordAnswer(server, 40, 1, ms);
    }
  }
  const [first, , unreported] = servers;
  const estimates = new ServiceEstimates(servers, at(3_000));
  if (first !== undefined && unreported !== undefined) {
    t.is(estimates.of(unreported).firstMs, estimates.of(first).firstMs);
    t.is(estimates.of(unreported).slownessAgeMs, undefined);
  }
});

for (const seed of SEEDS) {
  test(`estimates by speed and prompt size are accurate to a quarter (seed ${seed})`, (t) => {
    const generator = xoroshiro128plus(seed);
    const random = () => uniformFloat64(generator);
    const servers = plainService(6);
    const slowdowns = servers.map(() => 1 + 1.2 * random());
    const workMs = (tokens: number) => 15 + tokens / 38.7;
    for (let ms = 1_000; ms <= 9_000; ms += 50) {
      const index = Math.floor(random() * servers.length);
      const [server, slowdown] = [servers[index], slowdowns[index] ?? 1];
      const tokens = random() < 0.1 ? 2_890 + 6_300 : 491 + 155;
      const noise = random() < 0.15 ? 2.5 : 1;
      const jitter = 0.9 + 0.2 * random();
      if (server !== undefined) {
        const waitedMs = workMs(tokens) * slowdown * noise * jitter;
        recordAnswer(server, waitedMs, slowdown * noise, ms, tokens);
      }
    }
    const estimates = new ServiceEstimates(servers, at(9_001));
    for (const tokens of [646, 9_190]) {
      for (const [index, server] of servers.entries()) {
        const estimate = estimates.of(server, tokens);
        const currentSlowness = server.health.speed.currentSlowness(at(9_001));
        const slowness =
          currentSlowness ??
          server.health.speed.typicalSlowness(at(9_001)) ??
          1;
        const ratio = estimate.firstMs / (workMs(tokens) * slowness);
        t.true(ratio > 0.75 && ratio < 1.33, `s${index} ${tokens}: ${ratio}`);
      }
    }
  });
}
