import test, {type ExecutionContext} from 'ava';
import fc from 'fast-check';

import {SERVICE, StreamFleet} from './stream-fleet.js';

const at = (softwareVersion: string) => ({type: 'at', softwareVersion});

const REFUSED = {type: 'refused'};

const idsOf = (count: number, prefix: string): readonly string[] =>
  Array.from({length: count}, (_unused, index) => `${prefix}-${index}`);

const startFleet = async (
  t: ExecutionContext,
  hosts: number,
  ...softwareVersions: readonly string[]
): Promise<StreamFleet> => {
  const fleet = new StreamFleet(hosts);
  t.teardown(() => {
    fleet.close();
  });
  await fleet.start(...softwareVersions);
  return fleet;
};

/** A fleet beside servers of v1, the default, and of v2, on record for long. */
const startMixedFleet = async (t: ExecutionContext, hosts = 7) => {
  const fleet = await startFleet(t, hosts, 'v1');
  fleet.addServers('v2');
  await fleet.pass(5_000);
  return fleet;
};

/** Begins streams at a host at once, and waits for their first events. */
const beginAll = async (
  fleet: StreamFleet,
  host: string,
  ids: readonly string[],
  softwareVersion: string,
) => {
  const ends = ids.map((id) => fleet.begin(host, id, softwareVersion));
  await fleet.pass(60);
  return Promise.all(ends);
};

// Guards against streams of a lost host that are never taken up: it was dark as
// a second version came, and had told nobody where its streams began.
for (const hosts of [3, 7, 24]) {
  test(`streams of a host that is dark as a version joins go on, ${hosts} hosts`, async (t) => {
    const fleet = await startFleet(t, hosts, 'v1');
    const ids = idsOf(24, 'old');
    await beginAll(fleet, 'h0', ids, 'v1');
    fleet.fleet.host('h0').freeze();
    await fleet.pass(1_500);
    fleet.addServers('v2');
    await fleet.pass(2_000);
    fleet.kill('h0');
    for (const end of await fleet.takeUpAll(ids)) {
      t.deepEqual(end, at('v1'));
    }
  });
}

// Guards against the same where a version joins long before a host is lost:
// keepers were told after the first events, and the host was lost with them.
test('streams of a host that is lost with their first events go on', async (t) => {
  const fleet = await startMixedFleet(t);
  const older = idsOf(30, 'older');
  const newer = idsOf(30, 'newer');
  const began = [
    ...older.map((id) => fleet.begin('h0', id, 'v1')),
    ...newer.map((id) => fleet.begin('h0', id, 'v2')),
  ];
  await fleet.pass(40);
  fleet.kill('h0');
  t.is((await Promise.all(began)).filter(({type}) => type === 'at').length, 60);
  for (const end of await fleet.takeUpAll(older)) {
    t.deepEqual(end, at('v1'));
  }
  for (const end of await fleet.takeUpAll(newer)) {
    t.deepEqual(end, at('v2'));
  }
});

test('streams of a host that is lost with one of their keepers go on', async (t) => {
  const fleet = await startMixedFleet(t);
  const older = idsOf(30, 'older');
  const newer = idsOf(30, 'newer');
  await beginAll(fleet, 'h0', older, 'v1');
  await beginAll(fleet, 'h0', newer, 'v2');
  fleet.kill('h0');
  fleet.kill('h1');
  for (const end of await fleet.takeUpAll(older)) {
    t.deepEqual(end, at('v1'));
  }
  for (const end of await fleet.takeUpAll(newer)) {
    t.deepEqual(end, at('v2'));
  }
});

// A host that started since can't tell that it was told of nothing.
test('a stream whose keepers started again goes on at no other version', async (t) => {
  const fleet = await startMixedFleet(t);
  const ids = idsOf(20, 'newer');
  await beginAll(fleet, 'h0', ids, 'v2');
  for (const name of ['h0', 'h1', 'h2', 'h3', 'h4', 'h5', 'h6']) {
    fleet.kill(name);
    fleet.fleet.startHost(name);
  }
  await fleet.pass(6_000);
  for (const end of await fleet.takeUpAll(ids)) {
    t.notDeepEqual(end, at('v1'));
  }
});

