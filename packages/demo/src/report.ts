import {type HistoryVerdict, type Violation} from './check-history.js';
import type {
  Attempt,
  CallerRecord,
  DemoHistory,
  ModelRecord,
} from './history.js';

const SHOWN_VIOLATIONS = 20;

/** The figures of a run; the last line of `--json`. */
export interface DemoSummary {
  readonly requests: number;
  readonly answered: number;
  readonly refusedNotRun: number;
  readonly unknown: number;
  readonly wrongAdapter: number;
  readonly doubled: number;
  readonly falseNotRun: number;
  readonly lost: number;
  readonly evictedInUse: number;
  readonly cutShort: number;
  /** Time from a request's sending until an engine took it. */
  readonly loadStallP50Ms: number;
  readonly loadStallP99Ms: number;
  /** Filled batch positions over offered ones while there was work. */
  readonly batchEfficiency: number;
}

/** Sums up a checked history. */
export const summarize = (
  history: DemoHistory,
  {counts}: HistoryVerdict,
): DemoSummary => {
  const stalls = loadStallsMs(history);
  const {filledPositionMs, offeredPositionMs} = history.standIns.batchUse;
  return {
    requests: counts.requests,
    answered: counts.answered,
    refusedNotRun: counts.refusedNotRun,
    unknown: counts.unknown,
    wrongAdapter: counts.wrongAdapter,
    doubled: counts.doubled,
    falseNotRun: counts.falseNotRun,
    lost: counts.lost,
    evictedInUse: counts.evictedInUse,
    cutShort: counts.cutShort,
    loadStallP50Ms: Math.round(percentile(stalls, 0.5)),
    loadStallP99Ms: Math.round(percentile(stalls, 0.99)),
    batchEfficiency:
      offeredPositionMs === 0
        ? 0
        : Number((filledPositionMs / offeredPositionMs).toFixed(4)),
  };
};

/** The report for people. */
export const formatReport = (
  summary: DemoSummary,
  {counts, violations}: HistoryVerdict,
  {callers, standIns}: DemoHistory,
): string[] => {
  const storeCalls = Object.entries(standIns.storeCalls)
    .map(([kind, calls]) => `${kind} ${calls}`)
    .join(', ');
  return [
    `requests           ${summary.requests}`,
    `  answered         ${summary.answered}`,
    `  refused, not run ${summary.refusedNotRun}`,
    `  unknown          ${summary.unknown}`,
    `load stall         p50 ${summary.loadStallP50Ms} ms, ` +
      `p99 ${summary.loadStallP99Ms} ms`,
    `batch efficiency   ${summary.batchEfficiency}`,
    `adapter loads      ${standIns.loads}`,
    `object API calls   ${storeCalls}`,
    `negative answers   ${countRefusals(callers) || 'none'}`,
    '',
    promiseLine('every answer by the adapter named', counts.wrongAdapter),
    promiseLine('no unrepeatable call ran twice', counts.doubled),
    promiseLine('every "not run" is true', counts.falseNotRun),
    promiseLine('nothing was lost silently', counts.lost),
    promiseLine('no adapter in use was evicted', counts.evictedInUse),
    promiseLine('no answer was cut short', counts.cutShort),
    promiseLine('nothing new to leaving servers', counts.sentToLeaving),
    ...violations.slice(0, SHOWN_VIOLATIONS).map(formatViolation),
  ];
};

/** Negative answers to single attempts, by code; most are tried again. */
const countRefusals = (callers: readonly CallerRecord[]): string => {
  const counts = new Map<string, number>();
  for (const {end} of callers.flatMap(attemptsOf)) {
    if (end.kind === 'refused') {
      counts.set(end.code, (counts.get(end.code) ?? 0) + 1);
    }
  }
  return [...counts].map(([code, count]) => `${code} ${count}`).join(', ');
};

const attemptsOf = (record: CallerRecord): readonly Attempt[] =>
  record.kind === 'work' ? [record.submission] : record.attempts;

const promiseLine = (promise: string, broken: number): string =>
  `${broken === 0 ? 'kept  ' : 'BROKEN'} ${promise}` +
  (broken === 0 ? '' : `: ${broken}`);

const formatViolation = ({promise, detail}: Violation): string =>
  `  ${promise}: ${detail}`;

/** Time of each model request from its sending until an engine took it. */
const loadStallsMs = ({callers, standIns}: DemoHistory): number[] => {
  const receivedMs = new Map<string, number>();
  for (const run of standIns.runs) {
    receivedMs.set(run.requestId, run.receivedMs + standIns.clockOriginMs);
  }
  return callers
    .filter((record): record is ModelRecord => record.kind === 'model')
    .flatMap(({attempts, sentMs}) =>
      attempts
        .map(({requestId}) => receivedMs.get(requestId))
        .filter((atMs) => atMs !== undefined)
        .map((atMs) => Math.max(0, atMs - sentMs)),
    )
    .sort((first, second) => first - second);
};

const percentile = (sorted: readonly number[], share: number): number =>
  sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0;
