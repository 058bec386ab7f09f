/** Retries that one first attempt pays for. */
const RETRIES_PER_ATTEMPT = 0.1;
const MAXIMUM_RETRIES = 10;

/**
 * Limits the retries of a pool to a share of its first attempts, so that a
 * pool in trouble is not sent a multiple of its usual load.
 */
export class RetryBudget {
  private retries = MAXIMUM_RETRIES;

  /** Counts a first attempt. */
  deposit(): void {
    this.retries = Math.min(
      MAXIMUM_RETRIES,
      this.retries + RETRIES_PER_ATTEMPT,
    );
  }

  /** Takes one retry; false when the budget is used up. */
  withdraw(): boolean {
    if (this.retries < 1) {
      return false;
    }
    this.retries -= 1;
    return true;
  }
}
