import type {StandInHistory} from '@basilworks/stand-ins';

import type {
  Attempt,
  CallerRecord,
  CallRecord,
  DemoHistory,
  ModelRecord,
  WorkRecord,
} from './history.js';

/** Time after which a leaving server may get nothing new. */
export const LEAVING_GRACE_MS = 3_000;

/** The promises that a history can break. */
export type BrokenPromise =
  | 'wrongAdapter'
  | 'doubled'
  | 'falseNotRun'
  | 'lost'
  | 'evictedInUse'
  | 'cutShort'
  | 'sentToLeaving';

/** One broken promise, with what is known of it. */
export interface Violation {
  readonly promise: BrokenPromise;
  readonly detail: string;
}

/** How often each end was reached, and each promise broken. */
export interface HistoryCounts extends Record<BrokenPromise, number> {
  readonly requests: number;
  readonly answered: number;
  readonly refusedNotRun: number;
  readonly unknown: number;
}

export interface HistoryVerdict {
  readonly counts: HistoryCounts;
  readonly violations: readonly Violation[];
}

/** Checks what callers saw against what the outside systems ran. */
export const checkHistory = (history: DemoHistory): HistoryVerdict => {
  const runs = new RunIndex(history.standIns);
  const violations = [
    ...history.callers.flatMap((record) => checkRecord(record, runs, history)),
    ...checkCallRuns(history),
    ...checkEvictions(history.standIns),
    ...checkLeaving(history),
  ];
  const broken = (promise: BrokenPromise): number =>
    violations.filter((violation) => violation.promise === promise).length;
  const ends = history.callers.map(finalEnd);
  const ended = (end: FinalEnd): number =>
    ends.filter((other) => other === end).length;
  return {
    violations,
    counts: {
      requests: history.callers.length,
      answered: ended('answered'),
      refusedNotRun: ended('not-run'),
      unknown: ended('unknown'),
      wrongAdapter: broken('wrongAdapter'),
      doubled: broken('doubled'),
      falseNotRun: broken('falseNotRun'),
      lost: broken('lost'),
      evictedInUse: history.standIns.evictedInUse,
      cutShort: broken('cutShort'),
      sentToLeaving: broken('sentToLeaving'),
    },
  };
};

type EngineRun = StandInHistory['runs'][number];

/** Runs at the engines by request identity, and of calls by their body. */
class RunIndex {
  private readonly byRequest = new Map<string, EngineRun[]>();
  private readonly byCall = new Map<string, number>();

  constructor(history: StandInHistory) {
    for (const run of history.runs) {
      const runs = this.byRequest.get(run.requestId) ?? [];
      this.byRequest.set(run.requestId, [...runs, run]);
    }
    for (const {operation, member, body, runs} of history.calls) {
      const key = callKey({operation, member, body});
      this.byCall.set(key, (this.byCall.get(key) ?? 0) + runs);
    }
  }

  ofRequest(requestId: string): readonly EngineRun[] {
    return this.byRequest.get(requestId) ?? [];
  }

  ofCall(call: CallIdentity): number {
    return this.byCall.get(callKey(call)) ?? 0;
  }
}

interface CallIdentity {
  readonly operation: string;
  readonly member: string;
  readonly body: string;
}

const callKey = ({operation, member, body}: CallIdentity): string =>
  JSON.stringify([operation, member, body]);

type FinalEnd = 'answered' | 'not-run' | 'unknown';

/** How a record ended for its caller, over all attempts. */
const finalEnd = (record: CallerRecord): FinalEnd => {
  if (record.kind === 'work') {
    return workEnd(record);
  }
  const ends = record.attempts.map(({end}) => end);
  if (ends.some(({kind}) => kind === 'whole')) {
    return 'answered';
  }
  return ends.every(provesNotRun) ? 'not-run' : 'unknown';
};

const workEnd = ({result, submission}: WorkRecord): FinalEnd => {
  if (result?.kind === 'whole') {
    return 'answered';
  }
  return provesNotRun(result ?? submission.end) ? 'not-run' : 'unknown';
};

const provesNotRun = (end: Attempt['end']): boolean =>
  end.kind === 'not-connected' || (end.kind === 'refused' && end.notRun);

const checkRecord = (
  record: CallerRecord,
  runs: RunIndex,
  history: DemoHistory,
): Violation[] => {
  switch (record.kind) {
    case 'model':
      return checkModel(record, runs, history);
    case 'call':
      return checkCall(record, runs);
    case 'work':
      return checkWork(record);
  }
};

