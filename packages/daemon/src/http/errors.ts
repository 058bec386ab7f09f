import type {FailureCode, Refusal} from '@basilworks/core';

/** HTTP status of each failure code. */
const STATUSES: Readonly<Record<FailureCode, number>> = {
  'malformed-request': 400,
  unauthenticated: 401,
  'wrong-member': 403,
  'unknown-adapter': 404,
  'unknown-version': 404,
  'retired-adapter': 410,
  'unknown-service': 404,
  'unknown-request': 404,
  'body-too-large': 413,
  'idempotency-key-missing': 400,
  'idempotency-key-reused': 422,
  'in-progress': 409,
  'answer-not-kept': 410,
  'deadline-too-short': 429,
  overloaded: 429,
  'load-failed': 503,
  'no-server': 503,
  'store-unavailable': 503,
  'not-ready': 503,
  stopping: 503,
  cancelled: 499,
  timeout: 504,
  'upstream-unreachable': 502,
  'upstream-refused': 502,
  'upstream-failed': 502,
  'wrong-echo': 502,
  'outcome-unknown': 502,
  'peer-unreachable': 502,
  'ownership-lost': 503,
  internal: 500,
};

/** Body of every negative answer. */
export interface ErrorBody {
  readonly error: {
    readonly code: FailureCode;
    readonly message: string;
    /** True only where it is proved that nothing ran. */
    readonly notRun: boolean;
    readonly retryAfterMs?: number;
    readonly requestId: string;
  };
}

/** A negative answer, ready to be written. */
export interface ErrorAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: ErrorBody;
}

/** Builds the answer that tells a caller of a refusal. */
export const toErrorAnswer = (
  {code, notRun, detail, retryAfterMs}: Refusal,
  requestId: string,
): ErrorAnswer => {
  const headers: Record<string, string> = {'x-request-id': requestId};
  if (retryAfterMs !== undefined) {
    headers['retry-after'] = `${Math.ceil(retryAfterMs / 1_000)}`;
  }
  const retry = retryAfterMs === undefined ? {} : {retryAfterMs};
  const error = {code, message: detail, notRun, ...retry, requestId};
  return {status: STATUSES[code], headers, body: {error}};
};

/** Builds the whole response that tells a caller of a refusal. */
export const toErrorResponse = (
  refusal: Refusal,
  requestId: string,
): Response => {
  const {status, headers, body} = toErrorAnswer(refusal, requestId);
  return toJsonResponse(body, status, headers);
};

/** Builds a response with a JSON body. */
export const toJsonResponse = (
  body: unknown,
  status: number,
  headers: Readonly<Record<string, string>> = {},
): Response =>
  new Response(JSON.stringify(body), {
    status,
    headers: {'content-type': 'application/json', ...headers},
  });

/** A refusal of a request that no upstream has seen. */
export const refuseEarly = (
  code: FailureCode,
  detail: string,
  retryAfterMs?: number,
): Refusal => ({
  code,
  detail,
  notRun: true,
  ...(retryAfterMs === undefined ? {} : {retryAfterMs}),
});
