import test from 'ava';
import fc from 'fast-check';

import {ServerPaths} from '../../servers/index.js';

const at = (monotonicMs: number) => ({monotonicMs, wallMs: monotonicMs});

const KNOWN = 13;
const SERVICE = 'engines';

/** A server of a service, by its key. */
const server = (key: string, service = SERVICE) => ({key, entry: {service}});

test('a server that only this host can’t reach is reached through peers until it is reached directly', (t) => {
  const paths = new ServerPaths();
  paths.recordDirect(server('s2'), KNOWN, at(0));
  paths.recordRelayed(server('s1'), false, KNOWN, at(100));
  t.true(paths.usesRelay(server('s1')));
  t.false(paths.usesRelay(server('s2')));
  t.false(paths.isCutFrom(SERVICE));
  paths.recordDirect(server('s1'), KNOWN, at(2_200));
  t.false(paths.usesRelay(server('s1')));
  t.false(paths.isImpaired);
});

// Guards against a host that counts as cut from all servers, relays for nobody
// and gives up all its claims, though it hears from some on open connections.
test('a host that hears from a server on an open connection is not cut', (t) => {
  const paths = new ServerPaths();
  ['s1', 's2', 's3', 's4', 's5'].forEach((key, index) => {
    paths.recordRelayed(server(key), false, KNOWN, at(100 * index));
    paths.recordActivity(server('s6'), at(100 * index + 10));
  });
  t.false(paths.isCutFrom(SERVICE));
  t.true(paths.usesRelay(server('s5')));
  t.false(paths.usesRelay(server('s6')));
});

test('servers that are gone are forgotten', (t) => {
  const paths = new ServerPaths();
  paths.recordRelayed(server('s1'), false, KNOWN, at(0));
  paths.recordRelayed(server('s2'), false, KNOWN, at(0));
  paths.retain(new Set(['s2']));
  t.false(paths.usesRelay(server('s1')));
  t.true(paths.usesRelay(server('s2')));
});

test('a host is cut if several servers are reached by peers only', (t) => {
  const paths = new ServerPaths();
  for (const key of ['s1', 's2', 's3']) {
    t.false(paths.isCutFrom(SERVICE));
    paths.recordRelayed(server(key), false, KNOWN, at(100));
  }
  t.true(paths.isCutFrom(SERVICE));
  t.true(paths.usesRelay(server('s9')));
});

test('a host that reaches a server meanwhile is not cut', (t) => {
  const paths = new ServerPaths();
  for (const key of ['s1', 's2', 's3', 's4']) {
    paths.recordRelayed(server(key), false, KNOWN, at(100));
    paths.recordDirect(server('s5'), KNOWN, at(101));
  }
  t.false(paths.isCutFrom(SERVICE));
});

test('a host is no longer cut once it has reached several servers in turn', (t) => {
  const paths = new ServerPaths();
  for (const key of ['s1', 's2', 's3']) {
    paths.recordRelayed(server(key), false, KNOWN, at(100));
  }
  paths.recordDirect(server('s1'), KNOWN, at(200));
  paths.recordDirect(server('s2'), KNOWN, at(300));
  paths.recordUnreached(server('s1'));
  paths.recordDirect(server('s3'), KNOWN, at(400));
  t.true(paths.isCutFrom(SERVICE));
  paths.recordDirect(server('s1'), KNOWN, at(500));
  paths.recordDirect(server('s2'), KNOWN, at(600));
  t.false(paths.isCutFrom(SERVICE));
});

test('one server suffices where a deployment has no more', (t) => {
  const paths = new ServerPaths();
  paths.recordRelayed(server('s1'), false, 1, at(100));
  t.true(paths.isCutFrom(SERVICE));
  paths.recordDirect(server('s1'), 1, at(200));
  t.false(paths.isCutFrom(SERVICE));
});

// Guards against a host that goes on through peers after its links are back.
test('a host that reaches all servers is never cut, whatever came before', (t) => {
  const event = fc.record({
    index: fc.integer({min: 0, max: 4}),
    kind: fc.constantFrom('direct', 'unreached', 'relayed'),
  });
  fc.assert(
    fc.property(fc.array(event, {maxLength: 60}), (events) => {
      const paths = new ServerPaths();
      events.forEach(({index, kind}, position) => {
        const target = server(`s${index}`);
        const moment = at(position * 50);
        if (kind === 'direct') {
          paths.recordDirect(target, 5, moment);
        } else if (kind === 'relayed') {
          paths.recordRelayed(target, true, 5, moment);
        } else {
          paths.recordUnreached(target);
        }
      });
      for (let index = 0; index < 5; index += 1) {
        paths.recordDirect(server(`s${index}`), 5, at(10_000));
      }
      t.false(paths.isCutFrom(SERVICE));
      t.false(paths.usesRelay(server('s0')));
    }),
    {seed: 7},
  );
});

// Guards against a host that takes all servers for unreachable because it has
// lost those of one service.
test('a host that is cut from one service reaches the others directly', (t) => {
  const paths = new ServerPaths();
  paths.recordDirect(server('p1', 'plain'), 3, at(0));
  for (const key of ['s1', 's2', 's3']) {
    paths.recordRelayed(server(key), false, KNOWN, at(100));
  }
  t.true(paths.isCutFrom(SERVICE));
  t.true(paths.isSilent(SERVICE));
  t.false(paths.isCutFrom('plain'));
  t.false(paths.isImpairedFor('plain'));
  t.false(paths.usesRelay(server('p2', 'plain')));
});

// Guards against a host that goes on through peers to servers which it reaches
// again, because another one of their service is down.
test.failing(
  'servers that are reached again are reached directly beside one that is down',
  (t) => {
    const paths = new ServerPaths();
    for (const key of ['p1', 'p2', 'p3']) {
      paths.recordRelayed(server(key), true, 3, at(100));
    }
    paths.recordDirect(server('p1'), 3, at(200));
    paths.recordDirect(server('p2'), 3, at(200));
    paths.recordUnreached(server('p3'));
    t.false(paths.usesRelay(server('p1')));
    t.false(paths.usesRelay(server('p2')));
  },
);
