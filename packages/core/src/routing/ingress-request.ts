import {homeOf} from '../membership/selectors.js';
import type {FailureCode, Refusal} from '../refusal.js';
import type {CoreState} from '../state.js';
import type {Turn} from '../turn.js';
import type {IngressRequest} from './state.js';

/** Time after which a caller may retry, if no better estimate is known. */
const RETRY_AFTER_MS = 1_000;

/** Kinds of timers of a request. */
export type TimerKind = 'placement' | 'deadline' | 'resume';
const TIMERS: readonly TimerKind[] = ['placement', 'deadline', 'resume'];

/** Returns the request if it is still waiting for this placement. */
export const findPlacingRequest = (
  state: CoreState,
  requestId: string,
  placementId: string,
): IngressRequest | undefined => {
  const entry = state.routing.requests.get(requestId);
  return entry?.state === 'placing' && entry.placementId === placementId
    ? entry
    : undefined;
};

/** Sends the caller its final refusal and ends the request. */
export const refuseRequest = (
  state: CoreState,
  entry: IngressRequest,
  refusal: Refusal,
  turn: Turn,
): void => {
  const {requestId} = entry.request;
  turn.perform({type: 'refuse-request', requestId, refusal});
  turn.perform({
    type: 'observe-metric',
    metric: 'refusals_total',
    value: 1,
    labels: {code: refusal.code},
  });
  endRequest(state, entry, turn);
};

/** Removes a request after its final answer and finishes its placement. */
export const endRequest = (
  state: CoreState,
  entry: IngressRequest,
  turn: Turn,
): void => {
  state.routing.requests.delete(entry.request.requestId);
  for (const kind of TIMERS) {
    cancelTimer(kind, entry, turn);
  }
  finishPlacement(state, entry, turn);
};

/** Notifies the home that the request's placement is no longer in use. */
export const finishPlacement = (
  state: CoreState,
  entry: IngressRequest,
  turn: Turn,
): void => {
  sendPlacementFinished(
    homeOf(state, entry.request.adapter),
    entry.placementId,
    turn,
  );
};

/** Notifies a host that one of its placements is no longer in use. */
export const sendPlacementFinished = (
  to: string,
  placementId: string,
  turn: Turn,
): void => {
  turn.perform({
    type: 'send-peer-message',
    to,
    message: {type: 'placement-finished', placementId},
  });
};

/**
 * Returns a refusal whose detail says only whether the request may have run.
 */
export const createRefusal = (code: FailureCode, notRun: boolean): Refusal => ({
  code,
  notRun,
  detail: notRun
    ? 'the request was not sent to any server'
    : 'the request may have run',
  retryAfterMs: RETRY_AFTER_MS,
});

/** Sets or replaces one of a request's timers. */
export const setTimer = (
  kind: TimerKind,
  entry: IngressRequest,
  delayMs: number,
  turn: Turn,
): void => {
  turn.perform({
    type: 'set-timer',
    area: 'routing',
    timer: `${kind}/${entry.request.requestId}`,
    delayMs: Math.max(0, delayMs),
  });
};

/** Cancels one of a request's timers. */
export const cancelTimer = (
  kind: TimerKind,
  entry: IngressRequest,
  turn: Turn,
): void => {
  const timer = `${kind}/${entry.request.requestId}`;
  turn.perform({type: 'cancel-timer', area: 'routing', timer});
};
