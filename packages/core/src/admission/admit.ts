import type {Refusal} from '../refusal.js';
import type {PriorityClass} from '../request.js';
import type {ServerChoice} from '../routing/choose-server.js';
import type {Placement} from '../routing/state.js';
import type {Turn} from '../turn.js';

/**
 * Share of the remaining time that the predicted wait may take. Lower classes
 * get less, so that they are shed first when the load rises.
 */
const WAIT_SHARE: Readonly<Record<PriorityClass, number>> = {
  urgent: 0.7,
  standard: 0.6,
  deferrable: 0.5,
};

/** Shortest time after which a refused caller may try again. */
const MINIMUM_RETRY_AFTER_MS = 500;

/**
 * Refuses a request that would miss its deadline on its best server. Returns
 * undefined when it is admitted.
 */
export const admitPlacement = (
  {request, deadlineMs}: Placement,
  {waitMs, view}: ServerChoice,
  turn: Turn,
): Refusal | undefined => {
  const remainingMs = deadlineMs - turn.at.monotonicMs;
  const allowedMs = remainingMs * WAIT_SHARE[request.priorityClass];
  const {meanMs} = view.serviceTimes[request.priorityClass];
  const predictedMs = waitMs + meanMs;
  if (predictedMs <= allowedMs) {
    return undefined;
  }
  if (waitMs === 0 || meanMs > allowedMs) {
    return remainingMs > 0 ? undefined : tooShort;
  }
  return {
    code: 'overloaded',
    notRun: true,
    detail: `the expected wait of ${Math.round(waitMs)} ms is too long`,
    retryAfterMs: Math.max(
      MINIMUM_RETRY_AFTER_MS,
      Math.round(predictedMs - allowedMs),
    ),
  };
};

const tooShort: Refusal = {
  code: 'deadline-too-short',
  notRun: true,
  detail: 'the deadline has passed',
};
