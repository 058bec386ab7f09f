import {elapsedMs, type Instant} from '../instant.js';
import {provesNotRun, type Refusal} from '../refusal.js';
import type {CoreState} from '../state.js';
import type {Turn} from '../turn.js';
import {
  forgetCall,
  mayHaveRunRefusal,
  notRunRefusal,
  refuseCall,
  replyCall,
} from './call-answers.js';
import type {CallAttemptFinishedEvent} from './events.js';
import {recordOutcome, toClaimState} from './recording.js';
import {RetryBudget} from './retry-budget.js';
import type {CallInProgress} from './state.js';

/** Milliseconds below which an attempt is not begun. */
export const MINIMUM_REMAINING_MS = 20;
const REFUSED_RETRY_AFTER_MS = 1_000;

/** Milliseconds until the answer of a call has no more use. */
export const remainingMs = (entry: CallInProgress, at: Instant): number =>
  entry.limitMs - elapsedMs(entry.submittedAt, at);

/**
 * Sends a call to the best server that it was not tried on. A call that may
 * not be repeated must hold its claim. Ends the call when there is none.
 */
export const sendToServer = (
  state: CoreState,
  entry: CallInProgress,
  turn: Turn,
): void => {
  const {calls} = state;
  const {call} = entry;
  const leftMs = remainingMs(entry, turn.at);
  const server =
    leftMs < MINIMUM_REMAINING_MS
      ? undefined
      : calls.servers.choose(state, call.pool, entry.tried, turn.at);
  if (server === undefined) {
    endWithoutAnswer(state, entry, turn);
    return;
  }
  if (entry.tried.size === 0) {
    budgetOf(state, call.pool).deposit();
  }
  const attemptId = `${state.identity.incarnation}/${calls.sequence++}`;
  entry.attemptId = attemptId;
  entry.tried.add(server.server);
  calls.servers.started(server.server);
  turn.perform({
    type: 'record-decision',
    decision: {
      subject: 'request',
      name: call.requestId,
      decision: 'call-sent',
      inputs: {
        server: server.server,
        attempt: entry.tried.size,
        runningThere: calls.servers.count(server.server),
        idempotent: call.idempotent,
      },
    },
  });
  turn.perform({
    type: 'send-call',
    call,
    attemptId,
    server: server.server,
    remainingMs: Math.floor(leftMs),
  });
};

/** Handles the end of an attempt: an answer, a retry or a refusal. */
export const finishAttempt = (
  state: CoreState,
  event: CallAttemptFinishedEvent,
  turn: Turn,
): void => {
  const entry = state.calls.calls.get(event.requestId);
  if (entry?.attemptId !== event.attemptId) {
    return;
  }
  entry.attemptId = undefined;
  state.calls.servers.finished(event.server);
  if (event.outcome.kind === 'answered' && event.response !== undefined) {
    replyCall(turn, entry, event.response, false);
    endWithOutcome(state, entry, event, turn);
    return;
  }
  handleFailure(state, entry, event, turn);
};

/** Refuses an idempotent call whose deadline passed between attempts. */
export const expireCall = (
  state: CoreState,
  requestId: string,
  turn: Turn,
): void => {
  const entry = state.calls.calls.get(requestId);
  if (entry === undefined || (!entry.call.idempotent && entry.attemptId)) {
    // The attempt ends at the same deadline, and its outcome is recorded.
    return;
  }
  const ran = entry.mayHaveRun || entry.attemptId !== undefined;
  const make = ran ? mayHaveRunRefusal : notRunRefusal;
  refuseCall(turn, entry, make('timeout', 'the deadline passed'));
};

const handleFailure = (
  state: CoreState,
  entry: CallInProgress,
  event: CallAttemptFinishedEvent,
  turn: Turn,
): void => {
  const {outcome, server} = event;
  const proved = provesNotRun(outcome);
  entry.mayHaveRun ||= !proved;
  entry.lastRefusal =
    outcome.kind === 'answered' ? missingAnswerRefusal : outcome.refusal;
  if (outcome.kind !== 'refused-before-run') {
    state.calls.servers.failed(server, turn.at);
  }
  if (!entry.call.idempotent && !proved) {
    refuseCall(turn, entry, unknownRefusal(entry.lastRefusal));
    endWithOutcome(state, entry, event, turn);
  } else if (!entry.settled && withdrawRetry(state, entry, turn)) {
    sendToServer(state, entry, turn);
  } else {
    endWithoutAnswer(state, entry, turn);
  }
};

const withdrawRetry = (
  state: CoreState,
  {call}: CallInProgress,
  turn: Turn,
): boolean => {
  const granted = budgetOf(state, call.pool).withdraw();
  if (granted) {
    turn.perform({
      type: 'observe-metric',
      metric: 'retries_total',
      value: 1,
      labels: {reason: 'call'},
    });
  }
  return granted;
};

/** Ends a call that is not tried again; releases its claim if it may. */
const endWithoutAnswer = (
  state: CoreState,
  entry: CallInProgress,
  turn: Turn,
): void => {
  refuseCall(turn, entry, finalRefusal(entry));
  if (entry.claim !== undefined) {
    recordOutcome(state, entry, {kind: 'released'}, turn);
  }
  end(state, entry, turn);
};

const endWithOutcome = (
  state: CoreState,
  entry: CallInProgress,
  event: CallAttemptFinishedEvent,
  turn: Turn,
): void => {
  if (entry.claim !== undefined) {
    recordOutcome(state, entry, toClaimState(event), turn);
  }
  end(state, entry, turn);
};

/** Forgets a call and its deadline. */
export const end = (
  state: CoreState,
  entry: CallInProgress,
  turn: Turn,
): void => {
  forgetCall(state, entry);
  turn.perform({
    type: 'cancel-timer',
    area: 'calls',
    timer: `deadline/${entry.call.requestId}`,
  });
};

const finalRefusal = (entry: CallInProgress): Refusal => {
  const last =
    entry.lastRefusal ??
    notRunRefusal('no-server', `no server of ${entry.call.pool} has room`);
  return {
    ...last,
    notRun: !entry.mayHaveRun,
    retryAfterMs: last.retryAfterMs ?? REFUSED_RETRY_AFTER_MS,
  };
};

const unknownRefusal = ({detail}: Refusal): Refusal =>
  mayHaveRunRefusal('outcome-unknown', detail);

const missingAnswerRefusal = mayHaveRunRefusal(
  'upstream-failed',
  'the service answered but its answer is missing',
);

const budgetOf = (state: CoreState, pool: string): RetryBudget => {
  const {budgets} = state.calls;
  const budget = budgets.get(pool) ?? new RetryBudget();
  budgets.set(pool, budget);
  return budget;
};
