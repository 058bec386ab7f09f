/**
 * What passes between a look at a configuration's age and the arrival of bytes
 * that were sent by it, milliseconds: a turn of a busy loop, and a hop.
 */
const MARGIN_MS = 200;

/** Most of a bound that the margin takes. */
const MARGIN_SHARE = 0.1;

/**
 * Whether keys may be taken by a configuration that was known to be the newest
 * `confirmedAgeMs` ago. Answers for hosts that are cut off or were frozen: a key
 * that was taken away since is not known there. Without a bound there is nothing
 * to keep; an age that is not known is beyond any.
 */
export const mayAcceptKeys = (
  confirmedAgeMs: number,
  boundMs: number | undefined,
): boolean =>
  boundMs === undefined ||
  confirmedAgeMs < boundMs - Math.min(MARGIN_MS, boundMs * MARGIN_SHARE);
