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
  createRefusal,
  endRequest,
  findPlacingRequest,
  finishPlacement,
  refuseRequest,
  sendPlacementFinished,
  setTimer,
} from './ingress-request.js';
import {creditRetry, spendRetry} from './retry-budget.js';
import {createIngressRequest, type IngressRequest} from './state.js';

/** Time after which an unanswered placement request is repeated. */
const PLACEMENT_TIMEOUT_MS = 500;

/** Interval at which the request for a held placement is repeated. */
const HELD_REFRESH_MS = 5_000;

/** Unanswered requests to the home before this host places the request. */
const MAXIMUM_HOME_REQUESTS = 2;

/** Placements of a request before a refusal by a server is final. */
const MAXIMUM_PLACEMENTS = 5;

/** Delay before an interrupted answer is resumed. */
const RESUME_DELAY_MS = 500;

/** Resumptions of an answer before its outcome is reported as unknown. */
const MAXIMUM_RESUMES = 40;

/** Refusals that would be the same on another server. */
const NON_RETRYABLE_CODES: ReadonlySet<FailureCode> = new Set([
  'timeout',
  'deadline-too-short',
  'cancelled',
  'body-too-large',
  'malformed-request',
]);

/** Refusals after which an answer cannot be resumed. */
const NON_RESUMABLE_CODES: ReadonlySet<FailureCode> = new Set([
  'wrong-echo',
  'upstream-refused',
  'unknown-request',
]);

/** Accepts a caller's request and requests a server from the home. */
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
  creditRetry(routing.retryBudget);
  requestPlacement(state, entry, turn);
};

/** Resumes an answer that started on another connection or host. */
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
  entry.resumeCount = 1;
  resumeAttempt(state, request.requestId, turn);
};

/**
 * Ends a request whose caller disconnected or cancelled. A request with an
 * attempt in progress ends once the cancelled attempt has finished.
 */
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
  refuseRequest(state, entry, createRefusal('cancelled', notRun), turn);
};

/**
 * The home holds the placement: repeats the request for it at a longer
 * interval, so that a home that lost the placement creates it again.
 */
export const handlePlacementQueued = (
  state: CoreState,
  {placementId, requestId}: {placementId: string; requestId: string},
  turn: Turn,
): void => {
  const entry = findPlacingRequest(state, requestId, placementId);
  if (entry) {
    entry.unansweredRequests = 0;
    setTimer('placement', entry, HELD_REFRESH_MS, turn);
  }
};

/**
 * Starts an attempt on the granted server. A grant that no request is waiting
 * for is released at its sender, unless it repeats the current one.
 */
export const startAttempt = (
  state: CoreState,
  {placementId, requestId, server, owner}: PlacementGranted,
  sender: Sender,
  turn: Turn,
): void => {
  const entry = findPlacingRequest(state, requestId, placementId);
  if (!entry) {
    const current = state.routing.requests.get(requestId);
    if (current?.placementId !== placementId) {
      sendPlacementFinished(sender.host, placementId, turn);
    }
    return;
  }
  cancelTimer('placement', entry, turn);
  entry.state = 'attempting';
  entry.server = server;
  entry.attemptId = `${requestId}.${entry.placementCount}`;
  turn.perform({
    type: 'start-attempt',
    request: entry.request,
    attemptId: entry.attemptId,
    owner,
    server,
    remainingMs: entry.deadlineMs - turn.at.monotonicMs,
  });
};

/** Passes the home's refusal on to the caller; no server got the request. */
export const handlePlacementRefused = (
  state: CoreState,
  {placementId, requestId, refusal}: PlacementRefused,
  turn: Turn,
): void => {
  const entry = findPlacingRequest(state, requestId, placementId);
  if (entry) {
    refuseRequest(state, entry, refusal, turn);
  }
};

/** Ends the request, retries it elsewhere, or resumes its answer. */
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
    endRequest(state, entry, turn);
  } else if (outcome.kind === 'unknown') {
    entry.deliveredBytes = Math.max(
      entry.deliveredBytes,
      outcome.deliveredBytes,
    );
    scheduleResume(state, entry, outcome.refusal, turn);
  } else if (entry.resumeCount > 0) {
    scheduleResume(state, entry, outcome.refusal, turn);
  } else {
    retryOnAnotherServer(state, entry, outcome.refusal, turn);
  }
};

/** Repeats the placement request when the home has not answered in time. */
export const repeatPlacementRequest = (
  state: CoreState,
  requestId: string,
  turn: Turn,
): void => {
  const entry = state.routing.requests.get(requestId);
  if (entry?.state === 'placing') {
    sendPlacementRequest(state, entry, turn);
  }
};

/** Resumes an interrupted answer through the server's current owner. */
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
    scheduleResume(state, entry, createRefusal('outcome-unknown', false), turn);
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

/**
 * Refuses a request that has no attempt in progress at its deadline. An attempt
 * in progress is limited by its `remainingMs`.
 */
export const expireRequest = (
  state: CoreState,
  requestId: string,
  turn: Turn,
): void => {
  const entry = state.routing.requests.get(requestId);
  if (entry?.state === 'placing') {
    refuseRequest(state, entry, createRefusal('timeout', true), turn);
  } else if (entry?.state === 'resuming') {
    refuseRequest(state, entry, createRefusal('outcome-unknown', false), turn);
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
  entry.placementCount += 1;
  entry.unansweredRequests = 0;
  entry.placementId = `${entry.request.requestId}.${entry.placementCount}`;
  sendPlacementRequest(state, entry, turn);
};

/** Requests a server from the home, or from this host if it is silent. */
const sendPlacementRequest = (
  state: CoreState,
  entry: IngressRequest,
  turn: Turn,
): void => {
  const to =
    entry.unansweredRequests < MAXIMUM_HOME_REQUESTS
      ? homeOf(state, entry.request.adapter)
      : state.settings.host;
  entry.unansweredRequests += 1;
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

/**
 * Requests another server, or refuses the request if its refusal is final or
 * its placements, time or retry budget are used up. Only for attempts that
 * proved that the request did not run.
 */
const retryOnAnotherServer = (
  state: CoreState,
  entry: IngressRequest,
  refusal: Refusal,
  turn: Turn,
): void => {
  finishPlacement(state, entry, turn);
  if (
    entry.abandoned ||
    NON_RETRYABLE_CODES.has(refusal.code) ||
    entry.placementCount >= MAXIMUM_PLACEMENTS ||
    entry.deadlineMs <= turn.at.monotonicMs ||
    !spendRetry(state.routing.retryBudget)
  ) {
    const final = entry.abandoned ? createRefusal('cancelled', true) : refusal;
    refuseRequest(state, entry, {...final, notRun: true}, turn);
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

/**
 * Schedules the resumption of an interrupted answer, or refuses the request
 * with an unknown outcome if the answer cannot be resumed.
 */
const scheduleResume = (
  state: CoreState,
  entry: IngressRequest,
  refusal: Refusal,
  turn: Turn,
): void => {
  if (
    entry.abandoned ||
    NON_RESUMABLE_CODES.has(refusal.code) ||
    entry.resumeCount >= MAXIMUM_RESUMES ||
    entry.deadlineMs <= turn.at.monotonicMs
  ) {
    const code = entry.abandoned ? 'cancelled' : 'outcome-unknown';
    const final = createRefusal(code, false);
    refuseRequest(state, entry, {...final, detail: refusal.detail}, turn);
    return;
  }
  entry.resumeCount += 1;
  entry.state = 'resuming';
  setTimer('resume', entry, RESUME_DELAY_MS, turn);
};
