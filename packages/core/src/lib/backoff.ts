/** Bounds of an exponential backoff, in milliseconds. */
export interface BackoffBounds {
  readonly firstMs: number;
  readonly lastMs: number;
}

/** Delay before attempt number `attempt`, where 1 is the first retry. */
export const backoffMs = (
  attempt: number,
  {firstMs, lastMs}: BackoffBounds,
): number => Math.min(lastMs, firstMs * 2 ** Math.min(attempt - 1, 30));
