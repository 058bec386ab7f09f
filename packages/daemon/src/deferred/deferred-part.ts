import {randomUUID} from 'node:crypto';

import type {Refusal, RequestId, WorkStatus} from '@basilworks/core';

import type {DaemonContext} from '../context.js';
import type {CallerRequest} from '../http/caller-app.js';
import {refuseEarly, toErrorResponse, toJsonResponse} from '../http/errors.js';
import {identifyMember, readMemberRequest} from '../http/member-request.js';
import {toModelRequest} from '../ingress/model-request.js';
import {answerRefusal} from '../ingress/model-routes.js';
import {PendingAnswers} from '../lib/pending-answers.js';
import type {Part, PartTools} from '../part.js';
import type {RunnersOf} from '../runner-table.js';
import {WorkCollector} from './work-collector.js';

type WorkEffectType =
  'accept-work' | 'refuse-work' | 'run-work' | 'answer-work-query';

/**
 * Work that can wait: `POST /v1/work` with the body of a model request, and
 * `GET /v1/work/{requestId}`.
 */
export const createDeferredPart = (
  context: DaemonContext,
  tools: PartTools,
): Part<WorkEffectType> => {
  const work = new Work(context, tools);
  return {
    runners: work.runners,
    registerRoutes: (app) => {
      app.post('/v1/work', (caller) => work.submit(caller));
      app.get('/v1/work/:requestId', (caller) =>
        work.query(caller, caller.req.param('requestId')),
      );
    },
  };
};

class Work {
  private readonly submitters = new Map<
    RequestId,
    (refusal: Refusal | undefined) => void
  >();
  private readonly queries = new PendingAnswers<WorkStatus>();

  constructor(
    private readonly context: DaemonContext,
    private readonly tools: PartTools,
  ) {}

  readonly runners: RunnersOf<WorkEffectType> = {
    'accept-work': ({requestId}) => {
      this.answerSubmitter(requestId, undefined);
    },
    'refuse-work': ({requestId, refusal}) => {
      this.answerSubmitter(requestId, refusal);
    },
    'answer-work-query': ({query, status}) => {
      this.queries.resolve(query, status);
    },
    'run-work': ({request, body, remainingMs}) => {
      const {requestId} = request;
      const collector = new WorkCollector((outcome, answer) => {
        this.context.loop.post({
          type: 'work-finished',
          requestId,
          outcome,
          answer,
        });
      });
      this.tools.ingress.submit(
        {request, body: Buffer.from(body), remainingMs},
        collector,
      );
    },
  };

  /** Stores a piece of work; answers once it is accepted or refused. */
  async submit(caller: CallerRequest): Promise<Response> {
    const {context, tools} = this;
    const {loop, settings} = context;
    const requestId = randomUUID();
    const read = await readMemberRequest(context, tools.authenticator, caller);
    const checked = read.andThen((request) =>
      toModelRequest(loop.state, settings, {
        requestId,
        ...request,
        priorityClass: 'deferrable',
        deadlineMs: caller.req.header('x-deadline-ms'),
      }),
    );
    if (checked.isErr()) {
      return answerRefusal(context, checked.error, requestId);
    }
    const {request, body, remainingMs} = checked.value;
    const refusal = await new Promise<Refusal | undefined>((resolve) => {
      this.submitters.set(requestId, resolve);
      loop.post({
        type: 'work-submitted',
        request,
        body: body.toString('utf8'),
        remainingMs,
      });
    });
    return refusal === undefined
      ? toJsonResponse({requestId}, ACCEPTED_STATUS)
      : this.answerRefusal(refusal, requestId);
  }

  /** Answers what became of a piece of work. */
  async query(caller: CallerRequest, requestId: string): Promise<Response> {
    const {context, tools} = this;
    const member = identifyMember(context, tools.authenticator, caller);
    if (member.isErr()) {
      return answerRefusal(context, member.error, requestId);
    }
    const status = await this.queries.ask((query) => {
      context.loop.post({
        type: 'work-queried',
        query,
        requestId,
        member: member.value,
      });
    });
    return this.answerStatus(status, requestId);
  }

  private answerStatus(status: WorkStatus, requestId: RequestId): Response {
    if (status.kind === 'not-found') {
      const detail = 'no work with this identity';
      return this.answerRefusal(
        refuseEarly('unknown-request', detail),
        requestId,
      );
    }
    if (status.kind === 'store-unavailable') {
      const {retryAfterMs} = status;
      const detail = 'the status cannot be read now';
      return this.answerRefusal(
        {code: 'store-unavailable', notRun: false, detail, retryAfterMs},
        requestId,
      );
    }
    const {kind, ...rest} = status;
    const body = {requestId, status: kind, ...rest};
    return toJsonResponse(body, OK_STATUS);
  }

  private answerRefusal(refusal: Refusal, requestId: RequestId): Response {
    const {code, notRun} = refusal;
    this.context.logger.info('work refused', {requestId, code, notRun});
    return toErrorResponse(refusal, requestId);
  }

  private answerSubmitter(
    requestId: RequestId,
    refusal: Refusal | undefined,
  ): void {
    const submitter = this.submitters.get(requestId);
    this.submitters.delete(requestId);
    submitter?.(refusal);
  }
}

const OK_STATUS = 200;
const ACCEPTED_STATUS = 202;
