/** Occupancy up to which the threshold may rise while servers have room. */
const ROOM_SHARE = 0.9;

/**
 * Occupancy above which a server counts as overloaded, given the mean of all: a
 * multiple of the mean, plus a margin of a few slots for nearly idle services.
 */
const OVERLOAD_RATIO = 1.5;
const OVERLOAD_MARGIN = 0.1;

/**
 * When all servers are full, one counts as overloaded above this multiple of
 * the mean, as some server has to take the requests.
 */
const FULL_OVERLOAD_RATIO = 1.1;

/**
 * Returns the occupancy from which a server is overloaded, given the mean
 * occupancy of all.
 */
export const overloadThreshold = (mean: number): number =>
  Math.max(
    Math.min(ROOM_SHARE, mean * OVERLOAD_RATIO + OVERLOAD_MARGIN),
    mean * FULL_OVERLOAD_RATIO,
  );
