/**
 * A reading of both clocks of the local host, taken once at the start of a
 * loop turn. Instants of different hosts are never compared.
 */
export interface Instant {
  /** Milliseconds of the monotonic clock, from an arbitrary origin. */
  readonly monotonicMs: number;
  /** Milliseconds since the Unix epoch. May jump in either direction. */
  readonly wallMs: number;
}

/**
 * Returns the milliseconds elapsed between two instants of one host: the
 * larger of the elapsed monotonic and wall time, so that a suspended host or a
 * stopped monotonic clock never makes a proof look fresher than it is.
 */
export const elapsedMs = (from: Instant, to: Instant): number =>
  Math.max(to.monotonicMs - from.monotonicMs, to.wallMs - from.wallMs);
