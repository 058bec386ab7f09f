import type {TenantQuota} from '../configuration/index.js';

/** Largest accepted token count, more than any real request has. */
const MAXIMUM_TOKENS = 2 ** 40;

/** Token counts that a caller declares for its request. */
export interface DeclaredTokens {
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/**
 * Returns the cost of a request to its tenant's quota; undefined for a request
 * to refuse. An invalid count is treated as not declared. A valid but absurdly
 * large count is refused: charging it would block the tenant for years, and
 * charging it as a plain request would reward the false declaration.
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

/** Whether a value is a token count of any size. */
const isCount = (value: number | undefined): value is number =>
  value !== undefined && value >= 0;
