import test from 'ava';

import {FleetSimulation} from './fleet-simulation.js';
import {
  HEARTBEAT_PERIOD_MS,
  hostsSendingTo,
  SERVER_IDS,
} from './seven-host-fleet.js';

/** Layouts of existing and planned deployments. */
const LAYOUTS = [
  {hosts: 9, zones: 3},
  {hosts: 90, zones: 3},
  {hosts: 195, zones: 5},
  {hosts: 522, zones: 5},
] as const;

/** Bounds in a large deployment, milliseconds. */
const NEWS_BOUNDS = {
  leavingServerMs: 4_000,
  configurationMs: 4_000,
  adapterVersionMs: 5_000,
};

const startFleet = async (
  hosts: number,
  zones: number,
): Promise<FleetSimulation> => {
  const fleet = new FleetSimulation(hosts, {
    zones,
    largeHostsPerZone: hosts > 60 ? 3 : 0,
    newsBounds: NEWS_BOUNDS,
  });
  for (const id of SERVER_IDS) {
    fleet.putServer(id);
  }
  fleet.startHeartbeats(() => SERVER_IDS, HEARTBEAT_PERIOD_MS);
  await fleet.start();
  await fleet.time.advance(fleet.time.nowMs + 2_000);
  return fleet;
};

/** Pairs of hosts where the first wrongly sees the second as live or failed. */
const wrongMembershipViews = (fleet: FleetSimulation): string[] => {
  const running = [...fleet.hosts.values()].filter((host) => host.running);
  const names = new Set(running.map(({name}) => name));
  return running.flatMap(({name, context}) => {
    const live = context.membership.live().map(({host}) => host);
    const misjudged = [
      ...live.filter((host) => !names.has(host)),
      ...[...names].filter((host) => !live.includes(host)),
    ];
    return misjudged.map((host) => `${name} of ${host}`);
  });
};

/**
 * Measures ten seconds without changes: mean messages and bytes of a host,
 * bytes of the busiest host and calls to the store, all per second.
 */
const measureIdleTraffic = async (fleet: FleetSimulation) => {
  const before = fleet.store.reads;
  for (const {traffic} of fleet.hosts.values()) {
    traffic.messages = 0;
    traffic.bytes = 0;
  }
  await fleet.time.advance(fleet.time.nowMs + 10_000);
  const traffics = [...fleet.hosts.values()].map(({traffic}) => traffic);
  const mean = (select: (traffic: (typeof traffics)[number]) => number) =>
    traffics.reduce((sum, traffic) => sum + select(traffic), 0) /
    traffics.length;
  return {
    messages: mean(({messages}) => messages) / 10,
    bytes: mean(({bytes}) => bytes) / 10,
    busiestBytes: Math.max(...traffics.map(({bytes}) => bytes)) / 10,
    reads: (fleet.store.reads - before) / 10,
  };
};

// Guards against traffic that grows with the square of the fleet: when each
// exchange carried an entry for every live host and all hosts queried the same
// two readers, 195 hosts sent 300,000 entries a second and saturated the links
// of these readers.
test('traffic per idle host does not grow with the fleet', async (t) => {
  const figures = [];
  for (const [hosts, zones] of [
    [30, 5],
    [100, 5],
    [195, 5],
  ] as const) {
    const fleet = await startFleet(hosts, zones);
    t.deepEqual(wrongMembershipViews(fleet), []);
    const figure = await measureIdleTraffic(fleet);
    t.log({hosts, ...figure});
    figures.push(figure);
    fleet.close();
  }
  for (const name of ['messages', 'bytes'] as const) {
    const values = figures.map((figure) => figure[name]);
    t.true(Math.max(...values) <= 1.2 * Math.min(...values), name);
  }
  for (const {bytes, reads, busiestBytes} of figures) {
    // Required limits: 6 kB/s a host, and 40 calls to the store a second.
    t.true(bytes < 6_000);
    t.true(reads < 40);
    // At most a tenth of the 14 Mbit/s link of a store reader.
    t.true(busiestBytes < 175_000);
  }
});

/** Half of the link of a small machine, 10 Mbit/s, in bytes per second. */
const SMALL_LINK_SHARE = 625_000;

const adaptersOf = (first: number) =>
  Array.from({length: 14}, (_unused, index) => `m0/a${first + index}@1`);

/** A configuration of a large deployment. */
const largeConfiguration = (version: number) => ({
  version,
  routes: Array.from({length: 49}, (_unused, index) => ({
    name: `route-${index}`,
    host: 'wule9.example',
    pathPrefix: `/rnwa${index}/`,
    kind: 'stream',
    targets: [{service: 'engines', weight: 1}],
    timeoutMs: 6_000 + version,
    latencyTargetMs: 600,
    eventGapMs: 500,
    abandonMs: 4_000,
    priority: 1,
    maximumAttempts: 3,
    sticky: true,
    resumable: true,
  })),
});

