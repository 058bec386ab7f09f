import {z} from 'zod';

/** Stable codes of every failure a caller can be told about. */
export const failureCodeSchema = z.enum([
  'malformed-request',
  'unauthenticated',
  'wrong-member',
  'unknown-adapter',
  'unknown-version',
  'retired-adapter',
  'unknown-service',
  'unknown-request',
  'body-too-large',
  'idempotency-key-missing',
  'idempotency-key-reused',
  'in-progress',
  'deadline-too-short',
  'overloaded',
  'load-failed',
  'no-server',
  'store-unavailable',
  'not-ready',
  'stopping',
  'cancelled',
  'timeout',
  'upstream-unreachable',
  'upstream-refused',
  'upstream-failed',
  'wrong-echo',
  'outcome-unknown',
  'answer-not-kept',
  'peer-unreachable',
  'ownership-lost',
  'internal',
]);
export type FailureCode = z.infer<typeof failureCodeSchema>;

/**
 * A final negative answer to a request. `notRun` is true only where it is
 * proved that no upstream ran the request.
 */
export const refusalSchema = z.object({
  code: failureCodeSchema,
  notRun: z.boolean(),
  /** Human-readable detail; never parsed. */
  detail: z.string(),
  /** Milliseconds after which a retry is worthwhile, where it is known. */
  retryAfterMs: z.number().int().nonnegative().optional(),
});
export type Refusal = z.infer<typeof refusalSchema>;

/**
 * How a send to an upstream or a peer ended. Only `not-sent` and
 * `refused-before-run` prove that nothing ran.
 */
export const sendOutcomeSchema = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('not-sent'), refusal: refusalSchema}),
  z.object({kind: z.literal('refused-before-run'), refusal: refusalSchema}),
  z.object({
    kind: z.literal('answered'),
    /** HTTP status of the upstream's answer. */
    status: z.number().int(),
  }),
  z.object({
    kind: z.literal('unknown'),
    refusal: refusalSchema,
    /** Body bytes that reached the caller before the interruption. */
    deliveredBytes: z.number().int().nonnegative(),
  }),
]);
export type SendOutcome = z.infer<typeof sendOutcomeSchema>;

/** Returns whether the outcome proves that the request was not run. */
export const provesNotRun = (outcome: SendOutcome): boolean =>
  outcome.kind === 'not-sent' || outcome.kind === 'refused-before-run';
