import type {Server} from '@basilworks/dispatch';
import test, {type ExecutionContext} from 'ava';

import {ReachabilityMonitor} from '../../relay/index.js';
import {FleetSimulation, serverEntry} from '../views/fleet-simulation.js';

/** Servers that the host knows: more than it needs to count as cut. */
const IDS = ['s0', 's1', 's2', 's3', 's4'];

/** A monitor on virtual time, and what it did. */
const startMonitor = async (t: ExecutionContext) => {
  const fleet = new FleetSimulation(1);
  for (const id of IDS) {
    fleet.store.put('servers', id, serverEntry(id));
  }
  await fleet.start();
  const {context} = fleet.host('h0');
  const {clock, servers, paths, timers} = context;
  const checked: string[] = [];
  const probed: string[] = [];
  const closed: string[] = [];
  const changes = {count: 0};
  const dialer = {
    check: ({entry}: Server) => {
      checked.push(entry.id);
      return Promise.resolve('silent' as const);
    },
    probe: ({entry}: Server) => {
      probed.push(entry.id);
    },
  };
  const pools = {
    closeIdle: (_path: string, server?: Server) => {
      closed.push(server?.entry.id ?? 'all');
    },
  };
  const monitor = new ReachabilityMonitor(context, dialer, pools, () => {
    changes.count += 1;
  });
  monitor.start();
  // Servers but the first answer all the while.
  timers.every('test/answers', 20, () => {
    paths.recordActivity(server('s4'), clock.now());
  });
  t.teardown(() => {
    fleet.close();
  });
  const server = (id: string): Server => {
    const known = servers.byId(id);
    if (known === undefined) {
      throw new Error(`no server ${id}`);
    }
    return known;
  };
  const advance = (ms: number) => fleet.time.advance(fleet.time.nowMs + ms);
  return {context, server, checked, probed, closed, changes, advance};
};

// Guards against requests that are sent, one after the other, on connections to
// a server that only this host can't reach, since others answer.
test('the links to one silent server are checked though others answer', async (t) => {
  const {context, server, checked, advance} = await startMonitor(t);
  server('s0').health.recordSent(context.clock.now());
  await advance(600);
  t.deepEqual(checked, []);
  await advance(600);
  t.deepEqual(checked, ['s0']);
});

test('a silent server is doubted sooner once another is not reached', async (t) => {
  const {context, server, checked, advance} = await startMonitor(t);
  const {paths, clock} = context;
  paths.recordRelayed(server('s1'), false, IDS.length, clock.now());
  server('s0').health.recordSent(clock.now());
  await advance(600);
  t.deepEqual(checked, ['s0']);
});

// Guards against idle connections that hang, and against peers that are not told
// which servers this host does not reach.
test('connections to a server that is not reached are closed, and others told', async (t) => {
  const {context, server, closed, changes, advance} = await startMonitor(t);
  const {paths, clock} = context;
  paths.recordRelayed(server('s1'), false, IDS.length, clock.now());
  await advance(300);
  t.deepEqual(closed, ['s1']);
  t.is(changes.count, 1);
  paths.recordDirect(server('s1'), IDS.length, clock.now());
  await advance(300);
  t.is(changes.count, 2);
});

test('connections that live on are kept', async (t) => {
  const {context, server, closed, advance} = await startMonitor(t);
  const {paths, clock} = context;
  paths.recordRelayed(server('s1'), true, IDS.length, clock.now());
  await advance(300);
  t.deepEqual(closed, []);
});

// Guards against a host that goes on through peers after its links are back.
test('servers that are not reached are probed, and no others', async (t) => {
  const {context, server, probed, advance} = await startMonitor(t);
  const {paths, clock} = context;
  await advance(1_000);
  t.deepEqual(probed, []);
  for (const id of ['s1', 's2']) {
    paths.recordRelayed(server(id), false, IDS.length, clock.now());
  }
  await advance(500);
  t.deepEqual([...new Set(probed)].sort(), ['s1', 's2']);
});
