import {backoffMs} from '../lib/backoff.js';
import type {CoreState} from '../state.js';
import type {StoredObject, StoreResult} from '../store.js';
import type {Turn} from '../turn.js';
import {
  CLAIM_KIND,
  MAXIMUM_RECORDED_BODY_LENGTH,
  parseClaim,
  type ClaimRecord,
  type ClaimState,
} from './claim-record.js';
import type {CallAttemptFinishedEvent} from './events.js';
import type {CallInProgress, PendingRecord} from './state.js';

const RECORD_BACKOFF = {firstMs: 200, lastMs: 10_000} as const;

/** The state of a claim whose attempt ended with this event. */
export const toClaimState = ({
  outcome,
  response,
}: CallAttemptFinishedEvent): ClaimState => {
  if (response === undefined) {
    return 'refusal' in outcome
      ? {kind: 'unknown', refusal: outcome.refusal}
      : {kind: 'answered-not-kept', status: outcome.status, bodyLength: 0};
  }
  const bodyLength = response.bodyBase64.length;
  return bodyLength > MAXIMUM_RECORDED_BODY_LENGTH
    ? {kind: 'answered-not-kept', status: response.status, bodyLength}
    : {kind: 'answered', response};
};

/**
 * Writes the outcome of a claim's attempt, and tries again while this host
 * lives. Until it is written, repeats on this host are answered from memory.
 */
export const recordOutcome = (
  state: CoreState,
  {call, claim}: CallInProgress,
  outcome: ClaimState,
  turn: Turn,
): void => {
  if (claim === undefined) {
    return;
  }
  const record: PendingRecord = {
    name: claim.name,
    call,
    nonce: claim.nonce,
    epoch: claim.epoch,
    outcome,
    version: claim.version,
    failures: 0,
  };
  state.calls.records.set(record.name, record);
  tryRecord(state, record.name, turn);
};

/** Writes a pending outcome, or first finds the version to write over. */
export const tryRecord = (state: CoreState, name: string, turn: Turn): void => {
  const record = state.calls.records.get(name);
  if (record === undefined) {
    return;
  }
  if (record.version === undefined) {
    state.calls.store.start(
      turn,
      {kind: 'record-read', name},
      {type: 'get', kind: CLAIM_KIND, name},
    );
    return;
  }
  state.calls.store.start(
    turn,
    {kind: 'record-write', name},
    {
      type: 'update',
      kind: CLAIM_KIND,
      name,
      value: recordValue(state, record),
      expectedVersion: record.version,
    },
  );
};

/** Handles the answer to a write or a read of `tryRecord`. */
export const recordAnswered = (
  state: CoreState,
  name: string,
  result: StoreResult,
  turn: Turn,
): void => {
  const record = state.calls.records.get(name);
  if (record === undefined) {
    return;
  }
  const handler = ANSWER_HANDLERS[result.type] as AnswerHandler;
  handler(state, record, result, turn);
};

type AnswerHandler = (
  state: CoreState,
  record: PendingRecord,
  result: StoreResult,
  turn: Turn,
) => void;

type AnswerHandlers = {
  readonly [Type in StoreResult['type']]: (
    state: CoreState,
    record: PendingRecord,
    result: Extract<StoreResult, {readonly type: Type}>,
    turn: Turn,
  ) => void;
};

const finish = (state: CoreState, {name}: PendingRecord): void => {
  state.calls.records.delete(name);
};

/** Tries again after a delay, with a read first unless the version stands. */
const retryLater = (
  record: PendingRecord,
  minimumDelayMs: number,
  turn: Turn,
): void => {
  record.failures += 1;
  turn.perform({
    type: 'set-timer',
    area: 'calls',
    timer: `record/${record.name}`,
    delayMs: Math.max(
      minimumDelayMs,
      backoffMs(record.failures, RECORD_BACKOFF),
    ),
  });
};

/** Goes on from the object as it stands. */
const compare = (
  state: CoreState,
  record: PendingRecord,
  current: StoredObject | undefined,
  turn: Turn,
): void => {
  const stored = current === undefined ? undefined : parseClaim(current);
  if (
    current === undefined ||
    stored?.nonce !== record.nonce ||
    stored.state.kind !== 'open'
  ) {
    finish(state, record);
    return;
  }
  record.version = current.version;
  tryRecord(state, record.name, turn);
};

const ANSWER_HANDLERS: AnswerHandlers = {
  written: finish,
  missing: finish,
  conflict: (state, record, {current}, turn) => {
    compare(state, record, current, turn);
  },
  found: (state, record, {object}, turn) => {
    compare(state, record, object, turn);
  },
  unavailable: (_state, record, {retryAfterMs}, turn) => {
    retryLater(record, retryAfterMs, turn);
  },
  unknown: (_state, record, _result, turn) => {
    record.version = undefined;
    retryLater(record, 0, turn);
  },
  unchanged: (_state, record, _result, turn) => {
    retryLater(record, 0, turn);
  },
  listed: (_state, record, _result, turn) => {
    retryLater(record, 0, turn);
  },
};

const recordValue = (state: CoreState, record: PendingRecord): string => {
  const value: ClaimRecord = {
    member: record.call.member,
    bodyDigest: record.call.bodyDigest,
    nonce: record.nonce,
    holder: state.identity.incarnation,
    validForMs: 0,
    epoch: record.epoch,
    state: record.outcome,
  };
  return JSON.stringify(value);
};