const checkModel = (
  record: ModelRecord,
  runs: RunIndex,
  {enginesRestarted}: DemoHistory,
): Violation[] => {
  const violations: Violation[] = [];
  const add = (promise: BrokenPromise, detail: string) =>
    violations.push({promise, detail: `${describe(record)}: ${detail}`});
  for (const {end, requestId} of record.attempts) {
    const attemptRuns = runs.ofRequest(requestId);
    const started = attemptRuns.filter((run) => run.startedMs !== undefined);
    if (end.kind === 'wrong') {
      add('wrongAdapter', end.detail);
    }
    if (end.kind === 'whole' && !isRight(record, end)) {
      add('wrongAdapter', `answered by ${end.adapter}@${end.version}`);
    }
    for (const run of attemptRuns.filter((run) => !isRight(record, run))) {
      add('wrongAdapter', `ran on ${run.adapter}@${run.version}`);
    }
    if (end.kind === 'refused' && end.notRun && started.length > 0) {
      add('falseNotRun', `refused as ${end.code}, ran as ${requestId}`);
    }
    if (end.kind === 'silent') {
      add('lost', `no answer to ${requestId}`);
    }
  }
  const last = record.attempts.at(-1);
  if (last !== undefined && isCutShort(last, runs, enginesRestarted)) {
    add('cutShort', `${JSON.stringify(last.end)} of ${last.requestId}`);
  }
  return violations;
};

const isRight = (
  {adapter, versions}: ModelRecord | WorkRecord,
  ran: {readonly adapter: string; readonly version: string},
): boolean => ran.adapter === adapter && versions.includes(ran.version);

/** Reasons for which an answer that has begun may end, told to its caller. */
const EXCUSED_CODES: ReadonlySet<string> = new Set(['timeout', 'cancelled']);

/**
 * Whether an answer that had begun was not delivered whole, although nobody
 * restarted the engine under it.
 */
const isCutShort = (
  {end, requestId}: Attempt,
  runs: RunIndex,
  enginesRestarted: boolean,
): boolean => {
  const begun =
    (end.kind === 'broken' || end.kind === 'refused') && end.deliveredBytes > 0;
  if (!begun || (end.kind === 'refused' && EXCUSED_CODES.has(end.code))) {
    return false;
  }
  const brokenAtEngine = runs
    .ofRequest(requestId)
    .some((run) => run.end === 'broken');
  return !(enginesRestarted && brokenAtEngine);
};

const checkCall = (record: CallRecord, runs: RunIndex): Violation[] => {
  const violations: Violation[] = [];
  const add = (promise: BrokenPromise, detail: string) =>
    violations.push({promise, detail: `${describe(record)}: ${detail}`});
  const runCount = runs.ofCall(record);
  const ends = record.attempts.map(({end}) => end);
  for (const end of ends) {
    if (end.kind === 'wrong') {
      add('wrongAdapter', end.detail);
    }
    if (end.kind === 'silent') {
      add('lost', 'no answer');
    }
  }
  if (ends.every(provesNotRun) && runCount > 0) {
    add('falseNotRun', `refused, but ran ${runCount} times`);
  }
  if (ends.some(({kind}) => kind === 'whole') && runCount === 0) {
    add('lost', 'answered, but never ran');
  }
  return violations;
};

const checkCallRuns = ({callers, standIns}: DemoHistory): Violation[] => {
  const runs = new RunIndex(standIns);
  return callers
    .filter((record) => record.kind === 'call')
    .filter((record) => !record.idempotent && runs.ofCall(record) > 1)
    .map((record) => ({
      promise: 'doubled',
      detail: `${describe(record)}: ran ${runs.ofCall(record)} times`,
    }));
};

const checkWork = (record: WorkRecord): Violation[] => {
  const {accepted, result, submission} = record;
  const detail = describe(record);
  if (submission.end.kind === 'silent') {
    return [{promise: 'lost', detail: `${detail}: no answer`}];
  }
  if (accepted && (result === undefined || result.kind === 'silent')) {
    return [{promise: 'lost', detail: `${detail}: accepted, no result`}];
  }
  const wrong =
    result?.kind === 'wrong' ||
    (result?.kind === 'whole' && !isRight(record, result));
  return wrong
    ? [{promise: 'wrongAdapter', detail: `${detail}: wrong result`}]
    : [];
};

const checkEvictions = ({evictedInUse}: StandInHistory): Violation[] =>
  evictedInUse === 0
    ? []
    : [
        {
          promise: 'evictedInUse',
          detail: `${evictedInUse} adapters were unloaded under a request`,
        },
      ];

const checkLeaving = ({leaving, standIns}: DemoHistory): Violation[] =>
  leaving.flatMap(({server, visibleMs}) =>
    standIns.runs
      .filter((run) => run.server === server)
      .filter((run) => run.receivedMs > visibleMs + LEAVING_GRACE_MS)
      .map((run) => ({
        promise: 'sentToLeaving',
        detail: `${run.requestId} was sent to ${server} as it was leaving`,
      })),
  );

const describe = (record: CallerRecord): string =>
  record.kind === 'call'
    ? `${record.operation} ${record.body} of ${record.member}`
    : `${record.kind} request ${record.nonce} on ${record.adapter}`;
