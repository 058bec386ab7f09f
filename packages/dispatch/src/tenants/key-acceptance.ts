/**
 * Time from the check of a configuration's age to the arrival of the bytes sent
 * on its basis, milliseconds: a turn of a busy event loop, and a network hop.
 */
const MARGIN_MS = 200;

/** Largest share of a bound that the margin takes. */
const MARGIN_SHARE = 0.1;

/**
 * Whether keys may be accepted under a configuration last confirmed as the
 * newest `confirmedAgeMs` ago. Keeps hosts that are partitioned or were
 * suspended from accepting keys revoked since. Without a bound, keys are always
 * accepted; an unknown age exceeds any bound.
 */
export const mayAcceptKeys = (
  confirmedAgeMs: number,
  boundMs: number | undefined,
): boolean =>
  boundMs === undefined ||
  confirmedAgeMs < boundMs - Math.min(MARGIN_MS, boundMs * MARGIN_SHARE);
