/** Share of its slots up to which a server counts as having room. */
const ROOMY_SHARE = 0.9;

/**
 * Occupancy above which a server counts as crowded, given the mean of all: a
 * share of the mean, and a few places where all are nearly idle.
 */
const CROWDED_SHARE = 1.5;
const CROWDED_MARGIN = 0.1;

/**
 * Where all servers are full, one counts as crowded above this share of the
 * mean: something has to take the requests.
 */
const FULL_SHARE = 1.1;

/** Returns the occupancy from which a server is crowded, by the mean of all. */
export const overloadThreshold = (mean: number): number =>
  Math.max(
    Math.min(ROOMY_SHARE, mean * CROWDED_SHARE + CROWDED_MARGIN),
    mean * FULL_SHARE,
  );
