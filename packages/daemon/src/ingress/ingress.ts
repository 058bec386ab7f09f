import {
  adapterVersionKey,
  type Refusal,
  type RequestDescription,
  type RequestId,
  type ResumeAttemptEffect,
  type SendOutcome,
  type StartAttemptEffect,
} from '@basilworks/core';

import type {DaemonContext} from '../context.js';
import type {AnswerHead, AnswerSink, AnswerSource} from '../lib/answer.js';
import type {Executions} from '../owner/executions.js';
import {unknownOutcome} from '../peers/frames.js';
import type {PeerLinks} from '../peers/peer-links.js';
import type {RunnersOf} from '../runner-table.js';
import {RequestOutcomes, type RequestStatus} from './request-outcomes.js';

/** Who waits for the answer to a model request. */
export interface Requester {
  /** Called once, before any data, with the checked head. */
  head(head: AnswerHead, attempt: AttemptPlace): void;
  /** Returns false to pause until `Ingress.resume` is called. */
  data(chunk: Buffer): boolean;
  /** The answer is whole, or the upstream answered with an error status. */
  finish(status: number): void;
  /** The final negative answer, possibly after some data. */
  refuse(refusal: Refusal): void;
}

/** Where an attempt runs, for resume tokens. */
export interface AttemptPlace {
  readonly attemptId: string;
  readonly server: string;
}

/** A model request with all that the reducer doesn't need to know of it. */
export interface ModelRequest {
  readonly request: RequestDescription;
  readonly body: Buffer;
  readonly remainingMs: number;
}

type Attempt = StartAttemptEffect | ResumeAttemptEffect;

/** A resume of an answer that another connection began. */
export interface ModelResume {
  readonly request: RequestDescription;
  /** Names the execution on its server. */
  readonly executionId: string;
  readonly server: string;
  readonly offsetBytes: number;
  readonly remainingMs: number;
}

/** Model requests of callers that this host holds. */
export class Ingress {
  /** Status of the last requests, for their members. */
  readonly outcomes: RequestOutcomes;
  private readonly requests = new Map<RequestId, OpenRequest>();

  constructor(
    private readonly context: DaemonContext,
    private readonly executions: Executions,
    private readonly peers: PeerLinks,
  ) {
    const {recordEntries} = context.settings.limits;
    this.outcomes = new RequestOutcomes(recordEntries);
  }

  readonly runners: RunnersOf<
    'start-attempt' | 'resume-attempt' | 'cancel-attempt' | 'refuse-request'
  > = {
    'start-attempt': (effect) => {
      this.attempt(effect, undefined);
    },
    'resume-attempt': (effect) => {
      this.attempt(effect, effect.offsetBytes);
    },
    'cancel-attempt': ({requestId, attemptId}) => {
      this.requests.get(requestId)?.cancel(attemptId);
    },
    'refuse-request': ({requestId, refusal}) => {
      const open = this.requests.get(requestId);
      const {code, notRun} = refusal;
      this.close(requestId, {state: 'refused', code, notRun});
      open?.requester.refuse(refusal);
    },
  };

  /** Number of requests that have no final answer yet. */
  get size(): number {
    return this.requests.size;
  }

  /** Submits a request; the requester gets exactly one final answer. */
  submit(
    {request, body, remainingMs}: ModelRequest,
    requester: Requester,
  ): void {
    this.add(new OpenRequest(request, body, requester, 0));
    this.context.loop.post({type: 'request-submitted', request, remainingMs});
  }

  /** Continues an answer; the requester gets the bytes from the offset on. */
  submitResume(
    {request, executionId, server, offsetBytes, remainingMs}: ModelResume,
    requester: Requester,
  ): void {
    const body = Buffer.alloc(0);
    this.add(new OpenRequest(request, body, requester, offsetBytes));
    this.context.loop.post({
      type: 'resume-submitted',
      request,
      attemptId: executionId,
      server,
      offsetBytes,
      remainingMs,
    });
  }

  /** Whether this host gives the answer to a request now. */
  has(requestId: RequestId): boolean {
    return this.requests.has(requestId);
  }

  /** Gives up a request whose requester is gone; it gets no answer. */
  abandon(requestId: RequestId): void {
    const open = this.requests.get(requestId);
    if (open === undefined) {
      return;
    }
    this.close(requestId, {state: 'abandoned'});
    this.context.loop.post({type: 'request-abandoned', requestId});
    open.source?.cancel();
  }