// Guards against a reader whose link is full of what it tells its group: in a
// storm of configurations a small machine that read for its zone answered no
// readiness checks for seconds, and its own configuration became outdated.
test('many changes at once do not fill the link of a small reader', async (t) => {
  const fleet = new FleetSimulation(80, {
    zones: 4,
    largeHostsPerZone: 0,
    newsBounds: NEWS_BOUNDS,
  });
  const ids = Array.from({length: 47}, (_unused, index) => `s${index}`);
  for (const id of ids) {
    fleet.putServer(id, {models: adaptersOf(0)});
  }
  await fleet.start();
  for (const {traffic} of fleet.hosts.values()) {
    traffic.bytes = 0;
  }
  for (let step = 0; step < 25; step += 1) {
    fleet.store.put('configuration', 'main', largeConfiguration(step));
    const id = ids[step] ?? '';
    fleet.putServer(id, {models: adaptersOf(step)});
    await fleet.time.advance(fleet.time.nowMs + 80);
  }
  const traffics = [...fleet.hosts.values()].map(({traffic}) => traffic);
  const busiest = Math.max(...traffics.map(({bytes}) => bytes)) / 2;
  t.log({busiest});
  t.true(busiest < SMALL_LINK_SHARE, `${busiest} bytes a second`);
  fleet.close();
});

for (const {hosts, zones} of LAYOUTS) {
  test(`${hosts} hosts stop sending to a leaving server in time when their readers fail`, async (t) => {
    const fleet = await startFleet(hosts, zones);
    const failed = fleet.leaders();
    t.true(failed.length >= 1);
    for (const name of failed) {
      fleet.host(name).freeze();
    }
    await fleet.time.advance(fleet.time.nowMs + 10);
    fleet.putServer('s1', {leaving: true});
    await fleet.time.advance(
      fleet.time.nowMs + Math.min(2_000, NEWS_BOUNDS.leavingServerMs),
    );
    t.deepEqual(
      hostsSendingTo(fleet, 's1').filter((name) => !failed.includes(name)),
      [],
    );
    fleet.close();
  });
}

test('195 hosts that start together discover each other with few calls to the store', async (t) => {
  const fleet = new FleetSimulation(195, {
    zones: 5,
    largeHostsPerZone: 3,
    newsBounds: NEWS_BOUNDS,
  });
  await fleet.start();
  t.deepEqual(wrongMembershipViews(fleet), []);
  // Each host lists each of the four kinds once; the store readers make most of
  // the other calls.
  t.true(fleet.store.reads < 195 * 4 * 2, `${fleet.store.reads} reads`);
  fleet.close();
});

// All hosts lost power, and the seeds came back last: the others tried them again
// only a second later, and knew none of the claims that others held. Streams of
// callers that wait meanwhile are late after a second.
test('hosts that start together discover each other within a second', async (t) => {
  const fleet = new FleetSimulation(9, {zones: 3, largeHostsPerZone: 0});
  for (const name of [...fleet.names].reverse()) {
    fleet.startHost(name);
    await fleet.time.advance(fleet.time.nowMs + 50);
  }
  while (wrongMembershipViews(fleet).length > 0) {
    await fleet.time.advance(fleet.time.nowMs + 10);
  }
  t.true(fleet.time.nowMs < 1_000, `${fleet.time.nowMs} ms`);
  fleet.close();
});

test('hosts that are killed together are removed, and added again on restart', async (t) => {
  const fleet = await startFleet(195, 5);
  const killed = fleet.names.filter((_name, index) => index % 9 < 5);
  for (const name of killed) {
    fleet.host(name).close();
  }
  await fleet.time.advance(fleet.time.nowMs + 6_000);
  t.deepEqual(wrongMembershipViews(fleet), []);
  for (const name of killed) {
    fleet.startHost(name);
  }
  await fleet.time.advance(fleet.time.nowMs + 6_000);
  t.deepEqual(wrongMembershipViews(fleet), []);
  fleet.close();
});

test('an unresponsive zone is removed, and added again when it recovers', async (t) => {
  const fleet = await startFleet(195, 5);
  const frozen = fleet.names.filter((name) => fleet.zoneOf(name) === 'z2');
  for (const name of frozen) {
    fleet.host(name).freeze();
  }
  await fleet.time.advance(fleet.time.nowMs + 6_000);
  t.deepEqual(wrongMembershipViews(fleet), []);
  for (const name of frozen) {
    fleet.host(name).thaw();
  }
  await fleet.time.advance(fleet.time.nowMs + 6_000);
  t.deepEqual(wrongMembershipViews(fleet), []);
  fleet.close();
});

test('an outage of the store does not cause a storm of calls', async (t) => {
  const fleet = await startFleet(195, 5);
  const before = fleet.store.reads;
  fleet.store.fault = 'refuse';
  await fleet.time.advance(fleet.time.nowMs + 10_000);
  const calls = fleet.store.reads - before;
  // Every host retries one kind at the maximum delay, store readers all kinds.
  t.true(calls < 2_500, `${calls} calls in ten seconds`);
  fleet.store.fault = 'none';
  fleet.putServer('s1', {leaving: true});
  await fleet.time.advance(fleet.time.nowMs + 4_000);
  t.deepEqual(hostsSendingTo(fleet, 's1'), []);
  await fleet.time.advance(fleet.time.nowMs + 3_000);
  t.true((await measureIdleTraffic(fleet)).reads < 40);
  fleet.close();
});
