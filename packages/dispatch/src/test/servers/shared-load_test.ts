import test from 'ava';

import {
  FleetLoad,
  overloadThreshold,
  ReportedRequests,
  ServerDemand,
} from '../../index.js';

const at = (ms: number) => ({monotonicMs: ms, wallMs: ms});
const allHosts = () => true;

test('requests of all hosts count, except those of removed hosts', (t) => {
  const demand = new ServerDemand();
  demand.applyReport('a', 2, at(0));
  demand.recordGrant('b', at(10));
  demand.recordGrant('b', at(20));
  t.is(demand.requests(allHosts, at(30)), 4);
  demand.applyReport('b', 1, at(40));
  t.is(demand.requests(allHosts, at(50)), 3);
  t.is(
    demand.requests((host) => host !== 'a', at(60)),
    1,
  );
  t.is(demand.requests(allHosts, at(20_000)), 0);
});

test('a host reports only changed numbers of requests', (t) => {
  const reported = new ReportedRequests();
  const requestsNow = (requests: number) => [{server: 's', requests}];
  t.deepEqual(reported.changes(requestsNow(0)), []);
  reported.record('s', 1);
  t.deepEqual(reported.changes(requestsNow(1)), []);
  t.deepEqual(reported.changes(requestsNow(0)), requestsNow(0));
  t.deepEqual(reported.changes(requestsNow(0)), []);
});

test('the occupancy of a service is computed from one sum per group', (t) => {
  const leaders = ['z1', 'z2'].map((group) => ({group, load: new FleetLoad()}));
  for (const [index, {group, load}] of leaders.entries()) {
    for (const host of ['a', 'b']) {
      const requests = index === 0 ? 6 : 2;
      load.applyHostLoads(host, [{service: 's', requests, slots: 12}], at(0));
    }
    load.aggregate(group, at(100));
  }
  const [first, second] = leaders;
  for (const {ageMs, ...load} of second?.load.groupLoads(at(300)) ?? []) {
    t.is(ageMs, 200);
    first?.load.applyGroupLoad(load, at(100));
  }
  t.is(first?.load.occupancy('s', at(400)), 16 / 48);
  t.is(first?.load.occupancy('other', at(400)), undefined);
  // The occupancy is unknown once the reports have expired.
  t.is(first?.load.occupancy('s', at(9_000)), undefined);
});

test('an older report of a group does not replace a newer one', (t) => {
  const load = new FleetLoad();
  const report = {group: 'z', service: 's', slots: 10};
  load.applyGroupLoad({...report, requests: 5}, at(500));
  load.applyGroupLoad({...report, requests: 1}, at(400));
  t.is(load.occupancy('s', at(600)), 0.5);
});

test('the overload threshold is relative to the mean, also of full servers', (t) => {
  t.true(overloadThreshold(0) > 0);
  t.true(overloadThreshold(0.3) > 0.3 && overloadThreshold(0.3) < 0.6);
  t.true(overloadThreshold(0.7) <= 0.9);
  t.true(overloadThreshold(1.5) > 1.5);
});
