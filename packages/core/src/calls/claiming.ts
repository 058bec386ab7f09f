import {elapsedMs, type Instant} from '../instant.js';
import {liveHosts} from '../membership/selectors.js';
import type {CoreState} from '../state.js';
import type {StoredObject, StoreRespondedEvent, StoreResult} from '../store.js';
import type {Turn} from '../turn.js';
import {end, remainingMs, sendToServer} from './attempts.js';
import {
  inProgressRefusal,
  keyReusedRefusal,
  mayHaveRunRefusal,
  notRunRefusal,
  refuse,
  refuseCall,
  reply,
} from './call-answers.js';
import {
  CLAIM_KIND,
  parseClaim,
  type ClaimRecord,
  type ClaimState,
} from './claim-record.js';
import type {CallDescription} from './events.js';
import {recordOutcome} from './recording.js';
import type {CallInProgress, HeldClaim} from './state.js';

/**
 * Milliseconds from the start of the store call that proved the claim within
 * which the first byte is sent; a host paused for longer sends nothing.
 */
export const CLAIM_SEND_LIMIT_MS = 5_000;
/** Milliseconds for writing the outcome after the deadline of a call. */
const RECORDING_MARGIN_MS = 5_000;
/** Store calls without a result after which a claim is given up. */
const MAXIMUM_CLAIM_FAILURES = 3;
const STORE_RETRY_AFTER_MS = 2_000;
/** Open claims of other hosts whose age is remembered. */
const MAXIMUM_REMEMBERED_CLAIMS = 10_000;

/** Asks the object API for the claim of a call that may not be repeated. */
export const startClaim = (
  state: CoreState,
  entry: CallInProgress,
  turn: Turn,
): void => {
  if (entry.claim === undefined) {
    return;
  }
  const {requestId} = entry.call;
  state.calls.store.start(
    turn,
    {kind: 'claim-write', requestId},
    {
      type: 'create',
      kind: CLAIM_KIND,
      name: entry.claim.name,
      value: claimValue(state, entry, entry.claim, turn.at),
    },
  );
};

/** Handles the answer to a write that asks for a claim. */
export const claimWritten = (
  state: CoreState,
  requestId: string,
  {result, sentAt}: StoreRespondedEvent,
  turn: Turn,
): void => {
  const entry = state.calls.calls.get(requestId);
  if (entry?.claim === undefined) {
    return;
  }
  if (result.type === 'written') {
    holdClaim(state, entry, entry.claim, result.version, sentAt, turn);
  } else if (result.type === 'conflict' && result.current !== undefined) {
    examineClaim(state, entry, entry.claim, result.current, sentAt, turn);
  } else {
    entry.claim.ambiguous ||= result.type === 'unknown';
    settleClaim(state, entry, entry.claim, result, turn);
  }
};

/** Handles the answer to a read that settles a write whose answer was lost. */
export const claimRead = (
  state: CoreState,
  requestId: string,
  {result, sentAt}: StoreRespondedEvent,
  turn: Turn,
): void => {
  const entry = state.calls.calls.get(requestId);
  if (entry?.claim === undefined) {
    return;
  }
  if (result.type === 'found') {
    examineClaim(state, entry, entry.claim, result.object, sentAt, turn);
  } else if (result.type === 'missing' && !entry.settled) {
    startClaim(state, entry, turn);
  } else {
    settleClaim(state, entry, entry.claim, result, turn);
  }
};

/** Answers a repeat from the outcome of the first request. */
export const answerFromClaimState = (
  turn: Turn,
  call: CallDescription,
  claimState: ClaimState,
): void => {
  if (claimState.kind === 'answered') {
    reply(turn, call, claimState.response, true);
  } else if (claimState.kind === 'answered-not-kept') {
    const detail =
      `the call ran and was answered with status ${claimState.status}; ` +
      'the answer was too large to keep';
    refuse(turn, call, mayHaveRunRefusal('answer-not-kept', detail));
  } else if (claimState.kind === 'unknown') {
    const {detail} = claimState.refusal;
    refuse(turn, call, mayHaveRunRefusal('outcome-unknown', detail));
  } else {
    refuse(turn, call, inProgressRefusal());
  }
};

const claimValue = (
  state: CoreState,
  entry: CallInProgress,
  claim: HeldClaim,
  at: Instant,
): string => {
  const record: ClaimRecord = {
    member: entry.call.member,
    bodyDigest: entry.call.bodyDigest,
    nonce: claim.nonce,
    holder: state.identity.incarnation,
    validForMs: Math.max(0, remainingMs(entry, at)) + RECORDING_MARGIN_MS,
    epoch: claim.epoch,
    state: {kind: 'open'},
  };
  return JSON.stringify(record);
};

