import {randomUUID} from 'node:crypto';

import type {Refusal, RequestId} from '@basilworks/core';
import {RESPONSE_ALREADY_SENT} from '@hono/node-server/utils/response';

import type {DaemonContext} from '../context.js';
import type {CallerApp} from '../http/caller-app.js';
import type {Authenticator} from '../http/authentication.js';
import {refuseEarly, toErrorResponse} from '../http/errors.js';
import {readBody} from '../http/read-body.js';
import {HttpRequester, tooManyRequests} from './http-requester.js';
import type {Ingress} from './ingress.js';
import {toModelRequest} from './model-request.js';

/** Model requests of callers: `POST /v1/chat/completions`. */
export const registerModelRoutes = (
  app: CallerApp,
  context: DaemonContext,
  ingress: Ingress,
  authenticator: Authenticator,
): void => {
  app.post('/v1/chat/completions', async (caller) => {
    const requestId = randomUUID();
    const refuse = (refusal: Refusal) =>
      answerRefusal(context, refusal, requestId);
    const early = checkEarly(context, ingress);
    if (early !== undefined) {
      return refuse(early);
    }
    const member = authenticator.member(caller.req.header('authorization'));
    if (member === undefined) {
      return refuse(refuseEarly('unauthenticated', 'no valid bearer token'));
    }
    const {incoming, outgoing} = caller.env;
    const {settings, loop} = context;
    const body = await readBody(incoming, settings.limits.bodyBytes);
    const request = body.andThen((bytes) =>
      toModelRequest(loop.state, settings, {
        requestId,
        member,
        body: bytes,
        priorityClass: caller.req.header('x-priority-class'),
        deadlineMs: caller.req.header('x-deadline-ms'),
      }),
    );
    if (request.isErr()) {
      return refuse(request.error);
    }
    const {adapter, version, priorityClass} = request.value.request;
    const identity = {requestId, member, adapter, version, priorityClass};
    ingress.submit(
      request.value,
      new HttpRequester(context, ingress, outgoing, identity),
    );
    return RESPONSE_ALREADY_SENT;
  });
};

/** Answers a request that no upstream has seen. */
export const answerRefusal = (
  {metrics, logger}: DaemonContext,
  refusal: Refusal,
  requestId: RequestId,
): Response => {
  metrics.countRefusal(refusal.code);
  logger.info('refused', {requestId, code: refusal.code, notRun: true});
  return toErrorResponse(refusal, requestId);
};

const checkEarly = (
  {readiness, settings}: DaemonContext,
  ingress: Ingress,
): Refusal | undefined => {
  if (readiness.closed) {
    return refuseEarly('stopping', 'this host is stopping', 1_000);
  }
  if (!readiness.hasBeenReady) {
    return refuseEarly('not-ready', readiness.reason, 1_000);
  }
  return ingress.size >= settings.limits.concurrentRequests
    ? tooManyRequests()
    : undefined;
};
