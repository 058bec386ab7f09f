import type {FailureCode, Refusal} from '../refusal.js';
import type {CoreState} from '../state.js';
import type {Turn} from '../turn.js';
import type {CallDescription, RecordedResponse} from './events.js';
import type {CallInProgress} from './state.js';

/** Milliseconds after which a repeat of a call in progress may ask again. */
const IN_PROGRESS_RETRY_AFTER_MS = 500;

/** Makes a refusal that says that nothing ran. */
export const notRunRefusal = (
  code: FailureCode,
  detail: string,
  retryAfterMs?: number,
): Refusal => ({
  code,
  notRun: true,
  detail,
  ...(retryAfterMs === undefined
    ? {}
    : {retryAfterMs: Math.ceil(retryAfterMs)}),
});

/** Makes a refusal of a call that ran, or may have run. */
export const mayHaveRunRefusal = (
  code: FailureCode,
  detail: string,
  retryAfterMs?: number,
): Refusal => ({...notRunRefusal(code, detail, retryAfterMs), notRun: false});

/** The refusal of a key that another request has used for another call. */
export const keyReusedRefusal = (): Refusal =>
  notRunRefusal(
    'idempotency-key-reused',
    'the key belongs to a call with another body or operation',
  );

/** The refusal of a repeat while the first request runs. */
export const inProgressRefusal = (): Refusal =>
  mayHaveRunRefusal(
    'in-progress',
    'the call is in progress; repeat it with the same key',
    IN_PROGRESS_RETRY_AFTER_MS,
  );

/** Gives a call its final negative answer, once. */
export const refuseCall = (
  turn: Turn,
  entry: CallInProgress,
  refusal: Refusal,
): void => {
  if (entry.settled) {
    return;
  }
  entry.settled = true;
  refuse(turn, entry.call, refusal);
};

/** Gives a call its answer, once. */
export const replyCall = (
  turn: Turn,
  entry: CallInProgress,
  response: RecordedResponse,
  replayed: boolean,
): void => {
  if (entry.settled) {
    return;
  }
  entry.settled = true;
  reply(turn, entry.call, response, replayed);
};

/** Answers a call that is not in progress on this host. */
export const reply = (
  turn: Turn,
  {requestId}: CallDescription,
  response: RecordedResponse,
  replayed: boolean,
): void => {
  if (replayed) {
    turn.perform({
      type: 'observe-metric',
      metric: 'call_replays_total',
      value: 1,
      labels: {},
    });
  }
  turn.perform({type: 'reply-call', requestId, response, replayed});
};

/** Refuses a call that is not in progress on this host. */
export const refuse = (
  turn: Turn,
  {requestId}: CallDescription,
  refusal: Refusal,
): void => {
  turn.perform({
    type: 'observe-metric',
    metric: 'refusals_total',
    value: 1,
    labels: {code: refusal.code},
  });
  turn.perform({type: 'refuse-call', requestId, refusal});
};

/** Removes a call that has ended. */
export const forgetCall = (state: CoreState, entry: CallInProgress): void => {
  const {calls} = state;
  calls.calls.delete(entry.call.requestId);
  if (
    entry.claim !== undefined &&
    calls.claims.get(entry.claim.name) === entry.call.requestId
  ) {
    calls.claims.delete(entry.claim.name);
  }
};
