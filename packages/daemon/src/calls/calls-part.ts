import {randomUUID} from 'node:crypto';

import type {Refusal, RequestId, SendCallEffect} from '@basilworks/core';

import type {DaemonContext} from '../context.js';
import type {CallerRequest} from '../http/caller-app.js';
import {toErrorResponse} from '../http/errors.js';
import {readMemberRequest} from '../http/member-request.js';
import {answerRefusal} from '../ingress/model-routes.js';
import type {Part, PartTools} from '../part.js';
import {notSent} from '../peers/frames.js';
import type {PlainCallResult} from '../platform/index.js';
import type {RunnersOf} from '../runner-table.js';
import {toCall, type CheckedCall} from './call-request.js';

type CallEffectType = 'send-call' | 'reply-call' | 'refuse-call';

/** Calls to plain services: `POST /v1/services/{pool}/{operation}`. */
export const createCallsPart = (
  context: DaemonContext,
  tools: PartTools,
): Part<CallEffectType> => {
  const calls = new Calls(context, tools);
  return {
    runners: calls.runners,
    registerRoutes: (app) => {
      app.post('/v1/services/:pool/:operation', (caller) =>
        calls.handle(
          caller,
          caller.req.param('pool'),
          caller.req.param('operation'),
        ),
      );
    },
  };
};

/** A call whose caller waits. */
interface OpenCall {
  readonly body: Buffer;
  readonly contentType: string;
  readonly answer: (response: Response) => void;
}

/** The calls of callers that this host holds. */
class Calls {
  private readonly open = new Map<RequestId, OpenCall>();

  constructor(
    private readonly context: DaemonContext,
    private readonly tools: PartTools,
  ) {}

  readonly runners: RunnersOf<CallEffectType> = {
    'send-call': (effect) => {
      void this.send(effect);
    },
    'reply-call': ({requestId, response, replayed}) => {
      const {status, contentType, bodyBase64} = response;
      this.answer(
        requestId,
        new Response(toBody(status, bodyBase64), {
          status,
          headers: {
            'content-type': contentType,
            'x-request-id': requestId,
            'x-replayed': String(replayed),
          },
        }),
      );
    },
    'refuse-call': ({requestId, refusal}) => {
      this.logRefusal(requestId, refusal);
      this.answer(requestId, toErrorResponse(refusal, requestId));
    },
  };

  /** Answers one call of a caller. */
  async handle(
    caller: CallerRequest,
    pool: string,
    operation: string,
  ): Promise<Response> {
    const {context, tools} = this;
    const requestId = randomUUID();
    const request = await readMemberRequest(
      context,
      tools.authenticator,
      caller,
    );
    const checked = request.andThen((read) =>
      toCall(
        context.settings,
        {
          requestId,
          pool,
          operation,
          idempotencyKey: caller.req.header('idempotency-key'),
          deadlineMs: caller.req.header('x-deadline-ms'),
        },
        read,
      ).map((call) => ({call, body: read.body})),
    );
    if (checked.isErr()) {
      return answerRefusal(context, checked.error, requestId);
    }
    return this.submit(caller, checked.value.call, checked.value.body);
  }

  private submit(
    caller: CallerRequest,
    {call, remainingMs}: CheckedCall,
    body: Buffer,
  ): Promise<Response> {
    const {requestId} = call;
    const {loop} = this.context;
    const contentType =
      caller.req.header('content-type') ?? 'application/octet-stream';
    return new Promise((resolve) => {
      this.open.set(requestId, {body, contentType, answer: resolve});
      caller.env.outgoing.once('close', () => {
        if (this.open.delete(requestId)) {
          loop.post({type: 'call-abandoned', requestId});
        }
      });
      loop.post({type: 'call-submitted', call, remainingMs});
    });
  }

  private async send({
    call,
    attemptId,
    server,
    remainingMs,
  }: SendCallEffect): Promise<void> {
    const {directory, loop, platform} = this.context;
    const {requestId, operation, member} = call;
    const open = this.open.get(requestId);
    const address = directory.server(server)?.address;
    const result: PlainCallResult =
      open === undefined || address === undefined
        ? {
            outcome: notSent('no-server', `${server} has no address`),
            response: undefined,
          }
        : await platform.plainServices.call({
            address,
            operation,
            requestId,
            member,
            contentType: open.contentType,
            body: open.body,
            timeoutMs: remainingMs,
          });
    loop.post({
      type: 'call-attempt-finished',
      requestId,
      attemptId,
      server,
      ...result,
    });
  }

  private answer(requestId: RequestId, response: Response): void {
    const open = this.open.get(requestId);
    this.open.delete(requestId);
    open?.answer(response);
  }

  private logRefusal(requestId: RequestId, refusal: Refusal): void {
    const {code, notRun, detail} = refusal;
    this.context.logger.info('call refused', {
      requestId,
      code,
      notRun,
      detail,
    });
  }
}

const STATUSES_WITHOUT_BODY: ReadonlySet<number> = new Set([204, 205, 304]);

const toBody = (status: number, bodyBase64: string): Buffer | null =>
  STATUSES_WITHOUT_BODY.has(status) ? null : Buffer.from(bodyBase64, 'base64');
