/** Callers come back within a third of their time, at the most. */
const USABLE_SHARE = 1 / 3;

/** Shortest time to come back after, milliseconds: an adapter's load. */
const SHORTEST_MS = 250;

/** How far the returns are spread, as a share of the wait. */
const SPREAD = 0.5;

/**
 * Returns when a refused caller should come back, milliseconds: when there
 * should be room, spread so that refused callers do not return together, and
 * never so late that no time is left to be served.
 */
export const retryAfterMs = (
  expectedWaitMs: number,
  remainingMs: number,
  random: () => number,
): number => {
  const spread = 1 + SPREAD * random();
  const wanted = Math.max(SHORTEST_MS, expectedWaitMs) * spread;
  return Math.max(
    0,
    Math.min(wanted, remainingMs * USABLE_SHARE * (1 - 0.2 * random())),
  );
};

/** The same as a header's value, seconds. */
export const retryAfterS = (
  expectedWaitMs: number,
  remainingMs: number,
  random: () => number,
): string =>
  (retryAfterMs(expectedWaitMs, remainingMs, random) / 1_000).toFixed(2);
