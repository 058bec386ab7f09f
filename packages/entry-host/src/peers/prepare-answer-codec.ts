import {
  PREPARE_REFUSALS,
  type PrepareAnswer,
  type PrepareRefusal,
} from '@basilworks/dispatch';
import type {fleet} from '@basilworks/protocol';

/** The answer assumed when a peer does not respond. */
export const UNREACHABLE_ANSWER: PrepareAnswer = {
  outcome: 'refused',
  reason: 'unreachable',
  retryAfterMs: 0,
};

/**
 * Decodes a peer's answer; an undecodable one counts as missing. `spread` is
 * the number of servers that should hold the adapter, `slowness` the server's
 * long-term slowdown.
 */
export const decodePrepareAnswer = ({
  answer,
  requests,
  spread,
  slowness,
  prefillLimit,
  promptWaitMs,
}: fleet.PrepareAdapterResponse): PrepareAnswer => {
  if (answer?.$case === 'resident') {
    const {version, validMs} = answer.value;
    return {
      outcome: 'resident',
      version,
      validMs,
      requests,
      spread,
      slowness,
      prefillLimit,
      promptWaitMs,
    };
  }
  const reason = PREPARE_REFUSALS.find(
    (known): known is PrepareRefusal => known === answer?.value.reason,
  );
  return answer === undefined || reason === undefined
    ? UNREACHABLE_ANSWER
    : {
        outcome: 'refused',
        reason,
        retryAfterMs: answer.value.retryAfterMs,
        requests,
        spread,
        slowness,
        prefillLimit,
      };
};

/** Encodes an answer for a peer; times are rounded to whole milliseconds. */
export const encodePrepareAnswer = (
  answer: PrepareAnswer,
): fleet.PrepareAdapterResponse => {
  const {requests, spread, slowness, prefillLimit} = answer;
  const promptWaitMs =
    answer.promptWaitMs === undefined
      ? undefined
      : Math.round(answer.promptWaitMs);
  const state = {requests, spread, slowness, prefillLimit, promptWaitMs};
  if (answer.outcome === 'resident') {
    const {version, validMs} = answer;
    const value = {version, validMs: Math.floor(validMs)};
    return {answer: {$case: 'resident', value}, ...state};
  }
  const {reason, retryAfterMs} = answer;
  const value = {reason, retryAfterMs: Math.ceil(retryAfterMs)};
  return {answer: {$case: 'refused', value}, ...state};
};
