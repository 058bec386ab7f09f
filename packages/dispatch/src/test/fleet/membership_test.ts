import test from 'ava';

import {
  type HostEntry,
  Membership,
  selectCallerAddresses,
} from '../../index.js';
import {at, entry, status} from './hosts.js';

const membershipOf = (host = 'me') => new Membership(() => status(host), 1);

test('a host that misses exchanges is suspect, and failed once others respond', (t) => {
  const membership = membershipOf();
  membership.recordContact(entry('other'), 0, at(0));
  membership.recordContact(entry('third'), 0, at(0));
  membership.recordMiss('other', at(700));
  t.true(membership.isLive('other'));
  membership.recordMiss('other', at(1_400));
  t.false(membership.isLive('other'));
  t.deepEqual(membership.detectFailures(at(1_500)), []);
  t.is(membership.status('other')?.gone, false);
  membership.recordContact(entry('third'), 0, at(1_600));
  t.deepEqual(
    membership.detectFailures(at(1_700)).map(({host}) => host),
    ['other'],
  );
  t.true(membership.unreachableMs('other', at(5_700)) >= 4_000);
  t.is(membership.unreachableMs('third', at(5_700)), 0);
});

test('a host without any contact declares no other host failed', (t) => {
  const membership = membershipOf();
  for (const host of ['a', 'b', 'c']) {
    membership.recordContact(entry(host), 0, at(0));
  }
  for (const ms of [700, 1_400, 2_100]) {
    for (const host of ['a', 'b', 'c']) {
      membership.recordMiss(host, at(ms));
    }
    t.deepEqual(membership.detectFailures(at(ms)), []);
  }
});

test('a host that is declared failed refutes it at a higher version', (t) => {
  const accused = membershipOf('accused');
  const before = accused.self();
  const other = membershipOf();
  other.recordContact(before, 0, at(0));
  accused.applyEntry({...before, gone: true}, at(10));
  const after = accused.self();
  t.true(after.version > before.version);
  other.applyEntry({...before, gone: true}, at(20));
  t.false(other.isLive('accused'));
  other.applyEntry(after, at(30));
  t.true(other.isLive('accused'));
});

test('a later instance continues above the versions of the previous one', (t) => {
  const later = new Membership(() => status('me', {incarnation: 'two'}), 5);
  later.self();
  later.applyEntry(entry('me', 9, {incarnation: 'one'}), at(0));
  t.like(later.self(), {incarnation: 'two', version: 10, gone: false});
});

test('an entry keeps its version until the status changes', (t) => {
  let ready = false;
  const membership = new Membership(() => status('me', {ready}), 3);
  t.is(membership.self().version, 3);
  t.is(membership.self().version, 3);
  ready = true;
  t.is(membership.self().version, 4);
});

test('each host is monitored by as many others as it monitors', (t) => {
  const names = Array.from({length: 40}, (_unused, index) => `h${index}`);
  const monitors = new Map<string, number>();
  for (const name of names) {
    const membership = membershipOf(name);
    for (const other of names.filter((each) => each !== name)) {
      membership.applyEntry(entry(other), at(0));
    }
    const monitored = membership.monitored(2);
    t.is(monitored.length, 2);
    for (const {host} of monitored) {
      monitors.set(host, (monitors.get(host) ?? 0) + 1);
    }
  }
  t.deepEqual([...new Set(monitors.values())], [2]);
});

test('more hosts are monitored beyond an unreachable one', (t) => {
  const membership = membershipOf();
  for (let index = 0; index < 9; index += 1) {
    membership.applyEntry(entry(`h${index}`), at(0));
  }
  const [first] = membership.monitored(2);
  membership.recordMiss(first?.host ?? '', at(700));
  const monitored = membership.monitored(2).map(({host}) => host);
  t.is(monitored.length, 5);
  t.true(monitored.includes(first?.host ?? ''));
});

test('readers are hosts that can read the store, or all if none can', (t) => {
  const membership = membershipOf();
  for (const host of ['a', 'b', 'c']) {
    membership.recordContact(entry(host, 1, {readsStore: false}), 0, at(0));
  }
  t.deepEqual(
    membership.readers(2).map(({host}) => host),
    ['me'],
  );
  const withoutStore = new Membership(
    () => status('me', {readsStore: false}),
    1,
  );
  for (const host of ['a', 'b', 'c']) {
    withoutStore.recordContact(entry(host, 1, {readsStore: false}), 0, at(0));
  }
  t.is(withoutStore.readers(2).length, 2);
});

test('callers get addresses in their zone while it has enough hosts', (t) => {
  const live = [
    status('a'),
    status('b'),
    status('c', {zone: 'z2'}),
    status('d', {ready: false}),
  ];
  const self = status('a');
  const random = () => 0.5;
  t.deepEqual(selectCallerAddresses(live, 'z1', self, random), ['a:2', 'b:2']);
  t.deepEqual(selectCallerAddresses(live, 'z2', self, random), [
    'a:2',
    'b:2',
    'c:2',
  ]);
  t.deepEqual(selectCallerAddresses([], 'z2', self, random), ['a:2']);
});

// Guards against sending all callers of a zone to the same hosts when the zone
// has more hosts than fit into a response.
test('responses list different hosts if not all fit', (t) => {
  const live = Array.from({length: 105}, (_unused, index) =>
    status(`h${index}`),
  );
  const listed = new Set<string>();
  for (const fraction of [0, 0.2, 0.4, 0.6, 0.8, 0.99]) {
    const addresses = selectCallerAddresses(
      live,
      'z1',
      status('h0'),
      () => fraction,
    );
    t.is(new Set(addresses).size, 64);
    for (const address of addresses) {
      listed.add(address);
    }
  }
  t.is(listed.size, 105);
});

// Guards against a holder of claims that never counts as cut from a server for
// long, as its status changes with each other server that it loses.
test('the time for which a host is cut from a server survives later changes', (t) => {
  const membership = membershipOf();
  const other = (version: number, extra: Partial<HostEntry>) => ({
    ...entry('other'),
    version,
    ...extra,
  });
  membership.recordContact(other(5, {unreachedServers: ['s1']}), 0, at(0));
  membership.applyEntry(other(6, {unreachedServers: ['s1', 's2']}), at(900));
  t.is(membership.cutMs('other', 's1', at(1_000)), 1_000);
  t.is(membership.cutMs('other', 's2', at(1_000)), 100);
  t.is(membership.cutMs('other', 's3', at(1_000)), 0);
  membership.applyEntry(other(7, {cutFromServers: true}), at(1_200));
  t.is(membership.cutMs('other', 's3', at(1_300)), 100);
  membership.applyEntry(other(8, {unreachedServers: ['s2']}), at(2_200));
  t.is(membership.cutMs('other', 's2', at(2_300)), 1_100);
  t.is(membership.cutMs('other', 's1', at(2_300)), 0);
  membership.applyEntry(other(9, {}), at(3_000));
  t.is(membership.cutMs('other', 's2', at(3_100)), 0);
});
