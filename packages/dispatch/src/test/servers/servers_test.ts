import test from 'ava';

import {
  admit,
  type ChoiceContext,
  chooseLeastLoaded,
  rankByAffinity,
  type RecordedEntry,
  reportedOccupancy,
  type Server,
  type ServerEntry,
  ServerTable,
} from '../../index.js';

const at = (ms: number) => ({monotonicMs: ms, wallMs: ms});

const entry = (id: string, extra: Partial<ServerEntry> = {}): ServerEntry => ({
  id,
  service: 's',
  host: '127.0.0.1',
  port: 1,
  zone: 'z1',
  slots: 4,
  leaving: false,
  startedAtWallMs: 1,
  softwareVersion: 'v1',
  models: ['base'],
  ...extra,
});

const recorded = (...entries: ServerEntry[]): RecordedEntry[] =>
  entries.map((entry_) => ({entry: entry_, revision: 1}));

const table = (...entries: ServerEntry[]): ServerTable => {
  const servers = new ServerTable();
  servers.update(recorded(...entries), undefined, at(0));
  return servers;
};

const context = (extra: Partial<ChoiceContext> = {}): ChoiceContext => ({
  at: at(0),
  zone: 'z1',
  tried: new Set(),
  silenceLimitMs: 800,
  random: () => 0,
  ...extra,
});

const byId = (servers: ServerTable, id: string): Server => {
  const server = servers.byId(id);
  if (server === undefined) {
    throw new Error(`no server ${id}`);
  }
  return server;
};

test('changes of servers are returned with their revisions', (t) => {
  const servers = table(entry('a'), entry('b'));
  const changed = [
    {entry: entry('a', {leaving: true}), revision: 7},
    {entry: entry('c'), revision: 8},
  ];
  t.deepEqual(servers.update(changed, at(0), at(0)), [
    {server: 'a', from: 'open', to: 'leaving', revision: 7},
    {server: 'c', from: 'absent', to: 'open', revision: 8},
    {server: 'b', from: 'open', to: 'missing', revision: 1},
  ]);
  t.deepEqual(servers.update(changed, at(0), at(0)), []);
  t.deepEqual(servers.expire(at(9_000)), [
    {server: 'b', from: 'missing', to: 'absent', revision: 1},
  ]);
});

test('a leaving server accepts no new requests', (t) => {
  const servers = table(entry('a'), entry('b', {leaving: true}));
  t.deepEqual(
    servers.open('s', at(0)).map((server) => server.entry.id),
    ['a'],
  );
});

// A server that reported leaving with a response still got requests, as its
// entry in the store was open.
test('an instance that reported leaving accepts no new requests', (t) => {
  const servers = table(entry('a'), entry('b'));
  const leavingServer = byId(servers, 'a');
  const leaving = {
    leaving: true,
    pauseMs: undefined,
    requestsPerSecond: undefined,
  };
  leavingServer.notices.apply(leaving, at(0), at(1));
  t.deepEqual(servers.open('s', at(1)), [byId(servers, 'b')]);
  t.false(servers.isOpen(leavingServer, at(1)));
  const restarted = entry('a', {startedAtWallMs: 2});
  servers.update(recorded(restarted, entry('b')), undefined, at(2));
  t.is(servers.open('s', at(2)).length, 2);
});

test('a server that requested a pause accepts no requests until its end', (t) => {
  const servers = table(entry('a'), entry('b'));
  for (const [id, pauseMs] of Object.entries({a: 3_000, b: 500})) {
    const notice = {leaving: false, pauseMs, requestsPerSecond: undefined};
    byId(servers, id).notices.apply(notice, at(0), at(0));
  }
  t.deepEqual(servers.open('s', at(100)), []);
  t.is(servers.shortestPauseMs('s', at(100)), 400);
  t.deepEqual(servers.open('s', at(500)), [byId(servers, 'b')]);
  t.true(servers.isOpen(byId(servers, 'a'), at(3_000)));
});

test('a restart under the same id is another instance', (t) => {
  const servers = table(entry('a'));
  byId(servers, 'a').health.recordSent(at(0));
  servers.update(recorded(entry('a', {startedAtWallMs: 2})), undefined, at(1));
  t.is(servers.all().length, 1);
  t.is(byId(servers, 'a').health.inFlight, 0);
});

test('an entry that expired during an outage is retained for two seconds', (t) => {
  const servers = table(entry('a'), entry('b'));
  servers.update(recorded(entry('a')), at(0), at(0));
  t.is(servers.all().length, 2);
  servers.expire(at(1_900));
  t.is(servers.all().length, 2);
  servers.expire(at(2_100));
  t.is(servers.all().length, 1);
});

