import test from 'ava';

import {checkHistory} from '../check-history.js';
import type {
  Attempt,
  AttemptEnd,
  CallRecord,
  DemoHistory,
  ModelRecord,
  WorkRecord,
} from '../history.js';

type EngineRun = DemoHistory['standIns']['runs'][number];

const attempt = (end: AttemptEnd, requestId = 'r1'): Attempt => ({
  requestId,
  address: '127.0.0.1:1',
  resumed: false,
  end,
});

const model = (...ends: AttemptEnd[]): ModelRecord => ({
  kind: 'model',
  nonce: 'n1',
  member: 'fleet',
  adapter: 'tug',
  priorityClass: 'urgent',
  versions: ['v1'],
  sentMs: 0,
  attempts: ends.map((end) => attempt(end)),
});

const call = (...ends: AttemptEnd[]): CallRecord => ({
  kind: 'call',
  operation: 'top-up',
  idempotent: false,
  member: 'fleet',
  body: '{"order":1}',
  attempts: ends.map((end) => attempt(end)),
});

const work = (
  accepted: boolean,
  result: AttemptEnd | undefined,
): WorkRecord => ({
  kind: 'work',
  nonce: 'n1',
  member: 'fleet',
  adapter: 'tug',
  versions: ['v1'],
  accepted,
  submission: attempt(WHOLE),
  result,
});

const run = (changes: Partial<EngineRun> = {}): EngineRun => ({
  server: 's1',
  executionId: 'e1',
  requestId: 'r1',
  member: 'fleet',
  adapter: 'tug',
  version: 'v1',
  receivedMs: 0,
  startedMs: 0,
  endedMs: 10,
  end: 'complete',
  ...changes,
});

const history = (
  callers: DemoHistory['callers'],
  runs: readonly EngineRun[] = [],
  callRuns = 0,
): DemoHistory => ({
  callers,
  standIns: {
    clockOriginMs: 0,
    runs: [...runs],
    calls: [
      {
        server: 'billing-desk-1',
        operation: 'top-up',
        member: 'fleet',
        body: '{"order":1}',
        runs: callRuns,
        lastRunMs: 0,
      },
    ],
    evictedInUse: 0,
    loads: 0,
    batchUse: {filledPositionMs: 0, offeredPositionMs: 0},
    storeCalls: {},
  },
  leaving: [],
  enginesRestarted: false,
});

const WHOLE: AttemptEnd = {kind: 'whole', adapter: 'tug', version: 'v1'};
const BROKEN: AttemptEnd = {kind: 'broken', deliveredBytes: 40};
const NOT_RUN: AttemptEnd = {
  kind: 'refused',
  code: 'overloaded',
  notRun: true,
  deliveredBytes: 0,
};
const UNKNOWN: AttemptEnd = {
  ...NOT_RUN,
  code: 'outcome-unknown',
  notRun: false,
};

test('a history that keeps every promise has no violations', (t) => {
  const {counts, violations} = checkHistory(
    history(
      [model(NOT_RUN, WHOLE), call(UNKNOWN), model(NOT_RUN), work(true, WHOLE)],
      [run({requestId: 'other'})],
      1,
    ),
  );
  t.deepEqual(violations, []);
  t.like(counts, {requests: 4, answered: 2, refusedNotRun: 1, unknown: 1});
});

test('an answer by another version is a wrong adapter', (t) => {
  const end: AttemptEnd = {kind: 'whole', adapter: 'tug', version: 'v2'};
  t.is(checkHistory(history([model(end)])).counts.wrongAdapter, 1);
});

test('a run on another adapter counts though its caller saw nothing', (t) => {
  const runs = [run({adapter: 'trawler'})];
  t.is(checkHistory(history([model(WHOLE)], runs)).counts.wrongAdapter, 1);
});

test('an answer to another request is a wrong answer', (t) => {
  const end: AttemptEnd = {kind: 'wrong', detail: 'unexpected bytes'};
  t.is(checkHistory(history([model(end)])).counts.wrongAdapter, 1);
});

test('an unrepeatable call that ran twice is doubled', (t) => {
  t.is(checkHistory(history([call(WHOLE)], [], 2)).counts.doubled, 1);
  const idempotent = {...call(WHOLE), idempotent: true};
  t.is(checkHistory(history([idempotent], [], 2)).counts.doubled, 0);
});

test('a refusal as not run of what ran is false', (t) => {
  t.is(checkHistory(history([model(NOT_RUN)], [run()])).counts.falseNotRun, 1);
  t.is(checkHistory(history([call(NOT_RUN)], [], 1)).counts.falseNotRun, 1);
  const queued = run({startedMs: undefined, end: 'cancelled'});
  t.is(checkHistory(history([model(NOT_RUN)], [queued])).counts.falseNotRun, 0);
});

test('silence, a vanished result and a claimed run are losses', (t) => {
  t.is(checkHistory(history([model({kind: 'silent'})])).counts.lost, 1);
  t.is(checkHistory(history([work(true, undefined)])).counts.lost, 1);
  t.is(checkHistory(history([call(WHOLE)], [], 0)).counts.lost, 1);
  t.is(checkHistory(history([work(false, undefined)])).counts.lost, 0);
});

test('an answer that ends early is cut short unless its engine ended', (t) => {
  const broken = run({end: 'broken'});
  const cut = history([model(BROKEN)], [broken]);
  t.is(checkHistory(cut).counts.cutShort, 1);
  const restarted = {...cut, enginesRestarted: true};
  t.is(checkHistory(restarted).counts.cutShort, 0);
  const whole = {...history([model(BROKEN)], [run()]), enginesRestarted: true};
  t.is(checkHistory(whole).counts.cutShort, 1);
  t.is(checkHistory(history([model(BROKEN, WHOLE)])).counts.cutShort, 0);
});

test('evictions in use are taken from the engines', (t) => {
  const kept = history([model(WHOLE)]);
  const standIns = {...kept.standIns, evictedInUse: 2};
  const {counts, violations} = checkHistory({...kept, standIns});
  t.is(counts.evictedInUse, 2);
  t.is(violations.length, 1);
});

test('new work for a leaving server counts after the grace time', (t) => {
  const runs = [run({receivedMs: 4_500}), run({receivedMs: 5_500})];
  const leaving = [{server: 's1', visibleMs: 2_000}];
  const {counts} = checkHistory({...history([], runs), leaving});
  t.is(counts.sentToLeaving, 1);
});
