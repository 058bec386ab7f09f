import {homeOf} from '../membership/selectors.js';
import type {FailureCode, Refusal} from '../refusal.js';
import type {CoreState} from '../state.js';
import type {Turn} from '../turn.js';
import type {IngressRequest} from './state.js';

/** Time after which a caller may try again when nothing better is known. */
const RETRY_AFTER_MS = 1_000;

/** Timers that one request may have. */
export type TimerKind = 'placement' | 'deadline' | 'resume';
const TIMERS: readonly TimerKind[] = ['placement', 'deadline', 'resume'];

/** The request that waits for this placement, if it still does. */
export const findPlacing = (
  state: CoreState,
  requestId: string,
  placementId: string,
): IngressRequest | undefined => {
  const entry = state.routing.requests.get(requestId);
  return entry?.state === 'placing' && entry.placementId === placementId
    ? entry
    : undefined;
};

/** Gives the caller its final negative answer. */
export const refuse = (
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
  end(state, entry, turn);
};

/** Forgets a request that has its final answer. */
export const end = (
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

/** Tells the home that the request's placement is over. */
export const finishPlacement = (
  state: CoreState,
  entry: IngressRequest,
  turn: Turn,
): void => {
  sendFinished(homeOf(state, entry.request.adapter), entry.placementId, turn);
};

/** Tells a home that a placement is over. */
export const sendFinished = (
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

/** A refusal that says only whether the request may have run. */
export const refusalOf = (code: FailureCode, notRun: boolean): Refusal => ({
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

/** Withdraws one of a request's timers. */
export const cancelTimer = (
  kind: TimerKind,
  entry: IngressRequest,
  turn: Turn,
): void => {
  const timer = `${kind}/${entry.request.requestId}`;
  turn.perform({type: 'cancel-timer', area: 'routing', timer});
};