test('an entry found missing late after an outage is not retained for longer', (t) => {
  const servers = table(entry('a'), entry('b'), entry('c'));
  servers.update(recorded(entry('a'), entry('b')), at(0), at(1_900));
  t.is(servers.all().length, 3);
  servers.expire(at(2_100));
  t.is(servers.all().length, 2);
  servers.update(recorded(entry('a')), at(0), at(2_100));
  t.is(servers.all().length, 1);
});

test('an entry that is missing at any other time is removed at once', (t) => {
  const servers = table(entry('a'), entry('b'));
  servers.update(recorded(entry('a')), undefined, at(0));
  t.is(servers.all().length, 1);
});

test('requests go to the server with the most free slots', (t) => {
  const servers = table(entry('a'), entry('b'));
  byId(servers, 'a').health.recordSent(at(0));
  const chosen = chooseLeastLoaded(servers.all(), context());
  t.is(chosen?.entry.id, 'b');
});

test('the zone of the host decides only between equally loaded servers', (t) => {
  const servers = table(entry('far', {zone: 'z2'}), entry('near'));
  t.is(chooseLeastLoaded(servers.all(), context())?.entry.id, 'near');
  byId(servers, 'near').health.recordSent(at(0));
  t.is(chooseLeastLoaded(servers.all(), context())?.entry.id, 'far');
});

test('a server that fails more than others is avoided', (t) => {
  const servers = table(entry('bad'), entry('good', {zone: 'z2'}));
  const {health} = byId(servers, 'bad');
  for (let index = 0; index < 10; index += 1) {
    health.recordSent(at(index));
    health.recordEnd('failed', false, at(index));
  }
  t.is(chooseLeastLoaded(servers.all(), context())?.entry.id, 'good');
});

test('an unresponsive server with waiting requests is avoided', (t) => {
  const servers = table(entry('dark'), entry('light'));
  const silentHealth = byId(servers, 'dark').health;
  silentHealth.recordSent(at(0));
  const answeringHealth = byId(servers, 'light').health;
  for (let index = 0; index < 3; index += 1) {
    answeringHealth.recordSent(at(900));
  }
  const chosen = chooseLeastLoaded(servers.all(), context({at: at(1_000)}));
  t.is(chosen?.entry.id, 'light');
});

test('an unreachable server needs a check before it is used again', (t) => {
  const servers = table(entry('a'), entry('b'));
  const {health} = byId(servers, 'a');
  health.recordSent(at(0));
  health.recordEnd('unreachable', true, at(0));
  const later = context({at: at(60_000)});
  t.is(chooseLeastLoaded(servers.all(), later)?.entry.id, 'b');
  health.recordHealthCheck(true, at(60_000));
  t.false(health.needsCheck());
});

test('the ranking of an adapter is stable, and full servers come last', (t) => {
  const servers = table(entry('a'), entry('b'), entry('c'));
  const ranked = rankByAffinity(
    'base/a7',
    servers.all(),
    context(),
  ).byPreference;
  const again = rankByAffinity(
    'base/a7',
    servers.all(),
    context(),
  ).byPreference;
  t.deepEqual(ranked, again);
  const [first] = ranked;
  for (let index = 0; index < 4; index += 1) {
    first?.health.recordSent(at(0));
  }
  const {byAffinity, byPreference} = rankByAffinity(
    'base/a7',
    servers.all(),
    context(),
  );
  t.deepEqual(byAffinity, ranked);
  t.is(byPreference[0], ranked[1]);
  t.is(byPreference.at(-1), first);
});

test('popular adapters do not overload their preferred servers', (t) => {
  // The load: a few adapters get most of the requests, on many servers.
  const SERVER_COUNT = 13;
  const MAX_RUNNING = 300;
  const ids = Array.from(
    {length: SERVER_COUNT},
    (_value, index) => `s${index}`,
  );
  const servers = table(...ids.map((id) => entry(id, {slots: 64})));
  const maxLoadRatio = (byPreferenceOnly: boolean) => {
    const counts = new Map<string, number>();
    const running: Server[] = [];
    for (let step = 0; step < 4_000; step += 1) {
      // Half of the requests for one adapter, a quarter for another.
      const popular = step % 2 === 0 ? 0 : 1;
      const adapter = step % 4 === 3 ? (step * 7) % 300 : popular;
      const {byAffinity, byPreference} = rankByAffinity(
        `base/a${adapter}`,
        servers.all(),
        context(),
      );
      const server = byPreferenceOnly ? byPreference[0] : byAffinity[0];
      server?.health.recordSent(at(0));
      if (server !== undefined) {
        running.push(server);
      }
      if (running.length > MAX_RUNNING) {
        running.shift()?.health.recordEnd('served', true, at(0));
      }
    }
    for (const server of running) {
      counts.set(server.key, (counts.get(server.key) ?? 0) + 1);
    }
    running.forEach(({health}) => {
      health.recordEnd('served', true, at(0));
    });
    return Math.max(...counts.values()) / (MAX_RUNNING / SERVER_COUNT);
  };
  t.true(maxLoadRatio(false) > 4);
  t.true(maxLoadRatio(true) < 2);
});

