/**
 * The operator HTTP API. Every request carries `Authorization: Bearer` with an
 * operator's token; answers are JSON, failures `operatorErrorSchema`.
 */
export const OPERATOR_PATHS = {
  /** `POST` with `sheetSubmissionSchema`, answered with `sheetAnswerSchema`. */
  sheet: '/operator/v1/sheet',
  /** `POST` without a body: makes a new signing key, `sheetAnswerSchema`. */
  keys: '/operator/v1/keys',
} as const;
