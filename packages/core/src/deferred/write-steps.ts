import {elapsedMs, type Instant} from '../instant.js';
import {backoffMs} from '../lib/backoff.js';
import type {CoreState} from '../state.js';
import type {StoreOperation, StoreResult} from '../store.js';
import type {Turn} from '../turn.js';
import type {WorkEntry, WriteStep} from './state.js';
import {
  PART_KIND,
  RESULT_KIND,
  WORK_KIND,
  type ResultRecord,
  type StoredText,
  type WorkRecord,
} from './work-record.js';

const WRITE_BACKOFF = {firstMs: 200, lastMs: 10_000} as const;

/** How a write of a sequence ended. */
export type StepResult =
  | {readonly kind: 'done'}
  /** Another host has taken the work over. */
  | {readonly kind: 'superseded'}
  | {readonly kind: 'failed'; readonly retryAfterMs: number};

/** Milliseconds until the deadline of a piece of work. */
export const workRemainingMs = (entry: WorkEntry, at: Instant): number =>
  entry.limitMs - elapsedMs(entry.takenAt, at);

/** Starts the first write that is left. */
export const startStep = (
  state: CoreState,
  entry: WorkEntry,
  turn: Turn,
): void => {
  const step = entry.steps[0];
  if (step !== undefined) {
    state.deferred.store.start(
      turn,
      {kind: 'step', name: entry.name},
      operationOf(state, entry, step),
    );
  }
};

/** Starts the same write again after a delay. */
export const retryStep = (
  entry: WorkEntry,
  minimumDelayMs: number,
  turn: Turn,
): void => {
  entry.failures += 1;
  turn.perform({
    type: 'set-timer',
    area: 'deferred',
    timer: `step/${entry.name}`,
    delayMs: Math.max(minimumDelayMs, backoffMs(entry.failures, WRITE_BACKOFF)),
  });
};

/**
 * Takes the answer to the first write that is left, and removes the write if
 * it is done. A write whose answer was lost is repeated: it then finds its own
 * value in its place, which counts as done.
 */
export const takeStepResult = (
  state: CoreState,
  entry: WorkEntry,
  result: StoreResult,
): StepResult => {
  const step = entry.steps[0];
  if (step === undefined) {
    return {kind: 'superseded'};
  }
  const operation = operationOf(state, entry, step);
  const judged = judge(operation, step, result);
  if (judged.kind === 'done') {
    entry.steps.shift();
    entry.failures = 0;
    noteVersion(entry, step, result);
  }
  entry.ambiguous ||= result.type === 'unknown';
  return judged;
};

/** The value of the work object as this entry describes it. */
export const workValue = (
  state: CoreState,
  entry: WorkEntry,
  body: StoredText,
  workState: WorkRecord['state'],
): string => {
  const record: WorkRecord = {
    request: entry.request,
    state: workState,
    body,
    runner: state.identity.incarnation,
    remainingMs: entry.limitMs,
    epoch: entry.epoch,
  };
  return JSON.stringify(record);
};

type OperationMakers = {
  readonly [Kind in WriteStep['kind']]: (
    state: CoreState,
    entry: WorkEntry,
    step: Extract<WriteStep, {readonly kind: Kind}>,
  ) => StoreOperation;
};

const OPERATION_MAKERS: OperationMakers = {
  'create-work': (state, entry, step) => ({
    type: 'create',
    kind: WORK_KIND,
    name: entry.name,
    value: workValue(state, entry, entry.storedBody, step.state),
  }),
  'accept-work': (state, entry) => ({
    type: 'update',
    kind: WORK_KIND,
    name: entry.name,
    value: workValue(
      state,
      entry,
      {kind: 'parts', parts: entry.writtenParts},
      'accepted',
    ),
    expectedVersion: entry.version ?? 0,
  }),
  'create-part': (_state, _entry, {name, value}) => ({
    type: 'create',
    kind: PART_KIND,
    name,
    value,
  }),
  'create-result': (_state, entry, {result}) => ({
    type: 'create',
    kind: RESULT_KIND,
    name: entry.name,
    value: JSON.stringify(withParts(entry, result)),
  }),
  'delete-work': (_state, {name, version}) => ({
    type: 'delete',
    kind: WORK_KIND,
    name,
    expectedVersion: version ?? 0,
  }),
  'delete-part': (_state, _entry, {part}) => ({
    type: 'delete',
    kind: PART_KIND,
    name: part.name,
    expectedVersion: part.version,
  }),
};

const operationOf = (
  state: CoreState,
  entry: WorkEntry,
  step: WriteStep,
): StoreOperation => {
  const make = OPERATION_MAKERS[step.kind] as (
    state: CoreState,
    entry: WorkEntry,
    step: WriteStep,
  ) => StoreOperation;
  return make(state, entry, step);
};

const withParts = (entry: WorkEntry, result: ResultRecord): ResultRecord =>
  result.outcome.kind === 'done' && result.outcome.answer.kind === 'parts'
    ? {
        ...result,
        outcome: {
          kind: 'done',
          answer: {kind: 'parts', parts: entry.writtenParts},
        },
      }
    : result;

const judge = (
  operation: StoreOperation,
  step: WriteStep,
  result: StoreResult,
): StepResult => {
  if (result.type === 'written') {
    return {kind: 'done'};
  }
  if (result.type === 'unavailable') {
    return {kind: 'failed', retryAfterMs: result.retryAfterMs};
  }
  if (result.type === 'conflict') {
    const isOurs =
      'value' in operation && result.current?.value === operation.value;
    return isOurs || PASSES_ON_CONFLICT.has(step.kind)
      ? {kind: 'done'}
      : {kind: 'superseded'};
  }
  if (result.type === 'missing') {
    return operation.type === 'delete' ? {kind: 'done'} : {kind: 'superseded'};
  }
  return {kind: 'failed', retryAfterMs: 0};
};

/** The first result stands; what another host took over is not deleted. */
const PASSES_ON_CONFLICT: ReadonlySet<WriteStep['kind']> = new Set([
  'create-result',
  'delete-work',
  'delete-part',
]);

const noteVersion = (
  entry: WorkEntry,
  step: WriteStep,
  result: StoreResult,
): void => {
  const version = versionOf(result);
  if (version === undefined) {
    return;
  }
  if (step.kind === 'create-part') {
    entry.writtenParts.push({name: step.name, version});
  } else if (step.kind === 'create-work' || step.kind === 'accept-work') {
    entry.version = version;
  }
};

const versionOf = (result: StoreResult): number | undefined => {
  if (result.type === 'written') {
    return result.version;
  }
  return result.type === 'conflict' ? result.current?.version : undefined;
};
