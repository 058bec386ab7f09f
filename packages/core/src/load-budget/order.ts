import type {LoadBudgetState, PendingLoad} from './state.js';

/** Slack below which a shorter one makes little difference. */
const SHORT_SLACK_MS = 20_000;

/**
 * Returns the load that is to start next: the one for which waiting costs
 * most, that is the urgency of all requests behind it over the time that they still
 * have. Waiting shortens that time, so no load starves.
 */
export const nextLoad = (
  {pending, settings}: LoadBudgetState,
  nowMs: number,
): PendingLoad | undefined => {
  if (!settings.mechanisms.loadOrder) {
    return pending.values().next().value;
  }
  let best: PendingLoad | undefined;
  let bestWeight = -1;
  for (const load of pending.values()) {
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
  const slackMs = Math.max(0, load.dueMs - nowMs);
  return load.urgency / (slackMs + SHORT_SLACK_MS);
};
