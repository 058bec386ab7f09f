/** Largest share of a caller's remaining time that it is told to wait. */
const USABLE_SHARE = 1 / 3;

/** Shortest retry time before limits, milliseconds: the load of an adapter. */
const SHORTEST_MS = 250;

/** Largest random jitter, as a share of the wait. */
const SPREAD = 0.5;

/**
 * Returns the time after which a refused caller should retry, milliseconds: as
 * long as the expected wait, with jitter so that refused callers do not retry
 * together, and short enough to leave time before the deadline.
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

/** Returns the same as a header value, seconds with two decimals. */
export const retryAfterS = (
  expectedWaitMs: number,
  remainingMs: number,
  random: () => number,
): string =>
  (retryAfterMs(expectedWaitMs, remainingMs, random) / 1_000).toFixed(2);
