/**
 * The operator HTTP API. Every request carries `Authorization: Bearer` with an
 * operator's token; answers are JSON, failures `operatorErrorSchema`.
 */
export const OPERATOR_PATHS = {
  /** `POST` with `sheetSubmissionSchema`, answered with `sheetAnswerSchema`. */
  sheet: '/operator/v1/sheet',
  /** `POST` without a body: makes a new signing key, `sheetAnswerSchema`. */
  keys: '/operator/v1/keys',
  /** `GET`, `hostsViewSchema`. */
  hosts: '/operator/v1/hosts',
  /** `GET`, `serversViewSchema`. */
  servers: '/operator/v1/servers',
  /** `GET`, `adaptersViewSchema`. */
  adapters: '/operator/v1/adapters',
  /** `GET`, `loadsViewSchema`. */
  loads: '/operator/v1/loads',
  /** `GET`, `auditViewSchema`. */
  audit: '/operator/v1/audit',
  /** `GET`, `historyViewSchema`. */
  history: '/operator/v1/history',
  /** `GET` with `/{subject}/{name}` appended, `decisionsViewSchema`. */
  explain: '/operator/v1/explain',
  /** `POST` without a body: this host hands over its work, `drainAnswerSchema`. */
  drain: '/operator/v1/drain',
} as const;