// The version joins while nobody runs, and none of its streams has begun.
test('streams go on after a kill of all hosts as a version joins', async (t) => {
  const fleet = await startFleet(t, 7, 'v1');
  const ids = idsOf(24, 'old');
  await beginAll(fleet, 'h0', ids, 'v1');
  for (const name of fleet.fleet.names) {
    fleet.kill(name);
  }
  fleet.addServers('v2');
  await fleet.pass(500);
  for (const name of fleet.fleet.names) {
    fleet.fleet.startHost(name);
  }
  await fleet.pass(4_000);
  for (const end of await fleet.takeUpAll(ids)) {
    t.deepEqual(end, at('v1'));
  }
});

test('a host without keepers begins streams at the default version only', async (t) => {
  const fleet = await startMixedFleet(t);
  fleet.fleet.host('h0').partitioned = true;
  await fleet.pass(100);
  const newer = fleet.begin('h0', 'newer', 'v2');
  await fleet.pass(400);
  t.deepEqual(await newer, REFUSED);
  const older = fleet.begin('h0', 'older', 'v1');
  await fleet.pass(100);
  t.deepEqual(await older, at('v1'));
  fleet.kill('h0');
  t.deepEqual(await fleet.takeUpAll(['older']), [at('v1')]);
});

test('a host without keepers serves on where the default has no servers', async (t) => {
  const fleet = await startMixedFleet(t);
  fleet.removeServers('v1');
  await fleet.pass(2_000);
  fleet.fleet.host('h0').partitioned = true;
  const newer = fleet.begin('h0', 'newer', 'v2');
  await fleet.pass(400);
  t.deepEqual(await newer, at('v2'));
});

// A request whose first server brought no event may begin at another version.
test('a stream that was about to begin elsewhere goes on where it began', async (t) => {
  const fleet = await startMixedFleet(t);
  await beginAll(fleet, 'h0', ['r'], 'v2');
  // Told again of the same request, as it began at the default after all.
  fleet.fleet
    .host('h0')
    .streams?.recordBegan(
      'engines',
      {requestId: 'r', softwareVersion: 'v1'},
      false,
    );
  await fleet.pass(100);
  fleet.kill('h0');
  t.deepEqual(await fleet.takeUpAll(['r']), [at('v1')]);
});

// Guards against a caller's mistake: nobody is told of a stream without a name.
test('a stream whose caller does not name it goes on nowhere', async (t) => {
  const fleet = await startMixedFleet(t);
  const end = fleet.takeUp('h1', undefined);
  await fleet.pass(1_000);
  t.deepEqual(await end, REFUSED);
});

// Guards against streams that nobody knows by the name that their callers use: a
// request without an event of its own was recorded as one that it named.
test('a stream is known by the request that began it', async (t) => {
  const fleet = await startMixedFleet(t);
  const began = fleet.begin('h0', 'second', 'v2', 30, 'first');
  await fleet.pass(60);
  t.deepEqual(await began, at('v2'));
  fleet.kill('h0');
  t.deepEqual(await fleet.takeUpAll(['second']), [at('v2')]);
});

// Hosts that were replaced are no keepers, and hold up none of the others.
test('streams begin at a newer version after most hosts were replaced', async (t) => {
  const fleet = await startMixedFleet(t, 30);
  for (let index = 1; index < 18; index += 1) {
    fleet.kill(`h${index}`);
  }
  await fleet.pass(6_000);
  let began = 0;
  for (const id of idsOf(40, 'newer')) {
    const [end] = await beginAll(fleet, 'h0', [id], 'v2');
    began += end?.type === 'at' ? 1 : 0;
  }
  t.true(began >= 20, `${began} of 40`);
});

test('the default changes once the streams of its version have ended', async (t) => {
  const fleet = await startFleet(t, 3, 'v2');
  fleet.addServers('v1');
  await fleet.pass(2_000);
  t.like(fleet.recorded(), {versions: ['v1', 'v2'], defaultVersion: 'v2'});
  await beginAll(fleet, 'h0', ['older'], 'v2');
  await beginAll(fleet, 'h0', ['newer'], 'v1');
  fleet.removeServers('v2');
  await fleet.pass(50_000);
  t.like(fleet.recorded(), {defaultVersion: 'v2'});
  await beginAll(fleet, 'h0', ['last'], 'v1');
  await fleet.pass(14_000);
  t.like(fleet.recorded(), {versions: ['v1'], defaultVersion: 'v1'});
  fleet.kill('h0');
  t.deepEqual(await fleet.takeUpAll(['last']), [at('v1')]);
});