const holdClaim = (
  state: CoreState,
  entry: CallInProgress,
  claim: HeldClaim,
  version: number,
  sentAt: Instant,
  turn: Turn,
): void => {
  claim.version = version;
  if (
    entry.settled ||
    elapsedMs(sentAt, turn.at) > CLAIM_SEND_LIMIT_MS ||
    remainingMs(entry, turn.at) <= 0
  ) {
    abandonClaim(state, entry, turn);
    return;
  }
  turn.perform({
    type: 'audit',
    entry: {
      actor: entry.call.member,
      action: 'call-claimed',
      subject: `${entry.call.pool}/${entry.call.operation}`,
      after: `${entry.call.requestId} ${claim.nonce}`,
    },
  });
  sendToServer(state, entry, turn);
};

/** Gives up a claim under which nothing was sent. */
const abandonClaim = (
  state: CoreState,
  entry: CallInProgress,
  turn: Turn,
  retryAfterMs = STORE_RETRY_AFTER_MS,
): void => {
  const detail = 'the claim of the key could not be made in time';
  refuseCall(
    turn,
    entry,
    notRunRefusal('store-unavailable', detail, retryAfterMs),
  );
  if (entry.claim?.version !== undefined || entry.claim?.ambiguous === true) {
    recordOutcome(state, entry, {kind: 'released'}, turn);
  }
  end(state, entry, turn);
};

/** Decides what the object that stands in a claim's place means. */
const examineClaim = (
  state: CoreState,
  entry: CallInProgress,
  claim: HeldClaim,
  current: StoredObject,
  sentAt: Instant,
  turn: Turn,
): void => {
  const record = parseClaim(current);
  if (record?.nonce === claim.nonce) {
    holdClaim(state, entry, claim, current.version, sentAt, turn);
    return;
  }
  if (record?.state.kind === 'released' && !entry.settled) {
    if (record.bodyDigest === entry.call.bodyDigest) {
      takeReleasedClaim(state, entry, claim, current.version, turn);
      return;
    }
  }
  if (!entry.settled) {
    entry.settled = true;
    answerRepeat(state, entry.call, record, turn);
  }
  end(state, entry, turn);
};

const takeReleasedClaim = (
  state: CoreState,
  entry: CallInProgress,
  claim: HeldClaim,
  expectedVersion: number,
  turn: Turn,
): void => {
  state.calls.store.start(
    turn,
    {kind: 'claim-write', requestId: entry.call.requestId},
    {
      type: 'update',
      kind: CLAIM_KIND,
      name: claim.name,
      value: claimValue(state, entry, claim, turn.at),
      expectedVersion,
    },
  );
};

const answerRepeat = (
  state: CoreState,
  call: CallDescription,
  record: ClaimRecord | undefined,
  turn: Turn,
): void => {
  if (record === undefined) {
    const detail = 'the claim of the key cannot be read';
    refuse(turn, call, mayHaveRunRefusal('outcome-unknown', detail));
  } else if (record.bodyDigest !== call.bodyDigest) {
    refuse(turn, call, keyReusedRefusal());
  } else if (record.state.kind === 'open' && isOrphaned(state, record, turn)) {
    const detail = `host ${hostOf(record)} ended before it knew the outcome`;
    refuse(turn, call, mayHaveRunRefusal('outcome-unknown', detail));
  } else {
    answerFromClaimState(turn, call, record.state);
  }
};

/** Whether the holder of an open claim can have no more part in it. */
const isOrphaned = (
  state: CoreState,
  record: ClaimRecord,
  turn: Turn,
): boolean => {
  if (record.holder === state.identity.incarnation) {
    return false;
  }
  const hosts = liveHosts(state);
  if (hosts.length > 0 && !hosts.some(({host}) => host === hostOf(record))) {
    return true;
  }
  const {openSince} = state.calls;
  const since = openSince.get(record.nonce);
  if (since !== undefined) {
    return elapsedMs(since, turn.at) > record.validForMs;
  }
  openSince.set(record.nonce, turn.at);
  const oldest = openSince.keys().next().value;
  if (openSince.size > MAXIMUM_REMEMBERED_CLAIMS && oldest !== undefined) {
    openSince.delete(oldest);
  }
  return false;
};

const hostOf = ({holder}: ClaimRecord): string =>
  holder.slice(0, holder.lastIndexOf('#'));

/** Reads again after an answer that settled nothing, or gives up. */
const settleClaim = (
  state: CoreState,
  entry: CallInProgress,
  claim: HeldClaim,
  result: StoreResult,
  turn: Turn,
): void => {
  claim.failures += 1;
  const giveUp =
    entry.settled ||
    result.type === 'unavailable' ||
    claim.failures >= MAXIMUM_CLAIM_FAILURES;
  if (giveUp) {
    const retryAfterMs =
      result.type === 'unavailable' ? result.retryAfterMs : undefined;
    abandonClaim(state, entry, turn, retryAfterMs);
    return;
  }
  state.calls.store.start(
    turn,
    {kind: 'claim-read', requestId: entry.call.requestId},
    {type: 'get', kind: CLAIM_KIND, name: claim.name},
  );
};
