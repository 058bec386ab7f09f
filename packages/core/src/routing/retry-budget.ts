/** Retries that each new request adds to the budget. */
const RETRY_RATIO = 0.1;

/** Maximum budget, and so the largest burst of retries. */
const RETRY_BURST = 20;

/**
 * Token bucket that limits a host's retries to a share of its new requests, so
 * that retries cannot dominate the load.
 */
export interface RetryBudget {
  tokens: number;
}

export const createRetryBudget = (): RetryBudget => ({tokens: RETRY_BURST});

/** Adds a new request's share of a retry to the budget. */
export const creditRetry = (budget: RetryBudget): void => {
  budget.tokens = Math.min(RETRY_BURST, budget.tokens + RETRY_RATIO);
};

/** Takes one retry from the budget; returns false if there is none. */
export const spendRetry = (budget: RetryBudget): boolean => {
  if (budget.tokens < 1) {
    return false;
  }
  budget.tokens -= 1;
  return true;
};
