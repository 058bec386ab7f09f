/**
 * Wire format of a plain service: `POST /operations/{operation}` with any body
 * and the headers `x-request-id` and `x-member`. Any answer with a status
 * means that the service has seen the call, but for 503 with the header
 * `x-not-run: true`, which says that it was refused before it ran.
 */
export const NOT_RUN_HEADER = 'x-not-run';
