import {randomUUID} from 'node:crypto';

import type {Refusal} from '@basilworks/core';
import type {z} from 'zod';

import type {Authenticator} from '../http/authentication.js';
import type {CallerRequest} from '../http/caller-app.js';
import {refuseEarly, toErrorResponse} from '../http/errors.js';
import {readBody} from '../http/read-body.js';
import {parseJson} from '../lib/parse-json.js';

/** Largest body of an operator's request: a sheet of the most rows. */
const MAXIMUM_BODY_BYTES = 16_777_216;

/** An operator's request that carried a valid token. */
export interface OperatorCall {
  readonly operator: string;
  readonly request: CallerRequest;
}

/** Wraps the handler of an operator route with the check of the token. */
export const forOperators =
  (
    authenticator: Authenticator,
    handle: (call: OperatorCall) => Promise<Response> | Response,
  ) =>
  async (request: CallerRequest): Promise<Response> => {
    const operator = authenticator.operator(
      request.req.header('authorization'),
    );
    return operator === undefined
      ? refuseOperator(refuseEarly('unauthenticated', 'no operator token'))
      : handle({operator, request});
  };

/** Reads and checks the body of an operator's request. */
export const readOperatorBody = async <Schema extends z.ZodType>(
  {request}: OperatorCall,
  schema: Schema,
): Promise<z.infer<Schema> | Response> => {
  const body = await readBody(request.env.incoming, MAXIMUM_BODY_BYTES);
  if (body.isErr()) {
    return refuseOperator(body.error);
  }
  const parsed = schema.safeParse(parseJson(body.value.toString('utf8')));
  return parsed.success
    ? parsed.data
    : refuseOperator(refuseEarly('malformed-request', parsed.error.message));
};

/** Makes the answer that refuses an operator's request. */
export const refuseOperator = (refusal: Refusal): Response =>
  toErrorResponse(refusal, randomUUID());

/** Refuses an operator's request for something that is not known. */
export const refuseUnknown = (what: string): Response =>
  refuseOperator(refuseEarly('unknown-request', `${what} is unknown`));
