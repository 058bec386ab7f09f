import test from 'ava';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

import {FailureTallies, OutlierDetector, ServerOutliers} from '../../index.js';

/**
 * The load: many hosts send each server a request now and then, and some
 * servers fail a part of their requests while they pass their health checks.
 */
const SERVERS = Array.from({length: 42}, (_unused, index) => `s${index}`);
const HOSTS = 24;
const REQUESTS_PER_SECOND = 260;
const STEP_MS = 10;
const DETECTION_PERIOD_MS = 500;
const DURATION_MS = 20_000;

/** Time by which failing servers must be detected, milliseconds. */
const DETECTION_LIMIT_MS = 3_000;

interface Scenario {
  readonly seed: number;
  /** Number of failing servers, and the share of requests that they fail. */
  readonly failingServers: number;
  readonly failureShare: number;
  /** Share of requests that the other servers fail. */
  readonly usualFailureShare: number;
  readonly detectsOutliers: boolean;
}

const at = (ms: number) => ({monotonicMs: ms, wallMs: 0});

/**
 * Simulates the load. Returns the share of requests that failed after
 * `DETECTION_LIMIT_MS`, and the number of requests sent to each server.
 */
const simulate = ({
  seed,
  failingServers,
  failureShare,
  usualFailureShare,
  detectsOutliers,
}: Scenario) => {
  const generator = xoroshiro128plus(seed);
  const random = () => uniformFloat64(generator);
  const detector = new OutlierDetector();
  const hosts = Array.from({length: HOSTS}, (_unused, index) => ({
    name: `h${index}`,
    tallies: new FailureTallies(),
    outliers: new ServerOutliers(),
  }));
  for (const {tallies} of hosts) {
    tallies.watch('service');
  }
  const members = SERVERS.map((key) => ({key, service: 'service'}));
  const sent = new Map<string, number>();
  let counted = 0;
  let failures = 0;
  for (let now = 0; now < DURATION_MS; now += STEP_MS) {
    const arrivals = (REQUESTS_PER_SECOND * STEP_MS) / 1_000;
    for (let count = 0; count < arrivals; count += 1) {
      const host = hosts[Math.floor(random() * HOSTS)];
      const open = SERVERS.filter(
        (key) => host?.outliers.avoids(key, at(now), random) === false,
      );
      const key = open[Math.floor(random() * open.length)] ?? '';
      const failureProbability =
        SERVERS.indexOf(key) < failingServers
          ? failureShare
          : usualFailureShare;
      const failed = random() < failureProbability;
      host?.tallies.record('service', key, failed, at(now));
      sent.set(key, (sent.get(key) ?? 0) + 1);
      if (now > DETECTION_LIMIT_MS) {
        counted += 1;
        failures += failed ? 1 : 0;
      }
    }
    if (detectsOutliers && now % DETECTION_PERIOD_MS === 0) {
      for (const {name, tallies} of hosts) {
        detector.applyTallies(name, tallies.snapshot(at(now)), at(now));
      }
      const detected = detector.detect(members, at(now));
      for (const {outliers} of hosts) {
        for (const outlier of detected) {
          outliers.apply(outlier, at(now));
        }
      }
    }
  }
  return {failedShare: failures / counted, sent};
};

for (const seed of [1, 2, 3, 4, 5]) {
  test(`servers that fail requests are avoided (seed ${seed})`, (t) => {
    const scenario = {
      seed,
      failingServers: 6,
      failureShare: 0.45,
      usualFailureShare: 0.01,
    };
    const withoutDetection = simulate({
      ...scenario,
      detectsOutliers: false,
    }).failedShare;
    const withDetection = simulate({
      ...scenario,
      detectsOutliers: true,
    }).failedShare;
    t.true(
      withDetection < withoutDetection / 2,
      `${withDetection} against ${withoutDetection}`,
    );
  });

  test(`no server is avoided when all fail (seed ${seed})`, (t) => {
    const scenario = {
      seed,
      failingServers: 42,
      failureShare: 0.45,
      usualFailureShare: 0,
    };
    const {sent} = simulate({...scenario, detectsOutliers: true});
    const mean = (REQUESTS_PER_SECOND * DURATION_MS) / 1_000 / SERVERS.length;
    t.true(Math.min(...sent.values()) > mean / 2);
  });

  test(`hardly any server is avoided for usual failures (seed ${seed})`, (t) => {
    const scenario = {
      seed,
      failingServers: 0,
      failureShare: 0,
      usualFailureShare: 0.14,
    };
    const {sent} = simulate({...scenario, detectsOutliers: true});
    const mean = (REQUESTS_PER_SECOND * DURATION_MS) / 1_000 / SERVERS.length;
    t.true(Math.min(...sent.values()) > mean / 3);
  });
}

test('attempts at servers of unwatched services are not counted', (t) => {
  const tallies = new FailureTallies();
  tallies.record('service', 's1', true, at(0));
  t.deepEqual(tallies.snapshot(at(0)), []);
});

test('a server that fails again is ejected for longer', (t) => {
  const detector = new OutlierDetector();
  const members = SERVERS.slice(0, 6).map((key) => ({key, service: 'a'}));
  const tallies = (failures: number) =>
    members.map(({key: server}, index) => ({
      server,
      attempts: 10,
      failures: index === 0 ? failures : 0,
    }));
  const ejectionsMs: number[] = [];
  for (const now of [0, 4_000, 10_000]) {
    detector.applyTallies('h1', tallies(9), at(now));
    ejectionsMs.push(detector.detect(members, at(now))[0]?.leftMs ?? 0);
    detector.applyTallies('h1', tallies(0), at(now + 1));
  }
  t.deepEqual(ejectionsMs, [2_000, 4_000, 8_000]);
  // The tallies of a host that stopped reporting have expired.
  t.deepEqual(detector.detect(members, at(60_000)), []);
});

test('a reported outlier expires after the longest ejection', (t) => {
  const outliers = new ServerOutliers();
  t.true(outliers.apply({server: 's1', leftMs: 1e9}, at(0)));
  t.false(outliers.apply({server: 's1', leftMs: 10}, at(0)));
  t.true(outliers.avoids('s1', at(15_000), () => 0.5));
  t.false(outliers.avoids('s1', at(16_000), () => 0.5));
  t.false(outliers.apply({server: 's2', leftMs: Number.NaN}, at(0)));
});
