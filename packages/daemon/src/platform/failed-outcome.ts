import type {FailureCode, SendOutcome} from '@basilworks/core';

import type {ExchangeError, ExchangeFailureReason} from './exchange.js';

const CODES: Readonly<Record<ExchangeFailureReason, FailureCode>> = {
  unreachable: 'upstream-unreachable',
  forbidden: 'ownership-lost',
  cancelled: 'cancelled',
  timeout: 'timeout',
  interrupted: 'outcome-unknown',
};

/**
 * The outcome of a send that ended without a whole answer: `not-sent` only
 * where no byte left this host, `unknown` in every other case.
 */
export const toFailedOutcome = (
  {sent, reason, message}: ExchangeError,
  deliveredBytes: number,
): SendOutcome => {
  const refusal = {code: CODES[reason], notRun: !sent, detail: message};
  return sent
    ? {kind: 'unknown', refusal, deliveredBytes}
    : {kind: 'not-sent', refusal};
};
