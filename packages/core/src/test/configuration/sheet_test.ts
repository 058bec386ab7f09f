import * as fc from 'fast-check';
import test from 'ava';

import type {AdapterEntry} from '../../configuration/adapter-entry.js';
import {compareSheet} from '../../configuration/difference.js';
import {parseSheet, type SheetRow} from '../../configuration/sheet.js';

const SEED = 20_261_203;
const TODAY = '2026-12-03';
const HEADER = 'adapter,base_model,version,urgency,priority,service,retire';

const rowArbitrary = fc.record({
  adapter: fc.stringMatching(/^[a-z0-9]{1,8}$/),
  baseModel: fc.constantFrom('marine-8b', 'rind, 7b', 'say "8b"'),
  version: fc.constantFrom('v1', 'v2', 'v3'),
  urgency: fc.integer({min: 1, max: 100}),
  priorityClass: fc.constantFrom('urgent', 'standard', 'deferrable'),
  pool: fc.constantFrom('assistant-models', 'advisor-models'),
  retired: fc.boolean(),
});
const rowsArbitrary = fc.uniqueArray(rowArbitrary, {
  selector: ({adapter}) => adapter,
  maxLength: 30,
});

const quote = (cell: string): string => `"${cell.replaceAll('"', '""')}"`;

const toLine = (row: SheetRow): string =>
  [
    row.adapter,
    quote(row.baseModel),
    row.version,
    String(row.urgency),
    row.priorityClass,
    row.pool,
    row.retired ? 'yes' : 'no',
  ].join(',');

const toText = (rows: readonly SheetRow[]): string =>
  [HEADER, ...rows.map(toLine)].join('\n');

test(`a written sheet reads back the same, seed ${SEED}`, (t) => {
  fc.assert(
    fc.property(rowsArbitrary, (rows) => {
      const parsed = parseSheet(toText(rows), TODAY);
      return JSON.stringify(parsed._unsafeUnwrap()) === JSON.stringify(rows);
    }),
    {seed: SEED, numRuns: 200},
  );
  t.pass();
});

test('all faults are told with their lines', (t) => {
  const text = [
    HEADER,
    'tug,marine-8b,v1,50,standard,assistant-models,no',
    'Bad Name,marine-8b,v1,0,soon,assistant-models,no',
    'ferry,marine-8b,v1,50,standard,assistant-models',
    'tug,marine-8b,v1,50,standard,assistant-models,maybe',
    'tug,marine-8b,v2,50,standard,assistant-models,no',
  ].join('\n');
  const faults = parseSheet(text, TODAY)._unsafeUnwrapErr();
  t.deepEqual(
    faults.map(({line, column}) => `${line} ${column}`),
    ['3 adapter', '3 urgency', '3 priority', '4 ', '5 retire', '6 adapter'],
  );
});

test('missing, unknown and repeated columns are told', (t) => {
  const text = 'adapter,version,version,colour\ntug,v1,v1,red';
  const faults = parseSheet(text, TODAY)._unsafeUnwrapErr();
  t.deepEqual(
    faults.map(({column, problem}) => `${column}: ${problem}`),
    [
      'base_model: column is missing',
      'urgency: column is missing',
      'priority: column is missing',
      'service: column is missing',
      'retire: column is missing',
      'colour: column is unknown',
      'version: column is named twice',
    ],
  );
  t.true(parseSheet('', TODAY).isErr());
  t.true(parseSheet('a,"b', TODAY).isErr());
});

test('a retirement date counts from its day on', (t) => {
  const sheet = (date: string) =>
    parseSheet(
      `${HEADER}\ntug,marine-8b,v1,50,standard,assistant-models,${date}`,
      TODAY,
    )._unsafeUnwrap()[0]?.retired;
  t.true(sheet('2026-12-03'));
  t.false(sheet('2026-12-04'));
});

test(`a difference leads from one sheet to the next, seed ${SEED}`, (t) => {
  fc.assert(
    fc.property(rowsArbitrary, rowsArbitrary, (first, second) => {
      const entries = new Map(
        compareSheet(new Map(), first).entries.map((entry) => [
          entry.adapter,
          entry,
        ]),
      );
      const {entries: changed} = compareSheet(entries, second);
      for (const entry of changed) {
        entries.set(entry.adapter, entry);
      }
      const again = compareSheet(entries, second);
      const rows = new Map(second.map((row) => [row.adapter, row]));
      return (
        again.changes.length === 0 &&
        [...entries.values()].every(({adapter, version, retired}) => {
          const row = rows.get(adapter);
          return row === undefined
            ? retired
            : row.version === version && row.retired === retired;
        })
      );
    }),
    {seed: SEED, numRuns: 200},
  );
  t.pass();
});

test('an earlier version stays callable', (t) => {
  const row = (version: string): SheetRow => ({
    adapter: 'tug',
    baseModel: 'marine-8b',
    version,
    urgency: 50,
    priorityClass: 'standard',
    pool: 'assistant-models',
    retired: false,
  });
  const entries = new Map<string, AdapterEntry>();
  for (const version of ['v1', 'v2', 'v1', 'v3']) {
    for (const entry of compareSheet(entries, [row(version)]).entries) {
      entries.set(entry.adapter, entry);
    }
  }
  t.deepEqual(entries.get('tug')?.previousVersions, ['v1', 'v2']);
});
