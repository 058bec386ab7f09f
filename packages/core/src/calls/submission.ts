import type {CoreState} from '../state.js';
import type {Turn} from '../turn.js';
import {MINIMUM_REMAINING_MS, sendToServer} from './attempts.js';
import {
  inProgressRefusal,
  keyReusedRefusal,
  notRunRefusal,
  refuse,
} from './call-answers.js';
import {answerFromClaimState, startClaim} from './claiming.js';
import {claimName} from './claim-record.js';
import type {
  CallAbandonedEvent,
  CallDescription,
  CallSubmittedEvent,
} from './events.js';
import {currentEpoch} from './retention.js';
import type {CallInProgress} from './state.js';

const NO_SERVER_RETRY_AFTER_MS = 1_000;

/** Begins a call, or answers it from what is known of its key. */
export const submitCall = (
  state: CoreState,
  {call, remainingMs}: CallSubmittedEvent,
  turn: Turn,
): void => {
  if (
    answerRepeat(state, call, turn) ||
    refuseUnserved(state, call, remainingMs, turn)
  ) {
    return;
  }
  const entry = createEntry(state, call, remainingMs, turn);
  state.calls.calls.set(call.requestId, entry);
  turn.perform({
    type: 'set-timer',
    area: 'calls',
    timer: `deadline/${call.requestId}`,
    delayMs: remainingMs,
  });
  if (entry.claim === undefined) {
    sendToServer(state, entry, turn);
  } else {
    state.calls.claims.set(entry.claim.name, call.requestId);
    startClaim(state, entry, turn);
  }
};

/** The caller left: the outcome is still recorded, but not sent. */
export const abandonCall = (
  state: CoreState,
  {requestId}: CallAbandonedEvent,
): void => {
  const entry = state.calls.calls.get(requestId);
  if (entry !== undefined) {
    entry.settled = true;
  }
};

/** Answers from this host's own memory of a key that is in use. */
const answerRepeat = (
  state: CoreState,
  call: CallDescription,
  turn: Turn,
): boolean => {
  if (call.idempotent) {
    return false;
  }
  if (call.idempotencyKey === '') {
    const detail = `${call.operation} may not be repeated and needs a key`;
    refuse(turn, call, notRunRefusal('idempotency-key-missing', detail));
    return true;
  }
  const name = claimName(call);
  const record = state.calls.records.get(name);
  const holder = state.calls.calls.get(state.calls.claims.get(name) ?? '');
  const known = record?.call ?? holder?.call;
  if (known === undefined) {
    return false;
  }
  if (known.bodyDigest !== call.bodyDigest) {
    refuse(turn, call, keyReusedRefusal());
  } else if (record !== undefined && record.outcome.kind !== 'released') {
    answerFromClaimState(turn, call, record.outcome);
  } else {
    refuse(turn, call, inProgressRefusal());
  }
  return true;
};

const refuseUnserved = (
  state: CoreState,
  call: CallDescription,
  remainingMs: number,
  turn: Turn,
): boolean => {
  if (remainingMs < MINIMUM_REMAINING_MS) {
    const detail = 'the deadline is too near to run the call';
    refuse(turn, call, notRunRefusal('deadline-too-short', detail));
    return true;
  }
  const server = state.calls.servers.choose(
    state,
    call.pool,
    new Set(),
    turn.at,
  );
  if (server === undefined) {
    refuse(
      turn,
      call,
      notRunRefusal(
        'no-server',
        `no server of ${call.pool} has room`,
        NO_SERVER_RETRY_AFTER_MS,
      ),
    );
    return true;
  }
  return false;
};

const createEntry = (
  state: CoreState,
  call: CallDescription,
  remainingMs: number,
  turn: Turn,
): CallInProgress => ({
  call,
  submittedAt: turn.at,
  limitMs: remainingMs,
  claim: call.idempotent
    ? undefined
    : {
        name: claimName(call),
        nonce: `${state.identity.incarnation}/${state.calls.sequence++}`,
        epoch: currentEpoch(state, turn.at),
        ambiguous: false,
        failures: 0,
        version: undefined,
      },
  tried: new Set(),
  attemptId: undefined,
  mayHaveRun: false,
  settled: false,
  lastRefusal: undefined,
});
