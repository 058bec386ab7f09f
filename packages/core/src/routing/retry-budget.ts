/** Retries that a host may make for each first attempt. */
const RETRY_SHARE = 0.1;

/** Retries that a host may make at once after a quiet time. */
const RETRY_BURST = 20;

/** Bounds the retries of a host, so that retries cannot become the load. */
export interface RetryBudget {
  tokens: number;
}

export const createRetryBudget = (): RetryBudget => ({tokens: RETRY_BURST});

/** Earns a share of a retry with each first attempt. */
export const earnRetry = (budget: RetryBudget): void => {
  budget.tokens = Math.min(RETRY_BURST, budget.tokens + RETRY_SHARE);
};

/** Takes one retry from the budget; false when it is spent. */
export const spendRetry = (budget: RetryBudget): boolean => {
  if (budget.tokens < 1) {
    return false;
  }
  budget.tokens -= 1;
  return true;
};