test('a server with much slower streams than others comes last', (t) => {
  const servers = table(entry('a'), entry('b'), entry('c'), entry('d'));
  const key = 'base/a7';
  const [preferred] = rankByAffinity(key, servers.all(), context()).byAffinity;
  for (let event = 0; event < 40; event += 1) {
    for (const server of servers.all()) {
      const gapMs = server === preferred ? 250 : 40;
      server.health.recordGap(gapMs, at(event * 10));
    }
  }
  const now = context({at: at(400)});
  const {byAffinity, byPreference} = rankByAffinity(key, servers.all(), now);
  t.is(byAffinity[0], preferred);
  t.is(byPreference.at(-1), preferred);
  // Its mean gap has expired, so it is tried again.
  const later = context({at: at(3_000)});
  t.is(rankByAffinity(key, servers.all(), later).byPreference[0], preferred);
});

test('one long gap in ten does not make a server slow', (t) => {
  const servers = table(entry('a'), entry('b'), entry('c'));
  for (let event = 0; event < 40; event += 1) {
    for (const server of servers.all()) {
      const slow = server.entry.id === 'a' && event % 10 === 5;
      server.health.recordGap(slow ? 300 : 40, at(event * 10));
    }
  }
  const now = context({at: at(400)});
  const {byAffinity, byPreference} = rankByAffinity('k', servers.all(), now);
  t.deepEqual(byPreference, byAffinity);
});

test('no request is refused while a slot is free', (t) => {
  const servers = table(entry('a'), entry('b'));
  for (let index = 0; index < 100; index += 1) {
    byId(servers, 'a').health.recordSent(at(0));
  }
  const request = {remainingMs: 1, priority: 9};
  t.true(admit(servers.all(), request, 500, at(0)).admitted);
});

test('a request that would wait too long is refused', (t) => {
  const servers = table(entry('a'));
  for (let index = 0; index < 40; index += 1) {
    byId(servers, 'a').health.recordSent(at(0));
  }
  const request = {remainingMs: 1_000, priority: 0};
  const admission = admit(servers.all(), request, 500, at(0));
  t.like(admission, {admitted: false});
});

test('the reported occupancy is known until the reports expire', (t) => {
  const servers = table(entry('a'), entry('b'), entry('c'));
  t.is(reportedOccupancy(servers.all(), at(0)), undefined);
  byId(servers, 'a').health.recordResponse(5, {running: 4, waiting: 2}, at(10));
  byId(servers, 'b').health.recordResponse(5, {running: 1, waiting: 0}, at(10));
  t.is(reportedOccupancy(servers.all(), at(20)), 7 / 8);
  t.is(reportedOccupancy(servers.all(), at(9_000)), undefined);
});

// Guards against requests to servers that left: a store that is restored from an
// older copy shows their entries of before, until they lapse.
test('an instance that left stays away whatever an older entry says', (t) => {
  const table = new ServerTable();
  const recorded = (extra: Partial<ServerEntry>) => [
    {entry: entry('s', {startedAtWallMs: 7, ...extra}), revision: 1},
  ];
  const isOpen = (nowMs: number) =>
    table.open(entry('s').service, at(nowMs)).length > 0;
  table.update(recorded({}), undefined, at(0));
  t.true(isOpen(0));
  table.update(recorded({leaving: true}), undefined, at(100));
  table.update(recorded({}), at(200), at(200));
  t.false(isOpen(200), 'an older entry of a leaving instance');
  table.update([], undefined, at(300));
  table.update(recorded({}), undefined, at(400));
  t.false(isOpen(400), 'an older entry of a removed instance');
  table.update(recorded({startedAtWallMs: 9}), undefined, at(500));
  t.true(isOpen(500), 'a later instance');
});
