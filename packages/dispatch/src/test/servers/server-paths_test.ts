import test from 'ava';
import fc from 'fast-check';

import {ServerPaths} from '../../servers/index.js';

const at = (monotonicMs: number) => ({monotonicMs, wallMs: monotonicMs});

const KNOWN = 13;

test('a server that only this host can’t reach is reached through peers for a time', (t) => {
  const paths = new ServerPaths();
  paths.recordDirect('s2', KNOWN, at(0));
  paths.recordRelayed('s1', false, KNOWN, at(100));
  t.true(paths.usesRelay('s1', at(200)));
  t.false(paths.usesRelay('s2', at(200)));
  t.false(paths.isCut);
  t.false(paths.usesRelay('s1', at(2_200)));
});

test('a host is cut if several servers are reached by peers only', (t) => {
  const paths = new ServerPaths();
  for (const server of ['s1', 's2', 's3']) {
    t.false(paths.isCut);
    paths.recordRelayed(server, false, KNOWN, at(100));
  }
  t.true(paths.isCut);
  t.true(paths.usesRelay('s9', at(10_000)));
});

test('a host that reaches a server meanwhile is not cut', (t) => {
  const paths = new ServerPaths();
  for (const server of ['s1', 's2', 's3', 's4']) {
    paths.recordRelayed(server, false, KNOWN, at(100));
    paths.recordDirect('s5', KNOWN, at(101));
  }
  t.false(paths.isCut);
});

test('a host is no longer cut once it has reached several servers in turn', (t) => {
  const paths = new ServerPaths();
  for (const server of ['s1', 's2', 's3']) {
    paths.recordRelayed(server, false, KNOWN, at(100));
  }
  paths.recordDirect('s1', KNOWN, at(200));
  paths.recordDirect('s2', KNOWN, at(300));
  paths.recordUnreached();
  paths.recordDirect('s3', KNOWN, at(400));
  t.true(paths.isCut);
  paths.recordDirect('s1', KNOWN, at(500));
  paths.recordDirect('s2', KNOWN, at(600));
  t.false(paths.isCut);
});

test('one server suffices where a deployment has no more', (t) => {
  const paths = new ServerPaths();
  paths.recordRelayed('s1', false, 1, at(100));
  t.true(paths.isCut);
  paths.recordDirect('s1', 1, at(200));
  t.false(paths.isCut);
});

// Guards against a host that goes on through peers after its links are back.
test('a host that reaches all servers is never cut, whatever came before', (t) => {
  const event = fc.record({
    server: fc.integer({min: 0, max: 4}),
    kind: fc.constantFrom('direct', 'unreached', 'relayed'),
  });
  fc.assert(
    fc.property(fc.array(event, {maxLength: 60}), (events) => {
      const paths = new ServerPaths();
      events.forEach(({server, kind}, index) => {
        const key = `s${server}`;
        const moment = at(index * 50);
        if (kind === 'direct') {
          paths.recordDirect(key, 5, moment);
        } else if (kind === 'relayed') {
          paths.recordRelayed(key, true, 5, moment);
        } else {
          paths.recordUnreached();
        }
      });
      for (let server = 0; server < 5; server += 1) {
        paths.recordDirect(`s${server}`, 5, at(10_000));
      }
      t.false(paths.isCut);
      t.false(paths.usesRelay('s0', at(10_000)));
    }),
    {seed: 7},
  );
});