  /** Continues a paused answer. */
  resume(requestId: RequestId): void {
    this.requests.get(requestId)?.source?.resume();
  }

  private attempt(
    effect: Attempt,
    resumeOffsetBytes: number | undefined,
  ): void {
    const {request, attemptId, owner, server, remainingMs} = effect;
    const open = this.requests.get(request.requestId);
    if (open === undefined) {
      return;
    }
    const {settings} = this.context;
    const execution = {
      executionId: attemptId,
      request,
      server,
      from: settings.host,
      remainingMs,
      body: open.body,
      resumeOffsetBytes,
    };
    const sink = new AttemptSink(open, effect, (outcome) => {
      this.attemptEnded(effect, outcome);
    });
    open.attemptId = attemptId;
    open.source =
      owner === settings.host
        ? this.executions.open(execution, sink)
        : this.peers.execute(owner, execution, sink);
    sink.useSource(open.source);
  }

  private attemptEnded(
    {request, attemptId}: Attempt,
    outcome: SendOutcome,
  ): void {
    const {requestId} = request;
    const open = this.requests.get(requestId);
    if (open?.attemptId === attemptId && outcome.kind === 'answered') {
      this.close(requestId, {state: 'answered'});
      open.requester.finish(outcome.status);
    }
    this.context.loop.post({
      type: 'attempt-finished',
      requestId,
      attemptId,
      outcome,
    });
  }

  private add(open: OpenRequest): void {
    const {requestId, member} = open.request;
    this.requests.set(requestId, open);
    this.outcomes.set(member, {requestId, state: 'open'});
    this.context.metrics.countModelRequest(open.request.pool);
    this.context.metrics.openRequests.set(this.requests.size);
  }

  private close(
    requestId: RequestId,
    status: Omit<RequestStatus, 'requestId'>,
  ): void {
    const open = this.requests.get(requestId);
    if (open !== undefined) {
      this.requests.delete(requestId);
      this.outcomes.set(open.request.member, {requestId, ...status});
      this.context.metrics.openRequests.set(this.requests.size);
    }
  }
}

/** One request, over all of its attempts. */
class OpenRequest {
  attemptId = '';
  source: AnswerSource | undefined;
  headSeen = false;

  constructor(
    readonly request: RequestDescription,
    readonly body: Buffer,
    readonly requester: Requester,
    /** Bytes of the whole answer that the caller has. */
    public deliveredBytes: number,
  ) {}

  cancel(attemptId: string): void {
    if (this.attemptId === attemptId) {
      this.source?.cancel();
    }
  }
}

/** Checks the echo of one attempt and passes its bytes to the requester. */
class AttemptSink implements AnswerSink {
  private ended = false;
  private source: AnswerSource | undefined;

  constructor(
    private readonly open: OpenRequest,
    private readonly effect: Attempt,
    private readonly onEnd: (outcome: SendOutcome) => void,
  ) {}

  useSource(source: AnswerSource): void {
    this.source = source;
    if (this.ended) {
      source.cancel();
    }
  }

  head(head: AnswerHead): void {
    if (this.ended) {
      return;
    }
    const {request, attemptId, server} = this.effect;
    if (head.adapter !== request.adapter || head.version !== request.version) {
      this.rejectEcho(head);
      return;
    }
    if (!this.open.headSeen) {
      this.open.headSeen = true;
      this.open.requester.head(head, {attemptId, server});
    }
  }

  data(chunk: Buffer): boolean {
    if (this.ended || !this.open.headSeen) {
      return true;
    }
    this.open.deliveredBytes += chunk.length;
    return this.open.requester.data(chunk);
  }

  end(outcome: SendOutcome): void {
    if (this.ended) {
      return;
    }
    this.ended = true;
    this.onEnd(
      outcome.kind === 'unknown'
        ? {...outcome, deliveredBytes: this.open.deliveredBytes}
        : outcome,
    );
  }

  private rejectEcho(head: AnswerHead): void {
    const expected = adapterVersionKey(this.effect.request);
    const actual = adapterVersionKey(head);
    const detail = `expected ${expected}, the engine ran ${actual}`;
    this.end(unknownOutcome('wrong-echo', detail, 0));
    this.source?.cancel();
  }
}
