import type {PendingLoad} from './state.js';

/** Waiting time that doubles the weight of a load in the queue. */
const AGING_MS = 2_000;

/** Slack below which the weight of a load rises. */
const SHORT_SLACK_MS = 2_000;

/**
 * Returns the load that is to start next: the one for which waiting costs
 * most, that is urgency of all requests behind it, raised by the time it has
 * waited and by a short slack.
 */
export const nextLoad = (
  pending: Iterable<PendingLoad>,
  nowMs: number,
): PendingLoad | undefined => {
  let best: PendingLoad | undefined;
  let bestWeight = -1;
  for (const load of pending) {
    const weight = loadWeight(load, nowMs);
    if (weight > bestWeight) {
      best = load;
      bestWeight = weight;
    }
  }
  return best;
};

/** Cost of letting a load wait, per unit of time. */
export const loadWeight = (load: PendingLoad, nowMs: number): number => {
  const aged = 1 + (nowMs - load.askedMs) / AGING_MS;
  const slackMs = Math.max(0, load.dueMs - nowMs);
  const pressed = 1 + Math.max(0, 1 - slackMs / SHORT_SLACK_MS);
  return load.urgency * aged * pressed;
};
