import type {ServerResponse} from 'node:http';

import {
  issueResumeToken,
  keyRing,
  type Refusal,
  type RequestId,
} from '@basilworks/core';

import type {DaemonContext} from '../context.js';
import {ChunkWriter} from '../http/chunk-writer.js';
import {refuseEarly, toErrorAnswer} from '../http/errors.js';
import type {AnswerHead} from '../lib/answer.js';
import type {AttemptPlace, Ingress, Requester} from './ingress.js';

/** How long an interrupted answer may be continued, milliseconds. */
const RESUME_TOKEN_LIFETIME_MS = 600_000;

/** What identifies the answer to a caller. */
export interface HttpAnswerIdentity {
  readonly requestId: RequestId;
  readonly member: string;
  readonly adapter: string;
  readonly version: string;
  readonly priorityClass: string;
}

/**
 * Writes an answer to a caller's connection as its bytes arrive. A caller that
 * closes the connection, or takes no bytes for `limits.stalledCallerMs`,
 * abandons the request.
 */
export class HttpRequester implements Requester {
  private readonly startedMs: number;
  private readonly writer: ChunkWriter;
  private finished = false;
  private streaming = false;
  private relayedBytes = 0;

  constructor(
    private readonly context: DaemonContext,
    private readonly ingress: Ingress,
    private readonly response: ServerResponse,
    private readonly identity: HttpAnswerIdentity,
  ) {
    this.writer = new ChunkWriter(response, () => {
      context.timers.cancel(this.stallTimer);
      ingress.resume(identity.requestId);
    });
    this.startedMs = context.loop.now().monotonicMs;
    response.on('close', () => {
      this.closed();
    });
  }

  head(head: AnswerHead, place: AttemptPlace): void {
    const {requestId, priorityClass} = this.identity;
    this.streaming = head.contentType.startsWith('text/event-stream');
    const token = this.issueToken(place);
    const {readiness} = this.context;
    this.writer.begin(head.status, {
      'content-type': head.contentType,
      'cache-control': 'no-store',
      'x-request-id': requestId,
      'x-adapter': head.adapter,
      'x-version': head.version,
      ...(token === undefined ? {} : {'x-resume-token': token}),
      ...(readiness.ready ? {} : {connection: 'close'}),
    });
    const {loop, metrics} = this.context;
    metrics.firstByteSeconds.observe(
      {class: priorityClass},
      (loop.now().monotonicMs - this.startedMs) / 1_000,
    );
  }

  data(chunk: Buffer): boolean {
    this.relayedBytes += chunk.length;
    if (this.writer.write(chunk)) {
      return true;
    }
    const {timers, settings} = this.context;
    timers.after(this.stallTimer, settings.limits.stalledCallerMs, () => {
      this.response.destroy();
    });
    return false;
  }

  finish(status: number): void {
    this.finished = true;
    if (this.response.headersSent) {
      this.writer.end();
      this.log('answered', {status});
      return;
    }
    const refused = status >= 400 && status < 500;
    this.refuse({
      code: refused ? 'upstream-refused' : 'upstream-failed',
      notRun: false,
      detail: `the engine answered ${status}`,
    });
  }

  refuse(refusal: Refusal): void {
    this.finished = true;
    const {code, notRun, detail} = refusal;
    this.log('refused', {code, notRun, detail});
    this.writeRefusal(refusal);
  }

  /**
   * Tells a caller of a refusal: as an error answer, or, when a stream has
   * begun, as its last event. Any other answer that has begun is cut, as a
   * clean end would make it look whole.
   */
  private writeRefusal(refusal: Refusal): void {
    const {response, writer} = this;
    const {requestId} = this.identity;
    const {status, headers, body} = toErrorAnswer(refusal, requestId);
    const text = JSON.stringify(body);
    if (!response.headersSent) {
      const contentType = {'content-type': 'application/json'};
      response.writeHead(status, {...contentType, ...headers}).end(text);
    } else if (this.streaming) {
      writer.write(Buffer.from(`\n\nevent: error\ndata: ${text}\n\n`));
      writer.end();
    } else {
      response.destroy();
    }
  }

  private issueToken({attemptId, server}: AttemptPlace): string | undefined {
    const {loop} = this.context;
    const {requestId, member, adapter, version} = this.identity;
    const expiresAtWallMs = loop.now().wallMs + RESUME_TOKEN_LIFETIME_MS;
    const claims = {requestId, executionId: attemptId, server, member, adapter};
    return issueResumeToken(
      {...claims, version, expiresAtWallMs},
      keyRing(loop.state),
    );
  }

  private get stallTimer(): string {
    return `stalled-caller/${this.identity.requestId}`;
  }

  private closed(): void {
    const {timers, metrics} = this.context;
    timers.cancel(this.stallTimer);
    metrics.relayedBytes.inc(this.relayedBytes);
    if (!this.finished) {
      this.finished = true;
      this.log('abandoned by its caller', {});
      this.ingress.abandon(this.identity.requestId);
    }
  }

  private log(
    message: string,
    fields: Readonly<Record<string, string | number | boolean>>,
  ): void {
    const {requestId, member} = this.identity;
    this.context.logger.info(message, {requestId, member, ...fields});
  }
}

/** Refusal of a request above the number that this host holds at once. */
export const tooManyRequests = (): Refusal =>
  refuseEarly('overloaded', 'too many requests at this host', 1_000);
