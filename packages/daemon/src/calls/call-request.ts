import {createHash} from 'node:crypto';

import type {CallDescription, Refusal, RequestId} from '@basilworks/core';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';

import {refuseEarly} from '../http/errors.js';
import type {MemberRequest} from '../http/member-request.js';
import type {DaemonSettings} from '../settings-schema.js';

const MAXIMUM_KEY_LENGTH = 256;
const LONGEST_DEADLINE_MS = 600_000;

const headersSchema = z.object({
  idempotencyKey: z.string().max(MAXIMUM_KEY_LENGTH).default(''),
  deadlineMs: z.coerce
    .number()
    .int()
    .positive()
    .max(LONGEST_DEADLINE_MS)
    .optional(),
});

/** What a caller sent, besides its member and body. */
export interface CallInput {
  readonly requestId: RequestId;
  readonly pool: string;
  readonly operation: string;
  /** Header `Idempotency-Key`. */
  readonly idempotencyKey: string | undefined;
  /** Header `x-deadline-ms`. */
  readonly deadlineMs: string | undefined;
}

/** A checked call with the time that it may take. */
export interface CheckedCall {
  readonly call: CallDescription;
  readonly remainingMs: number;
}

/** Checks a call against the operations that the settings declare. */
export const toCall = (
  settings: DaemonSettings,
  {requestId, pool, operation, idempotencyKey, deadlineMs}: CallInput,
  {member, body}: MemberRequest,
): Result<CheckedCall, Refusal> => {
  const declared = settings.operations.find(
    (candidate) => candidate.pool === pool && candidate.operation === operation,
  );
  if (declared === undefined) {
    const detail = `no operation ${operation} of ${pool} is declared`;
    return err(refuseEarly('unknown-service', detail));
  }
  const headers = headersSchema.safeParse({idempotencyKey, deadlineMs});
  if (!headers.success) {
    const problems = headers.error.issues.map(
      ({path, message}) => `${path.map(String).join('.')}: ${message}`,
    );
    return err(refuseEarly('malformed-request', problems.join('; ')));
  }
  return ok({
    call: {
      requestId,
      member,
      pool,
      operation,
      idempotent: declared.idempotent,
      idempotencyKey: headers.data.idempotencyKey,
      bodyDigest: digestOf(pool, operation, body),
    },
    remainingMs: headers.data.deadlineMs ?? settings.deadlines.urgentMs,
  });
};

const digestOf = (pool: string, operation: string, body: Buffer): string =>
  createHash('sha256')
    .update(JSON.stringify([pool, operation]))
    .update(body)
    .digest('hex');