test('streams of a lost host go on while the store is away', async (t) => {
  const fleet = await startMixedFleet(t);
  const older = idsOf(20, 'older');
  const newer = idsOf(20, 'newer');
  await beginAll(fleet, 'h0', newer, 'v2');
  await beginAll(fleet, 'h0', older, 'v1');
  fleet.fleet.store.fault = 'silent';
  fleet.kill('h0');
  await fleet.pass(500);
  for (const end of await fleet.takeUpAll(older)) {
    t.deepEqual(end, at('v1'));
  }
  for (const end of await fleet.takeUpAll(newer)) {
    t.deepEqual(end, at('v2'));
  }
});

// Guards against streams with events of two versions: keepers forget a stream a
// minute after it was announced, and say then that they were told of nothing.
test('a stream that is taken up late goes on at no other version', async (t) => {
  const fleet = await startMixedFleet(t);
  await beginAll(fleet, 'h0', ['newer'], 'v2');
  fleet.kill('h0');
  await fleet.pass(61_000);
  await beginAll(fleet, 'h1', idsOf(30, 'later'), 'v2');
  const [end] = await fleet.takeUpAll(['newer']);
  t.notDeepEqual(end, at('v1'));
});

// Guards against the same once its keepers were replaced by hosts that were never
// told of it, and have run for longer than a minute.
test('a stream whose keepers were replaced long ago goes on at no other version', async (t) => {
  const fleet = await startMixedFleet(t, 14);
  const ids = idsOf(20, 'newer');
  await beginAll(fleet, 'h0', ids, 'v2');
  for (const name of ['h0', 'h1', 'h2', 'h3', 'h4', 'h5', 'h6']) {
    fleet.kill(name);
    await fleet.pass(2_000);
    fleet.fleet.startHost(name);
    await fleet.pass(2_000);
  }
  await fleet.pass(61_000);
  for (const end of await fleet.takeUpAll(ids)) {
    t.notDeepEqual(end, at('v1'));
  }
});

test('hosts that were replaced hide no keeper that has left', async (t) => {
  const fleet = await startMixedFleet(t, 16);
  const ids = idsOf(200, 'newer');
  await beginAll(fleet, 'h0', ids, 'v2');
  for (const name of ['h0', 'h1', 'h2', 'h3', 'h4', 'h5', 'h6']) {
    fleet.kill(name);
  }
  await fleet.pass(62_000);
  for (const end of await fleet.takeUpAll(ids)) {
    t.notDeepEqual(end, at('v1'));
  }
});

// Streams begin at another version without a confirmation while the default has
// no servers; those that nobody was told of then began there.
test('a stream of a time without the default goes on at no other version', async (t) => {
  const fleet = await startMixedFleet(t);
  fleet.removeServers('v1');
  await fleet.pass(3_000);
  fleet.fleet.host('h0').partitioned = true;
  await fleet.pass(100);
  const newer = fleet.begin('h0', 'newer', 'v2');
  await fleet.pass(400);
  t.deepEqual(await newer, at('v2'));
  fleet.kill('h0');
  fleet.addServers('v1');
  await fleet.pass(3_000);
  const [end] = await fleet.takeUpAll(['newer']);
  t.notDeepEqual(end, at('v1'));
});

// Guards against hosts that vouch for nothing after many releases: streams of
// versions that have left were kept for ever, until there was no room.
test('streams of versions that have left are forgotten', async (t) => {
  const fleet = await startMixedFleet(t);
  const ids = idsOf(30, 'newer');
  await beginAll(fleet, 'h0', ids, 'v2');
  fleet.removeServers('v2');
  await fleet.pass(130_000);
  t.like(fleet.recorded(), {versions: ['v1'], defaultVersion: 'v1'});
  await beginAll(fleet, 'h0', ['last'], 'v1');
  const {streams} = fleet.fleet.host('h0');
  t.is(streams?.answer(SERVICE, 'newer-0').softwareVersion, undefined);
});

// Guards against streams that are refused though servers are open: the default
// has only servers that leave, and too few hosts are left to confirm a stream.
test('streams begin at a newer version while the default leaves', async (t) => {
  const fleet = await startMixedFleet(t, 3);
  for (const id of ['s1', 's2', 's3']) {
    fleet.fleet.putServer(id, {
      service: SERVICE,
      softwareVersion: 'v1',
      leaving: true,
    });
  }
  fleet.kill('h1');
  await fleet.pass(5_000);
  const newer = fleet.begin('h0', 'newer', 'v2');
  await fleet.pass(400);
  t.deepEqual(await newer, at('v2'));
});

