import type {Sender} from '../area.js';
import {homeOf} from '../membership/selectors.js';
import {ownerOf} from '../ownership/selectors.js';
import type {FailureCode, Refusal} from '../refusal.js';
import type {CoreState} from '../state.js';
import type {Turn} from '../turn.js';
import type {
  AttemptFinishedEvent,
  RequestAbandonedEvent,
  RequestSubmittedEvent,
  ResumeSubmittedEvent,
} from './events.js';
import type {PlacementGranted, PlacementRefused} from './messages.js';
import {
  cancelTimer,
  end,
  findPlacing,
  finishPlacement,
  refusalOf,
  refuse,
  sendFinished,
  setTimer,
} from './ingress-entry.js';
import {earnRetry, spendRetry} from './retry-budget.js';
import {createIngressRequest, type IngressRequest} from './state.js';

/** Time after which an unanswered placement is asked for again. */
const PLACEMENT_TIMEOUT_MS = 500;

/** Time after which a held placement is confirmed again with the home. */
const HELD_REFRESH_MS = 5_000;

/** Unanswered askings after which this host places the request itself. */
const HOME_ATTEMPTS = 2;

/** Attempts on servers that refuse before the request is given up. */
const MAXIMUM_PLACEMENTS = 5;

/** Time before an interrupted answer is continued again. */
const RESUME_DELAY_MS = 500;

/** Continuations after which an interrupted answer is given up. */
const MAXIMUM_RESUMES = 40;

/** Refusals that another server would give as well. */
const FINAL_CODES: ReadonlySet<FailureCode> = new Set([
  'timeout',
  'deadline-too-short',
  'cancelled',
  'body-too-large',
  'malformed-request',
]);

/** Refusals after which an answer cannot be continued. */
const LOST_ANSWER_CODES: ReadonlySet<FailureCode> = new Set([
  'wrong-echo',
  'upstream-refused',
  'unknown-request',
]);

/** Takes a caller's request and asks the adapter's home for a server. */
export const submitRequest = (
  state: CoreState,
  {request, remainingMs}: RequestSubmittedEvent,
  turn: Turn,
): void => {
  const {routing} = state;
  if (routing.requests.has(request.requestId)) {
    return;
  }
  const entry = addRequest(state, request, remainingMs, turn);
  earnRetry(routing.retryBudget);
  requestPlacement(state, entry, turn);
};

/** Continues an answer that began on another connection or host. */
export const submitResume = (
  state: CoreState,
  {request, remainingMs, attemptId, server, offsetBytes}: ResumeSubmittedEvent,
  turn: Turn,
): void => {
  if (state.routing.requests.has(request.requestId)) {
    return;
  }
  const entry = addRequest(state, request, remainingMs, turn);
  entry.state = 'resuming';
  entry.attemptId = attemptId;
  entry.server = server;
  entry.deliveredBytes = offsetBytes;
  entry.resumes = 1;
  resumeAttempt(state, request.requestId, turn);
};

/** Withdraws a request everywhere after its caller went away. */
export const abandonRequest = (
  state: CoreState,
  {requestId}: RequestAbandonedEvent,
  turn: Turn,
): void => {
  const entry = state.routing.requests.get(requestId);
  if (!entry || entry.abandoned) {
    return;
  }
  entry.abandoned = true;
  if (entry.state === 'attempting') {
    const {attemptId} = entry;
    turn.perform({type: 'cancel-attempt', requestId, attemptId});
    return;
  }
  const notRun = entry.state === 'placing';
  refuse(state, entry, refusalOf('cancelled', notRun), turn);
};

/** The home holds the request: confirm it now and then. */
export const keepHeldPlacement = (
  state: CoreState,
  {placementId, requestId}: {placementId: string; requestId: string},
  turn: Turn,
): void => {
  const entry = findPlacing(state, requestId, placementId);
  if (entry) {
    entry.asked = 0;
    setTimer('placement', entry, HELD_REFRESH_MS, turn);
  }
};

/** Opens the data path to the owner that the home named. */
export const startAttempt = (
  state: CoreState,
  {placementId, requestId, server, owner}: PlacementGranted,
  sender: Sender,
  turn: Turn,
): void => {
  const entry = findPlacing(state, requestId, placementId);
  if (!entry) {
    const current = state.routing.requests.get(requestId);
    if (current?.placementId !== placementId) {
      sendFinished(sender.host, placementId, turn);
    }
    return;
  }
  cancelTimer('placement', entry, turn);
  entry.state = 'attempting';
  entry.server = server;
  entry.attemptId = `${requestId}.${entry.placements}`;
  turn.perform({
    type: 'start-attempt',
    request: entry.request,
    attemptId: entry.attemptId,
    owner,
    server,
    remainingMs: entry.deadlineMs - turn.at.monotonicMs,
  });
};

/** Gives the caller the home's refusal; nothing was sent anywhere. */
export const takePlacementRefusal = (
  state: CoreState,
  {placementId, requestId, refusal}: PlacementRefused,
  turn: Turn,
): void => {
  const entry = findPlacing(state, requestId, placementId);
  if (entry) {
    refuse(state, entry, refusal, turn);
  }
};

