import {
  adapterEntry,
  type FailureCode,
  keyRing,
  type MemberId,
  type Refusal,
  type ResumeClaims,
  type ResumeTokenFault,
  verifyResumeToken,
} from '@basilworks/core';
import {RESPONSE_ALREADY_SENT} from '@hono/node-server/utils/response';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';

import type {DaemonContext} from '../context.js';
import type {Authenticator} from '../http/authentication.js';
import type {CallerApp} from '../http/caller-app.js';
import {refuseEarly} from '../http/errors.js';
import {HttpRequester} from './http-requester.js';
import type {Ingress} from './ingress.js';
import {answerRefusal} from './model-routes.js';
import type {RequestStatus} from './request-outcomes.js';

/** Header that carries a resume token, in answers and in resumes. */
export const RESUME_TOKEN_HEADER = 'x-resume-token';

const offsetSchema = z.coerce.number().int().nonnegative();

const TOKEN_FAULTS: Readonly<Record<ResumeTokenFault['kind'], FailureCode>> = {
  malformed: 'malformed-request',
  'unknown-key': 'unknown-request',
  'wrong-signature': 'unknown-request',
  expired: 'answer-not-kept',
  'wrong-member': 'wrong-member',
};

/**
 * Continues an answer on any host, `GET /v1/streams/{requestId}?offset=BYTES`
 * with the resume token of its head, and tells the status of a request of this
 * host, `GET /v1/requests/{requestId}`. Both only to the request's own member.
 */
export const registerResumeRoutes = (
  app: CallerApp,
  context: DaemonContext,
  ingress: Ingress,
  authenticator: Authenticator,
): void => {
  const memberOf = (
    authorization: string | undefined,
  ): Result<MemberId, Refusal> => {
    const member = authenticator.member(authorization);
    return member === undefined
      ? err(refuseEarly('unauthenticated', 'no valid bearer token'))
      : ok(member);
  };
  app.get('/v1/streams/:requestId', (caller) => {
    const requestId = caller.req.param('requestId');
    const input = {
      requestId,
      token: caller.req.header(RESUME_TOKEN_HEADER),
      offset: caller.req.query('offset') ?? '0',
    };
    const resume = memberOf(caller.req.header('authorization')).andThen(
      (member) => checkResume(context, ingress, member, input),
    );
    if (resume.isErr()) {
      return answerRefusal(context, resume.error, requestId);
    }
    const {claims, offsetBytes} = resume.value;
    submit(context, ingress, claims, offsetBytes, caller.env.outgoing);
    return RESPONSE_ALREADY_SENT;
  });
  app.get('/v1/requests/:requestId', (caller) => {
    const requestId = caller.req.param('requestId');
    const status = memberOf(caller.req.header('authorization')).andThen(
      (member): Result<RequestStatus, Refusal> => {
        const known = ingress.outcomes.get(member, requestId);
        const detail = 'this host has no such request of this member';
        return known ? ok(known) : err(refuseEarly('unknown-request', detail));
      },
    );
    return status.match(
      (known) => caller.json(known),
      (refusal) =>
        answerRefusal(context, {...refusal, notRun: false}, requestId),
    );
  });
};

interface ResumeInput {
  readonly requestId: string;
  readonly token: string | undefined;
  readonly offset: string;
}

interface Resume {
  readonly claims: ResumeClaims;
  readonly offsetBytes: number;
}

/** A refused resume says nothing of the request, which has run. */
const refuseResume = (code: FailureCode, detail: string): Refusal => ({
  code,
  notRun: false,
  detail,
});

const checkResume = (
  {loop}: DaemonContext,
  ingress: Ingress,
  member: MemberId,
  {requestId, token, offset}: ResumeInput,
): Result<Resume, Refusal> => {
  const offsetBytes = offsetSchema.safeParse(offset);
  if (!offsetBytes.success || token === undefined) {
    const detail = `expected ?offset=BYTES and ${RESUME_TOKEN_HEADER}`;
    return err(refuseResume('malformed-request', detail));
  }
  if (ingress.has(requestId)) {
    const detail = 'the answer is still being given';
    return err({...refuseResume('in-progress', detail), retryAfterMs: 500});
  }
  const {wallMs} = loop.now();
  return verifyResumeToken(token, keyRing(loop.state), member, wallMs)
    .mapErr(({kind}) =>
      refuseResume(TOKEN_FAULTS[kind], `the resume token is refused: ${kind}`),
    )
    .andThen((claims) =>
      claims.requestId === requestId
        ? ok({claims, offsetBytes: offsetBytes.data})
        : err(refuseResume('unknown-request', 'the token is of another one')),
    );
};

const submit = (
  context: DaemonContext,
  ingress: Ingress,
  {requestId, member, adapter, version, executionId, server}: ResumeClaims,
  offsetBytes: number,
  response: ConstructorParameters<typeof HttpRequester>[2],
): void => {
  const entry = adapterEntry(context.loop.state, adapter);
  const priorityClass = entry?.priorityClass ?? 'standard';
  const request = {
    requestId,
    member,
    adapter,
    version,
    baseModel: entry?.baseModel ?? '',
    pool: entry?.pool ?? '',
    priorityClass,
    prefixDigest: '',
    maximumTokens: 1,
  };
  const identity = {requestId, member, adapter, version, priorityClass};
  ingress.submitResume(
    {
      request,
      executionId,
      server,
      offsetBytes,
      remainingMs: context.settings.deadlines.standardMs,
    },
    new HttpRequester(context, ingress, response, identity),
  );
};
