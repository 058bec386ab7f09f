import test from 'ava';
import * as fc from 'fast-check';

import {HostTable} from '../../index.js';
import {at, entry} from './hosts.js';

const tableOf = (entries: readonly ReturnType<typeof entry>[]) => {
  const table = new HostTable();
  for (const each of entries) {
    table.merge(each, at(0));
  }
  return table;
};

test('equal tables have no differences', (t) => {
  const entries = Array.from({length: 195}, (_unused, index) =>
    entry(`h${index}`, index + 1),
  );
  const first = tableOf(entries);
  const second = tableOf([...entries].reverse());
  t.deepEqual(first.digests(), second.digests());
  t.deepEqual(first.differences(second.digests(), at(1)), []);
});

test('a single change to a large table sends only that entry', (t) => {
  const entries = Array.from({length: 195}, (_unused, index) =>
    entry(`h${index}`),
  );
  const first = tableOf(entries);
  const second = tableOf(entries);
  first.merge(entry('h7', 2, {ready: false}), at(60_000));
  const sent = first.differences(second.digests(), at(60_100));
  t.deepEqual(
    sent.map(({host}) => host),
    ['h7'],
  );
  second.merge(sent[0] ?? entry('none'), at(60_200));
  t.deepEqual(first.digests(), second.digests());
});

test('an older entry never replaces a newer one, and a failure is final at its version', (t) => {
  const table = tableOf([entry('h1', 5)]);
  t.false(table.merge(entry('h1', 4), at(1)));
  t.true(table.merge(entry('h1', 5, {gone: true}), at(2)));
  t.false(table.merge(entry('h1', 5), at(3)));
  t.deepEqual(table.present(), []);
  t.true(table.merge(entry('h1', 6), at(4)));
  t.is(table.present().length, 1);
});

test('a host that failed long ago is removed', (t) => {
  const table = tableOf([entry('h1'), entry('h2')]);
  table.merge(entry('h1', 1, {gone: true}), at(0));
  table.expire(at(60_000));
  t.true(table.get('h1')?.gone);
  table.expire(at(130_000));
  t.is(table.get('h1'), undefined);
  t.not(table.get('h2'), undefined);
});

test('entries above the maximum table size are rejected', (t) => {
  const table = new HostTable();
  for (let index = 0; index < 9_000; index += 1) {
    table.merge(entry(`h${index}`), at(0));
  }
  t.is(table.present().length, 8_192);
});

test('any two tables converge by exchanging differences', (t) => {
  const entries = fc.array(
    fc.record({
      host: fc.integer({min: 0, max: 299}),
      version: fc.integer({min: 1, max: 5}),
      gone: fc.boolean(),
    }),
    {maxLength: 400},
  );
  fc.assert(
    fc.property(entries, entries, (one, two) => {
      const [first, second] = [one, two].map((list) =>
        tableOf(
          list.map(({host, version, gone}) =>
            entry(`h${host}`, version, {gone}),
          ),
        ),
      );
      for (let round = 0; round < 200; round += 1) {
        const now = at(100_000 + round * 500);
        for (const [from, to] of [
          [first, second],
          [second, first],
        ]) {
          for (const each of from?.differences(to?.digests() ?? [], now) ??
            []) {
            to?.merge(each, now);
          }
        }
      }
      return (
        JSON.stringify(first?.digests()) === JSON.stringify(second?.digests())
      );
    }),
    {seed: 20_261_204, numRuns: 60},
  );
  t.pass();
});