/** Ends the request, tries another server, or continues its answer. */
export const finishAttempt = (
  state: CoreState,
  {requestId, attemptId, outcome}: AttemptFinishedEvent,
  turn: Turn,
): void => {
  const entry = state.routing.requests.get(requestId);
  if (entry?.state !== 'attempting' || entry.attemptId !== attemptId) {
    return;
  }
  if (outcome.kind === 'answered') {
    end(state, entry, turn);
  } else if (outcome.kind === 'unknown') {
    entry.deliveredBytes = Math.max(
      entry.deliveredBytes,
      outcome.deliveredBytes,
    );
    continueAnswer(state, entry, outcome.refusal, turn);
  } else if (entry.resumes > 0) {
    continueAnswer(state, entry, outcome.refusal, turn);
  } else {
    tryElsewhere(state, entry, outcome.refusal, turn);
  }
};

/** Asks again where an answer of the home is overdue. */
export const repeatPlacement = (
  state: CoreState,
  requestId: string,
  turn: Turn,
): void => {
  const entry = state.routing.requests.get(requestId);
  if (entry?.state === 'placing') {
    askHome(state, entry, turn);
  }
};

/** Continues an answer after the delay, through the owner of the moment. */
export const resumeAttempt = (
  state: CoreState,
  requestId: string,
  turn: Turn,
): void => {
  const entry = state.routing.requests.get(requestId);
  if (entry?.state !== 'resuming' || entry.server === undefined) {
    return;
  }
  const owner = ownerOf(state, entry.server);
  if (owner === undefined) {
    continueAnswer(state, entry, refusalOf('outcome-unknown', false), turn);
    return;
  }
  entry.state = 'attempting';
  turn.perform({
    type: 'resume-attempt',
    request: entry.request,
    attemptId: entry.attemptId,
    owner,
    server: entry.server,
    offsetBytes: entry.deliveredBytes,
    remainingMs: entry.deadlineMs - turn.at.monotonicMs,
  });
};

/** The deadline passed: a request that was not sent ends now. */
export const expireRequest = (
  state: CoreState,
  requestId: string,
  turn: Turn,
): void => {
  const entry = state.routing.requests.get(requestId);
  if (entry?.state === 'placing') {
    refuse(state, entry, refusalOf('timeout', true), turn);
  } else if (entry?.state === 'resuming') {
    refuse(state, entry, refusalOf('outcome-unknown', false), turn);
  }
};

const addRequest = (
  state: CoreState,
  request: IngressRequest['request'],
  remainingMs: number,
  turn: Turn,
): IngressRequest => {
  const deadlineMs = turn.at.monotonicMs + remainingMs;
  const entry = createIngressRequest(request, deadlineMs);
  state.routing.requests.set(request.requestId, entry);
  setTimer('deadline', entry, remainingMs, turn);
  return entry;
};

const requestPlacement = (
  state: CoreState,
  entry: IngressRequest,
  turn: Turn,
): void => {
  entry.state = 'placing';
  entry.placements += 1;
  entry.asked = 0;
  entry.placementId = `${entry.request.requestId}.${entry.placements}`;
  askHome(state, entry, turn);
};

/** Asks the home, or this host itself when the home stays silent. */
const askHome = (state: CoreState, entry: IngressRequest, turn: Turn): void => {
  const to =
    entry.asked < HOME_ATTEMPTS
      ? homeOf(state, entry.request.adapter)
      : state.settings.host;
  entry.asked += 1;
  setTimer('placement', entry, PLACEMENT_TIMEOUT_MS, turn);
  turn.perform({
    type: 'send-peer-message',
    to,
    message: {
      type: 'placement-requested',
      placementId: entry.placementId,
      request: entry.request,
      remainingMs: entry.deadlineMs - turn.at.monotonicMs,
      excluded: [...entry.excluded],
    },
  });
};

/** Asks for another server, within the limits of retries and time. */
const tryElsewhere = (
  state: CoreState,
  entry: IngressRequest,
  refusal: Refusal,
  turn: Turn,
): void => {
  finishPlacement(state, entry, turn);
  if (
    entry.abandoned ||
    FINAL_CODES.has(refusal.code) ||
    entry.placements >= MAXIMUM_PLACEMENTS ||
    entry.deadlineMs <= turn.at.monotonicMs ||
    !spendRetry(state.routing.retryBudget)
  ) {
    const final = entry.abandoned ? refusalOf('cancelled', true) : refusal;
    refuse(state, entry, {...final, notRun: true}, turn);
    return;
  }
  if (entry.server !== undefined) {
    entry.excluded.push(entry.server);
  }
  turn.perform({
    type: 'observe-metric',
    metric: 'retries_total',
    value: 1,
    labels: {reason: refusal.code},
  });
  requestPlacement(state, entry, turn);
};

/** Continues an interrupted answer, or says that its outcome is unknown. */
const continueAnswer = (
  state: CoreState,
  entry: IngressRequest,
  refusal: Refusal,
  turn: Turn,
): void => {
  if (
    entry.abandoned ||
    LOST_ANSWER_CODES.has(refusal.code) ||
    entry.resumes >= MAXIMUM_RESUMES ||
    entry.deadlineMs <= turn.at.monotonicMs
  ) {
    const code = entry.abandoned ? 'cancelled' : 'outcome-unknown';
    const final = refusalOf(code, false);
    refuse(state, entry, {...final, detail: refusal.detail}, turn);
    return;
  }
  entry.resumes += 1;
  entry.state = 'resuming';
  setTimer('resume', entry, RESUME_DELAY_MS, turn);
};