// Guards against streams that too few hosts know: two requests of one caller
// with the same id were counted as two confirmations of one keeper.
test('one keeper confirms a stream once', async (t) => {
  const fleet = await startMixedFleet(t, 3);
  fleet.kill('h1');
  await fleet.pass(5_000);
  const ends = ['same', 'same'].map((id) => fleet.begin('h0', id, 'v2'));
  await fleet.pass(400);
  t.deepEqual(await Promise.all(ends), [REFUSED, REFUSED]);
});

// Whatever happens to hosts while versions come and leave: no stream holds events
// of two versions, and those of up to two lost hosts go on.
test('streams of hosts that are lost at any moment go on at their version', async (t) => {
  const action = fc.oneof(
    {weight: 6, arbitrary: fc.constant('begin' as const)},
    {weight: 2, arbitrary: fc.constant('kill' as const)},
    {weight: 2, arbitrary: fc.constant('freeze' as const)},
    {weight: 1, arbitrary: fc.constant('thaw' as const)},
    {weight: 2, arbitrary: fc.constant('cut' as const)},
    {weight: 1, arbitrary: fc.constant('restart' as const)},
    {weight: 2, arbitrary: fc.constant('join' as const)},
    {weight: 1, arbitrary: fc.constant('leave' as const)},
  );
  const step = fc.record({
    action,
    host: fc.nat({max: 6}),
    version: fc.constantFrom('v1', 'v2', 'v3'),
    pauseMs: fc.oneof(
      fc.integer({min: 0, max: 60}),
      fc.integer({min: 60, max: 4_000}),
    ),
  });
  const totals = {takenUp: 0, wentOn: 0};
  const property = fc.asyncProperty(
    fc.array(step, {minLength: 10, maxLength: 40}),
    async (steps) => {
      const fleet = new StreamFleet(7);
      await fleet.start('v1');
      const serving = new Set(['v1']);
      const lost = new Set<string>();
      const began: Promise<{
        id: string;
        host: string;
        version: string | undefined;
      }>[] = [];
      for (const {action: kind, host: index, version, pauseMs} of steps) {
        const name = `h${index}`;
        const host = fleet.fleet.host(name);
        const handlers = {
          begin: () => {
            for (let stream = 0; stream < 4; stream += 1) {
              const id = `r${began.length}`;
              const versions = [...serving];
              const chosen = versions[stream % versions.length] ?? version;
              began.push(
                fleet.begin(name, id, chosen).then((end) => ({
                  id,
                  host: name,
                  version: end.type === 'at' ? end.softwareVersion : undefined,
                })),
              );
            }
          },
          kill: () => {
            lost.add(name);
            host.thaw();
            fleet.kill(name);
          },
          freeze: () => {
            lost.add(name);
            host.freeze();
          },
          thaw: () => {
            host.thaw();
          },
          cut: () => {
            lost.add(name);
            host.partitioned = true;
          },
          restart: () => {
            lost.add(name);
            host.thaw();
            fleet.kill(name);
            fleet.fleet.startHost(name);
          },
          join: () => {
            if (!serving.has(version)) {
              serving.add(version);
              fleet.addServers(version);
            }
          },
          leave: () => {
            if (serving.size > 1 && serving.delete(version)) {
              fleet.removeServers(version);
            }
          },
        };
        if (lost.has(name) || lost.size < 2 || kind === 'begin') {
          handlers[kind]();
        }
        await fleet.pass(pauseMs);
      }
      await fleet.pass(500);
      for (const {name} of fleet.fleet.hosts.values()) {
        const host = fleet.fleet.host(name);
        host.thaw();
        if (lost.has(name)) {
          fleet.kill(name);
        }
      }
      const streams = await Promise.all(began);
      const hosts = fleet.running();
      const ends = await fleet.takeUpAll(
        streams.map(({id}) => id),
        hosts,
      );
      for (const [index, {id, version}] of streams.entries()) {
        const end = ends[index];
        if (version === undefined || end === undefined) {
          continue;
        }
        if (end.type === 'at') {
          t.is(end.softwareVersion, version, `${id} went on elsewhere`);
        }
        if (serving.has(version)) {
          totals.takenUp += 1;
          totals.wentOn += end.type === 'at' ? 1 : 0;
        }
      }
      fleet.close();
    },
  );
  await fc.assert(property, {seed: 8, numRuns: 60});
  t.log(totals);
  t.true(totals.takenUp > 500);
  t.true(totals.wentOn >= 0.9 * totals.takenUp);
});
