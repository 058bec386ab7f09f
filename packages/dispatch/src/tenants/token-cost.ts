import type {TenantQuota} from '../configuration/index.js';

/** More tokens than any request has; what says so is no usable figure. */
const MAXIMUM_TOKENS = 2 ** 40;

/** Tokens that a caller says its request takes, if it says so. */
export interface DeclaredTokens {
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/**
 * Returns what a request takes from its tenant's quota; undefined for a request
 * to refuse. What is no count of tokens is taken as nothing stated. A count that
 * is readable but absurdly large is refused: it would hold back the tenant for
 * years, and to charge it as a plain request would reward the lie.
 */
export const requestCost = (
  {unit, plainTokens}: TenantQuota,
  stated: DeclaredTokens | undefined,
): number | undefined => {
  if (unit === 'requests') {
    return 1;
  }
  const {promptTokens, outputTokens} = stated ?? {};
  if (!isCount(promptTokens) || !isCount(outputTokens)) {
    return plainTokens;
  }
  const tokens = promptTokens + outputTokens;
  return tokens > MAXIMUM_TOKENS ? undefined : tokens;
};

/** Whether a figure counts tokens, of any number. */
const isCount = (value: number | undefined): value is number =>
  value !== undefined && value >= 0;
