import type {Instant} from '@basilworks/core';

/** Retry budget of one service, shared by all hosts. */
export interface SharedRetryBudget {
  /** Retries allowed per request. */
  readonly ratio: number;
  /** Additional retries allowed in one window, over all hosts. */
  readonly extra: number;
  /** Length of the sliding window, seconds. */
  readonly windowS: number;
}

/** Share of the budget that is used, as hosts count independently. */
const USED_SHARE = 0.7;

/** Steps into which a window is divided. */
const STEPS = 20;

/**
 * This host's part of a shared retry budget: `ratio` applies to its own
 * requests, and `extra` is divided among the live hosts. Counts of the sliding
 * window are kept in steps, including the current one.
 */
export class RetryBudget {
  private steps: {index: number; requests: number; repeats: number}[] = [];

  constructor(
    /** The budget in force; settings may change it. */
    private readonly shared: () => SharedRetryBudget,
  ) {}

  /** Counts a request of a caller. */
  deposit(at: Instant): void {
    this.current(at).requests += 1;
  }

  /** Takes one retry; returns false when the budget is exhausted. */
  withdraw(liveHosts: number, at: Instant): boolean {
    const current = this.current(at);
    const requests = this.sum(({requests: count}) => count);
    const repeats = this.sum(({repeats: count}) => count);
    const {ratio, extra} = this.shared();
    const allowed =
      USED_SHARE * (ratio * requests + extra / Math.max(1, liveHosts));
    if (repeats + 1 > allowed) {
      return false;
    }
    current.repeats += 1;
    return true;
  }

  private current({monotonicMs}: Instant): {
    index: number;
    requests: number;
    repeats: number;
  } {
    const index = Math.floor(
      (monotonicMs * STEPS) / (this.shared().windowS * 1_000),
    );
    this.steps = this.steps.filter((step) => step.index > index - STEPS);
    const last = this.steps.at(-1);
    if (last?.index === index) {
      return last;
    }
    const step = {index, requests: 0, repeats: 0};
    this.steps.push(step);
    return step;
  }

  private sum(
    count: (step: {requests: number; repeats: number}) => number,
  ): number {
    return this.steps.reduce((total, step) => total + count(step), 0);
  }
}
