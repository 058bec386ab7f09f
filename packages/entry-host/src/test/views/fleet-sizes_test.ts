import test from 'ava';

import {FleetSimulation} from './fleet-simulation.js';
import {HEARTBEAT_PERIOD_MS, senders, SERVERS} from './seven-host-fleet.js';

/** Layouts that deployments have, or are planned to have. */
const LAYOUTS = [
  {hosts: 9, zones: 3},
  {hosts: 90, zones: 3},
  {hosts: 195, zones: 5},
  {hosts: 522, zones: 5},
] as const;

/** Bounds of a large deployment, milliseconds. */
const NEWS_BOUNDS = {
  leavingServerMs: 4_000,
  configurationMs: 4_000,
  adapterVersionMs: 5_000,
};

const deploy = async (
  hosts: number,
  zones: number,
): Promise<FleetSimulation> => {
  const fleet = new FleetSimulation(hosts, {
    zones,
    largeHostsPerZone: hosts > 60 ? 3 : 0,
    newsBounds: NEWS_BOUNDS,
  });
  for (const id of SERVERS) {
    fleet.putServer(id);
  }
  fleet.startHeartbeats(() => SERVERS, HEARTBEAT_PERIOD_MS);
  await fleet.start();
  await fleet.time.advance(fleet.time.nowMs + 2_000);
  return fleet;
};

/** Hosts that take another one for live, or not, by every host's own view. */
const misjudged = (fleet: FleetSimulation): string[] => {
  const running = [...fleet.hosts.values()].filter((host) => host.running);
  const names = new Set(running.map(({name}) => name));
  return running.flatMap(({name, context}) => {
    const live = context.membership.live().map(({host}) => host);
    const wrong = [
      ...live.filter((host) => !names.has(host)),
      ...[...names].filter((host) => !live.includes(host)),
    ];
    return wrong.map((host) => `${name} of ${host}`);
  });
};

/** Messages, bytes and calls to the store in ten seconds at rest. */
const atRest = async (fleet: FleetSimulation) => {
  const before = fleet.store.reads;
  for (const {traffic} of fleet.hosts.values()) {
    traffic.messages = 0;
    traffic.bytes = 0;
  }
  await fleet.time.advance(fleet.time.nowMs + 10_000);
  const each = [...fleet.hosts.values()].map(({traffic}) => traffic);
  const mean = (of: (traffic: (typeof each)[number]) => number) =>
    each.reduce((sum, traffic) => sum + of(traffic), 0) / each.length;
  return {
    messages: mean(({messages}) => messages) / 10,
    bytes: mean(({bytes}) => bytes) / 10,
    busiestBytes: Math.max(...each.map(({bytes}) => bytes)) / 10,
    reads: (fleet.store.reads - before) / 10,
  };
};

// Every exchange carried every live host, and all hosts asked the same two:
// 195 hosts sent 300,000 entries a second, and filled the readers' links.
test('what a host says at rest does not grow with the fleet', async (t) => {
  const figures = [];
  for (const [hosts, zones] of [
    [30, 5],
    [100, 5],
    [195, 5],
  ] as const) {
    const fleet = await deploy(hosts, zones);
    t.deepEqual(misjudged(fleet), []);
    const figure = await atRest(fleet);
    t.log({hosts, ...figure});
    figures.push(figure);
    fleet.close();
  }
  for (const name of ['messages', 'bytes'] as const) {
    const values = figures.map((figure) => figure[name]);
    t.true(Math.max(...values) <= 1.2 * Math.min(...values), name);
  }
  for (const {bytes, reads, busiestBytes} of figures) {
    // Bounds of the users: 6 KB a second for a host, and of the store's calls.
    t.true(bytes < 6_000);
    t.true(reads < 40);
    // A reader's part of a link of 14 Mbit/s stays below a tenth.
    t.true(busiestBytes < 175_000);
  }
});

for (const {hosts, zones} of LAYOUTS) {
  test(`a server's leaving is known in time on ${hosts} hosts whose readers are lost`, async (t) => {
    const fleet = await deploy(hosts, zones);
    const lost = fleet.leaders();
    t.true(lost.length >= 1);
    for (const name of lost) {
      fleet.host(name).freeze();
    }
    await fleet.time.advance(fleet.time.nowMs + 10);
    fleet.putServer('s1', {leaving: true});
    await fleet.time.advance(
      fleet.time.nowMs + Math.min(2_000, NEWS_BOUNDS.leavingServerMs),
    );
    t.deepEqual(
      senders(fleet, 's1').filter((name) => !lost.includes(name)),
      [],
    );
    fleet.close();
  });
}

test('195 hosts that start at once find each other, with few calls to the store', async (t) => {
  const fleet = new FleetSimulation(195, {
    zones: 5,
    largeHostsPerZone: 3,
    newsBounds: NEWS_BOUNDS,
  });
  await fleet.start();
  t.deepEqual(misjudged(fleet), []);
  // Each lists each kind once, and most of what is left is the readers'.
  t.true(fleet.store.reads < 195 * 4 * 2, `${fleet.store.reads} reads`);
  fleet.close();
});

test('hosts that are killed together are passed over, and back soon', async (t) => {
  const fleet = await deploy(195, 5);
  const killed = fleet.names.filter((_name, index) => index % 9 < 5);
  for (const name of killed) {
    fleet.host(name).close();
  }
  await fleet.time.advance(fleet.time.nowMs + 6_000);
  t.deepEqual(misjudged(fleet), []);
  for (const name of killed) {
    fleet.startHost(name);
  }
  await fleet.time.advance(fleet.time.nowMs + 6_000);
  t.deepEqual(misjudged(fleet), []);
  fleet.close();
});

test('a zone that goes dark is passed over, and back when it returns', async (t) => {
  const fleet = await deploy(195, 5);
  const dark = fleet.names.filter((name) => fleet.zoneOf(name) === 'z2');
  for (const name of dark) {
    fleet.host(name).freeze();
  }
  await fleet.time.advance(fleet.time.nowMs + 6_000);
  t.deepEqual(misjudged(fleet), []);
  for (const name of dark) {
    fleet.host(name).thaw();
  }
  await fleet.time.advance(fleet.time.nowMs + 6_000);
  t.deepEqual(misjudged(fleet), []);
  fleet.close();
});

test('an outage of the store is not answered by a storm of calls', async (t) => {
  const fleet = await deploy(195, 5);
  const before = fleet.store.reads;
  fleet.store.fault = 'refuse';
  await fleet.time.advance(fleet.time.nowMs + 10_000);
  const calls = fleet.store.reads - before;
  // Every host tries one kind at its slowest pace, the readers all of them.
  t.true(calls < 2_500, `${calls} calls in ten seconds`);
  fleet.store.fault = 'none';
  fleet.putServer('s1', {leaving: true});
  await fleet.time.advance(fleet.time.nowMs + 4_000);
  t.deepEqual(senders(fleet, 's1'), []);
  await fleet.time.advance(fleet.time.nowMs + 3_000);
  t.true((await atRest(fleet)).reads < 40);
  fleet.close();
});
