import test from 'ava';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

import {OutlierDetector, FailureTallies, ServerOutliers} from '../../index.js';

/**
 * The load: many hosts send each server a request now and then, and some
 * servers fail a part of what they take while their health checks are good.
 */
const SERVERS = Array.from({length: 42}, (_unused, index) => `s${index}`);
const HOSTS = 24;
const REQUESTS_PER_S = 260;
const STEP_MS = 10;
const ROUND_MS = 500;
const DAY_MS = 20_000;

/** A failing server is to be passed over by then. */
const FOUND_MS = 3_000;

interface Play {
  readonly seed: number;
  /** Failing servers, and the share of requests that they fail. */
  readonly failing: number;
  readonly failShare: number;
  readonly usualShare: number;
  readonly judged: boolean;
}

const at = (ms: number) => ({monotonicMs: ms, wallMs: 0});

/** Plays the load; returns the share of requests that failed once found. */
const play = ({seed, failing, failShare, usualShare, judged}: Play) => {
  const generator = xoroshiro128plus(seed);
  const random = () => uniformFloat64(generator);
  const judge = new OutlierDetector();
  const hosts = Array.from({length: HOSTS}, (_unused, index) => ({
    name: `h${index}`,
    tallies: new FailureTallies(),
    suspects: new ServerOutliers(),
  }));
  for (const {tallies} of hosts) {
    tallies.watch('service');
  }
  const members = SERVERS.map((key) => ({key, service: 'service'}));
  const sent = new Map<string, number>();
  let late = 0;
  let failures = 0;
  for (let now = 0; now < DAY_MS; now += STEP_MS) {
    const arrivals = (REQUESTS_PER_S * STEP_MS) / 1_000;
    for (let count = 0; count < arrivals; count += 1) {
      const host = hosts[Math.floor(random() * HOSTS)];
      const open = SERVERS.filter(
        (key) => host?.suspects.avoids(key, at(now), random) === false,
      );
      const key = open[Math.floor(random() * open.length)] ?? '';
      const share = SERVERS.indexOf(key) < failing ? failShare : usualShare;
      const failed = random() < share;
      host?.tallies.record('service', key, failed, at(now));
      sent.set(key, (sent.get(key) ?? 0) + 1);
      if (now > FOUND_MS) {
        late += 1;
        failures += failed ? 1 : 0;
      }
    }
    if (judged && now % ROUND_MS === 0) {
      for (const {name, tallies} of hosts) {
        judge.applyTallies(name, tallies.snapshot(at(now)), at(now));
      }
      const found = judge.detect(members, at(now));
      for (const {suspects} of hosts) {
        for (const suspicion of found) {
          suspects.apply(suspicion, at(now));
        }
      }
    }
  }
  return {failedShare: failures / late, sent};
};

for (const seed of [1, 2, 3, 4, 5]) {
  test(`servers that fail requests are kept off (seed ${seed})`, (t) => {
    const load = {seed, failing: 6, failShare: 0.45, usualShare: 0.01};
    const without = play({...load, judged: false}).failedShare;
    const found = play({...load, judged: true}).failedShare;
    t.true(found < without / 2, `${found} against ${without}`);
  });

  test(`a failure of all servers keeps none off (seed ${seed})`, (t) => {
    const load = {seed, failing: 42, failShare: 0.45, usualShare: 0};
    const {sent} = play({...load, judged: true});
    const mean = (REQUESTS_PER_S * DAY_MS) / 1_000 / SERVERS.length;
    t.true(Math.min(...sent.values()) > mean / 2);
  });

  test(`usual failures keep hardly any off (seed ${seed})`, (t) => {
    const load = {seed, failing: 0, failShare: 0, usualShare: 0.14};
    const {sent} = play({...load, judged: true});
    const mean = (REQUESTS_PER_S * DAY_MS) / 1_000 / SERVERS.length;
    t.true(Math.min(...sent.values()) > mean / 3);
  });
}

test('attempts at servers of services that are not watched are not told', (t) => {
  const tallies = new FailureTallies();
  tallies.record('service', 's1', true, at(0));
  t.deepEqual(tallies.snapshot(at(0)), []);
});

test('a server that fails again is kept off for longer', (t) => {
  const judge = new OutlierDetector();
  const members = SERVERS.slice(0, 6).map((key) => ({key, service: 'a'}));
  const told = (failures: number) =>
    members.map(({key: server}, index) => ({
      server,
      attempts: 10,
      failures: index === 0 ? failures : 0,
    }));
  const spells: number[] = [];
  for (const now of [0, 4_000, 10_000]) {
    judge.applyTallies('h1', told(9), at(now));
    spells.push(judge.detect(members, at(now))[0]?.leftMs ?? 0);
    judge.applyTallies('h1', told(0), at(now + 1));
  }
  t.deepEqual(spells, [2_000, 4_000, 8_000]);
  // A host that says nothing any more is no witness.
  t.deepEqual(judge.detect(members, at(60_000)), []);
});

test('a word of a peer counts no longer than the longest suspicion', (t) => {
  const suspects = new ServerOutliers();
  t.true(suspects.apply({server: 's1', leftMs: 1e9}, at(0)));
  t.false(suspects.apply({server: 's1', leftMs: 10}, at(0)));
  t.true(suspects.avoids('s1', at(15_000), () => 0.5));
  t.false(suspects.avoids('s1', at(16_000), () => 0.5));
  t.false(suspects.apply({server: 's2', leftMs: Number.NaN}, at(0)));
});
