import {elapsedMs, type Instant} from '@basilworks/core';
import {
  type Caller,
  isRepeatable,
  nextStep,
  QUARANTINE_MS,
  retryAfterS,
  type RetryBudget,
  type Route,
  type SendOutcome,
  type Server,
  type Service,
} from '@basilworks/dispatch';

import type {EntryHostContext} from '../context.js';
import {
  type CloseEvidence,
  type CrashGuard,
  requestKeys,
} from '../crashes/index.js';
import {
  headerValue,
  type ResponseHead,
  UpstreamError,
  type UpstreamPools,
} from '../upstream/index.js';
import type {CallerAnswer} from './caller-answer.js';
import {
  type CallerAuthenticator,
  UNCONFIRMED_RETRY_MS,
} from './caller-authenticator.js';
import {type CallerRequest, endToEndHeaders} from './caller-request.js';
import type {StreamVersionGuard} from '../streams/index.js';
import {describeError} from '../lib/describe-error.js';
import {GrowingBuffer} from '../lib/growing-buffer.js';
import {
  EventBoundaries,
  EventSplitter,
  EventTooLongError,
} from './event-splitter.js';
import type {RequestBufferTracker} from './request-buffer-tracker.js';
import {type SendResult, ServerSend} from './server-send.js';
import type {Selection, ServerSelector} from './server-selection.js';
import {StreamContinuation} from './stream-continuation.js';

/** Dependencies of a request handler. */
export interface RequestHandlerParts {
  readonly context: EntryHostContext;
  readonly pools: UpstreamPools;
  readonly selector: ServerSelector;
  readonly budget: RetryBudget;
  readonly crashes: CrashGuard;
  readonly streams: StreamVersionGuard;
  readonly authenticator: Pick<CallerAuthenticator, 'mayStillSend'>;
}

/** Statuses which assert that a request has not run and never will. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

/** Largest plain answer that is buffered until it is complete, bytes. */
const MAXIMUM_BUFFERED_BYTES = 262_144;

/** Incomplete events up to this size are not counted as buffered, bytes. */
const UNCOUNTED_EVENT_BYTES = 16_384;

/** Ends requests whose keys may have been revoked in the meantime. */
const KEY_UNCONFIRMED = {
  type: 'none',
  reason: 'the key is not known to be valid any more',
  retryAfterMs: UNCONFIRMED_RETRY_MS,
} as const;

/** Ends requests that take up a stream of which no host knows the origin. */
const UNKNOWN_STREAM = {
  type: 'none',
  reason: 'the software version that began its stream is not known',
  retryAfterMs: UNCONFIRMED_RETRY_MS,
} as const;

/**
 * What must be found of a server for its answer without a length to count as
 * broken off. A server that leaves may end with a stream in progress; a plain
 * answer is usually written at once, so that its end is taken for the planned one.
 */
const UNFINISHED_AFTER = {
  plain: new Set<CloseEvidence>(['gone']),
  stream: new Set<CloseEvidence>(['gone', 'leaving']),
} as const;

/** Number of the latest handler; makes the names of timers unique. */
let serial = 0;

/** Serves one request, from server selection to the final answer. */
export class RequestHandler {
  private readonly abort = new AbortController();
  private readonly tried = new Set<string>();
  private readonly splitter = new EventSplitter();
  /** Shows whether a stream that is passed on as it comes is within an event. */
  private readonly boundaries = new EventBoundaries();
  /** The plain answer so far, until it is complete or passed on. */
  private readonly buffered = new GrowingBuffer();
  private countedEventBytes = 0;
  private readonly timer = `run/${(serial += 1)}`;
  private bufferedHead: ResponseHead | undefined;
  private send: ServerSend | undefined;
  private latestSend: ServerSend | undefined;
  private sends = 0;
  private runs = 0;
  private lastEventId: string | undefined;
  /** Details of the latest send, for the log. */
  private lastServer: string | undefined;
  private lastSelectionReason: string | undefined;
  private lastSentMs: number | undefined;
  private lastPromptWaitMs: number | undefined;
  private lastCloseEvidence: CloseEvidence | undefined;
  private finished = false;
  private abandoned = false;
  private possiblyRan = false;
  private outcome = 'open';
  private headAt: Instant | undefined;
  private requestKeys: readonly string[] | undefined;
  /** Keeps a resumable stream at one software version. */
  private readonly continuation: StreamContinuation | undefined;
  /** How the latest send ended, while it is checked. */
  private uncheckedEnd: SendResult | undefined;
  /** Server of the latest send. */
  private sentTo: Server | undefined;

  constructor(
    private readonly parts: RequestHandlerParts,
    private readonly request: CallerRequest,
    private readonly route: Route,
    private readonly service: Service,
    private readonly answer: CallerAnswer,
    private readonly buffers: RequestBufferTracker,
    private readonly caller: Caller,
  ) {
    if (route.kind === 'stream' && isRepeatable(route)) {
      this.continuation = new StreamContinuation(parts.streams, {
        service: service.name,
        requestId: request.id,
        resumes: this.callerHeader('resumes'),
        takesUp: this.callerHeader('lastEventId') !== undefined,
      });
    }
  }

  /** Whether the request ran at a server, or may have. */
  get mayHaveRun(): boolean {
    return this.possiblyRan;
  }

  /** Resolves when the final answer is written or the caller has left. */
  async run(): Promise<void> {
    const {timers, clock} = this.parts.context;
    this.parts.budget.deposit(clock.now());
    this.answer.onAbandoned(() => {
      this.abandoned = true;
      this.cancel('abandoned by its caller');
    });
    this.buffers.onDisconnect((reason) => {
      this.cancel(`cut: ${reason}`);
    });
    this.answer.onDrain(() => {
      this.buffers.resumeSource();
    });
    timers.after(this.timer, this.remainingMs(), () => {
      this.handleTimeout();
    });
    const unsubscribe = this.parts.crashes.onQuarantine(() => {
      this.handleQuarantine();
    });
    try {
      await this.serve();
    } catch (error) {
      this.failUnexpectedly(error);
    } finally {
      unsubscribe();
      timers.cancel(this.timer);
      this.buffers.recordRequestEnd();
    }
  }

  /** Sends the request until it has its final answer. */
  private async serve(): Promise<void> {
    if (!(await this.mayGoOn()) && !this.isFinished()) {
      this.endWithoutServer(UNKNOWN_STREAM);
    }
    while (!this.finished) {
      const key = this.quarantinedKey();
      if (key !== undefined) {
        this.endWithoutServer(inQuarantine(key));
        break;
      }
      if (!this.mayStillSend()) {
        this.countUnconfirmed();
        this.endWithoutServer(KEY_UNCONFIRMED);
        break;
      }
      const selection = await this.select();
      if (this.isFinished()) {
        break;
      }
      if (selection.type === 'none') {
        this.endWithoutServer(selection);
        break;
      }
      const mayBegin = await this.announceStream(selection.server);
      if (this.isFinished() || !mayBegin) {
        this.parts.selector.withdrawPrompt(selection);
        continue;
      }
      const result = await this.sendTo(selection);
      this.possiblyRan ||= mayHaveRun(result);
      if (this.isFinished()) {
        break;
      }
      this.handleResult(result, selection);
    }
  }

  /** Whether it is known where a stream that is taken up may go on. */
  private async mayGoOn(): Promise<boolean> {
    const {continuation} = this;
    if (continuation?.takesUp !== true) {
      return true;
    }
    const mayGoOn = await continuation.find();
    this.parts.context.logger.info('stream taken up', {
      requestId: this.request.id,
      ...continuation.logFields,
      elapsedMs: this.elapsedMs(),
    });
    return mayGoOn;
  }

  /** Whether a resumable stream may begin at a server, as others know of it. */
  private announceStream(server: Server): Promise<boolean> {
    return this.continuation?.announce(server) ?? Promise.resolve(true);
  }

  /** Ends one request for a fault that no type describes, and logs it. */
  private failUnexpectedly(error: unknown): void {
    const {logger} = this.parts.context;
    logger.error('request handling failed', {
      requestId: this.request.id,
      server: this.lastServer,
      error: describeError(error),
    });
    this.send?.cancel();
    if (this.finished) {
      // The answer itself could not be written.
      this.answer.abort();
    } else {
      this.fail(502, 'an unexpected fault');
    }
  }

  private isFinished(): boolean {
    return this.finished;
  }

  private countUnconfirmed(): void {
    if (this.caller.type === 'tenant') {
      const {name: tenant} = this.caller.tenant;
      const {tenantRequests} = this.parts.context.metrics;
      tenantRequests.inc({tenant, outcome: 'unconfirmed'});
    }
  }

  private mayStillSend(): boolean {
    return this.parts.authenticator.mayStillSend(this.caller);
  }

  private select(): Promise<Selection> {
    const {clock} = this.parts.context;
    const elapsed = elapsedMs(this.request.arrivedAt, clock.now());
    return this.parts.selector.select({
      request: this.request,
      route: this.route,
      service: this.service,
      remainingMs: this.remainingMs(),
      patienceMs: this.patienceMs(elapsed),
      latencyBudgetMs: this.route.latencyTargetMs - elapsed,
      tried: this.tried,
      firstSend: this.sends === 0,
      allows: this.continuation === undefined ? undefined : this.allowsServer,
      signal: this.abort.signal,
    });
  }

  private async sendTo({
    server,
    version,
    reason,
    permitted,
    announcedAs,
    promptWaitMs,
  }: Selection & {type: 'server'}): Promise<SendResult> {
    const {context, pools} = this.parts;
    this.sends += 1;
    this.sentTo = server;
    this.lastServer = server.entry.id;
    this.lastSelectionReason = reason;
    this.lastSentMs = this.elapsedMs();
    this.lastPromptWaitMs =
      promptWaitMs === undefined ? undefined : Math.round(promptWaitMs);
    this.tried.add(server.key);
    this.splitter.reset();
    this.countIncompleteEvent();
    this.boundaries.reset();
    this.buffered.take();
    this.bufferedHead = undefined;
    this.lastCloseEvidence = undefined;
    const {versionGuard} = this.parts.selector;
    const tracked = {
      requestId: this.request.id,
      model: this.request.model,
      version,
      server,
      priority: this.route.priority,
    };
    const send: ServerSend = new ServerSend(
      context,
      pools,
      server,
      this.service.maximumConnections,
      permitted,
      {
        head: (head) => {
          this.handleHead(head);
        },
        data: (chunk) => {
          endTracking();
          this.handleData(chunk);
        },
      },
      () =>
        this.mayStillSend() &&
        this.quarantinedKey() === undefined &&
        this.parts.selector.isCurrent(this.request, {server, version}),
    );
    const endTracking = versionGuard.track({
      ...tracked,
      withdraw: () => {
        send.withdraw();
      },
    });
    this.send = send;
    this.latestSend = send;
    this.parts.selector.requestStarted(this.request, server);
    const sentAt = context.clock.now();
    const end = await send.run(this.request, {
      serverId: server.entry.id,
      remainingMs: this.remainingMs(),
      version,
      priority: Math.min(
        this.route.priority,
        context.platform.forwarding.lowestPriority,
      ),
      lastEventId: this.lastEventId,
      answerStarted: this.answer.headersSent,
      announcedAs,
      gapTargetMs: this.route.eventGapMs,
      caller: this.caller,
    });
    endTracking();
    const result = await this.confirmEnd(end, send, server);
    this.send = undefined;
    this.buffers.clearSource();
    this.parts.selector.requestEnded(this.request, server);
    const outcome = result.type === 'no-answer' ? result.outcome : result.type;
    this.recordEvidence(result, send, server, sentAt);
    context.metrics.sends.inc({service: this.service.name, end: outcome});
    context.logger.info('send ended', {
      requestId: this.request.id,
      server: server.entry.id,
      softwareVersion: server.entry.softwareVersion,
      resumes: this.callerHeader('resumes'),
      chosen: reason,
      ...send.logFields,
      ...versionGuard.logFields(tracked, send.startedAt),
      closeEvidence: this.lastCloseEvidence,
      load: server.health.load(context.clock.now()),
      end: outcome,
      status: statusOf(result),
      detail: result.type === 'no-answer' ? result.detail : undefined,
      keys: isInterrupted(result) ? this.keys().join(',') : undefined,
      elapsedMs: this.elapsedMs(),
    });
    return result;
  }

  /**
   * Finds out whether an answer that ended with its connection is complete. It
   * broke off if a stream ended within an event, or if the server is gone.
   */
  private async confirmEnd(
    end: SendResult,
    send: ServerSend,
    server: Server,
  ): Promise<SendResult> {
    if (end.type === 'no-answer' || !send.endedWithConnection) {
      return end;
    }
    const isWithinEvent =
      end.type === 'answered' &&
      this.route.kind === 'stream' &&
      (this.splitter.pendingBytes > 0 || this.boundaries.pendingBytes > 0);
    if (isWithinEvent) {
      return brokenOff('the stream ended within an event');
    }
    this.uncheckedEnd = end;
    this.lastCloseEvidence = await this.parts.crashes.checkClose(server);
    this.uncheckedEnd = undefined;
    const {plain, stream} = UNFINISHED_AFTER;
    const unfinished = this.route.kind === 'stream' ? stream : plain;
    return unfinished.has(this.lastCloseEvidence)
      ? brokenOff('the server was gone after the end of its connection')
      : end;
  }

  /** Records what the end of a send shows of crashes and their causes. */
  private recordEvidence(
    result: SendResult,
    send: ServerSend,
    server: Server,
    sentAt: Instant,
  ): void {
    const {crashes} = this.parts;
    const details = () => ({
      requestId: this.request.id,
      keys: this.keys(),
      sentAt,
    });
    if (isInterrupted(result)) {
      crashes.recordInterrupted(server, details());
    } else if (result.type === 'no-answer') {
      if (result.error?.connectionRefused === true) {
        crashes.recordUnreachable(server);
      }
    } else if (send.endedWithConnection) {
      crashes.recordClosed(server, details());
    } else {
      crashes.recordCompleted(this.keys());
    }
  }

  private keys(): readonly string[] {
    this.requestKeys ??= requestKeys(this.parts.context.platform, this.request);
    return this.requestKeys;
  }

  private readonly allowsServer = (server: Server): boolean =>
    this.continuation?.allows(server) ?? true;

  private callerHeader(name: 'lastEventId' | 'resumes'): string | undefined {
    const {headers} = this.parts.context.platform.forwarding;
    return headerValue(this.request.rawHeaders, headers[name].toLowerCase());
  }

  private quarantinedKey(): string | undefined {
    return this.parts.crashes.quarantined(() => this.keys());
  }

  /**
   * Refuses the request if it waits for a server and must not be sent, and takes
   * it back from a server that has not begun to answer it.
   */
  private handleQuarantine(): void {
    const key = this.finished ? undefined : this.quarantinedKey();
    const {send} = this;
    if (key === undefined) {
      return;
    }
    if (send === undefined) {
      this.endWithoutServer(inQuarantine(key));
      this.abort.abort();
    } else if (send.startedAt === undefined) {
      this.parts.context.logger.info('request withdrawn from its server', {
        requestId: this.request.id,
        server: this.lastServer,
        reason: `${key} crashes servers`,
      });
      send.withdraw();
    }
  }

  private handleResult(
    result: SendResult,
    selection: Selection & {type: 'server'},
  ): void {
    if (result.type === 'answered') {
      this.complete();
      return;
    }
    const outcome: SendOutcome =
      result.type === 'failure' ? 'failed' : result.outcome;
    if (outcome === 'failed' || outcome === 'unknown') {
      this.runs += 1;
    }
    if (outcome === 'not-run' && result.type === 'no-answer') {
      const {server} = selection;
      const {selector} = this.parts;
      if (result.status === 421) {
        selector.markAdapterAbsent(this.request, server);
      }
      if (
        result.status === 421 ||
        !selector.isCurrent(this.request, selection)
      ) {
        // The adapter, or its newer version, may be resident by the next
        // attempt.
        this.tried.delete(server.key);
      }
    }
    const {budget, context} = this.parts;
    const at = context.clock.now();
    const hosts = context.membership.live().length;
    const step = nextStep(
      outcome,
      {
        route: this.route,
        sends: this.sends,
        runs: this.runs,
        remainingMs: this.remainingMs(),
        answerStarted: this.answer.headersSent,
      },
      () => budget.withdraw(hosts, at),
    );
    if (step === 'send-again') {
      return;
    }
    if (step === 'refuse') {
      this.refuse('refused by servers', 0);
    } else if (step === 'pass-on-failure' && result.type === 'failure') {
      this.passOnFailure(result.head, result.body);
    } else {
      this.fail(502, 'no answer from its server');
    }
  }

  private handleHead(head: ResponseHead): void {
    if (this.finished) {
      return;
    }
    this.headAt = this.parts.context.clock.now();
    if (this.answer.headersSent) {
      // A resumed stream keeps the head that its first server sent.
      return;
    }
    if (this.route.kind === 'stream') {
      this.beginAnswer(head);
    } else {
      this.bufferedHead = head;
    }
  }

  private beginAnswer(head: ResponseHead): void {
    const {status, endsWithConnection} = head;
    if (endsWithConnection) {
      this.parts.context.logger.info('answer ends with its connection', {
        requestId: this.request.id,
        server: this.lastServer,
      });
    }
    this.answer.begin(status, callerHeaders(head));
  }

  private handleData(chunk: Buffer): void {
    if (this.finished) {
      return;
    }
    if (this.route.kind !== 'stream') {
      this.bufferChunk(chunk);
    } else if (isRepeatable(this.route)) {
      for (const {id, bytes} of this.splitter.feed(chunk)) {
        this.lastEventId = id ?? this.lastEventId;
        if (this.sentTo !== undefined) {
          this.continuation?.recordEvent(this.sentTo);
        }
        this.writeToCaller(bytes);
      }
      this.countIncompleteEvent();
    } else {
      if (this.send?.endedWithConnection === true) {
        this.boundaries.feed(chunk);
      }
      this.writeToCaller(chunk);
    }
  }

  /**
   * Counts the incomplete event of a stream as buffered.
   *
   * @throws EventTooLongError if the host has no memory for it.
   */
  private countIncompleteEvent(): void {
    const {pendingBytes} = this.splitter;
    const counted = pendingBytes > UNCOUNTED_EVENT_BYTES ? pendingBytes : 0;
    if (counted === this.countedEventBytes) {
      return;
    }
    this.countedEventBytes = counted;
    this.buffers.setAnswerBytes(counted);
    if (counted > 0 && !this.buffers.canBufferWholeAnswers) {
      this.splitter.reset();
      throw new EventTooLongError('no memory for an incomplete event');
    }
  }

  private writeToCaller(chunk: Buffer): void {
    if (!this.answer.write(chunk) && this.send !== undefined) {
      this.buffers.pauseSource(this.send);
    }
  }

  /**
   * Buffers a plain answer until it is complete, so that the request can be
   * sent again if the answer breaks off. Streams it once it is too large or
   * memory is short.
   */
  private bufferChunk(chunk: Buffer): void {
    if (this.bufferedHead === undefined) {
      this.writeToCaller(chunk);
      return;
    }
    this.buffered.append(chunk);
    const {length} = this.buffered;
    if (
      length <= MAXIMUM_BUFFERED_BYTES &&
      this.buffers.canBufferWholeAnswers
    ) {
      this.buffers.setAnswerBytes(length);
      return;
    }
    const head = this.bufferedHead;
    this.bufferedHead = undefined;
    this.beginAnswer(head);
    this.writeToCaller(this.buffered.take());
    this.buffers.setAnswerBytes(0);
  }

  private complete(): void {
    if (this.bufferedHead !== undefined) {
      const {bufferedHead} = this;
      this.finish('answered', bufferedHead.status);
      this.answer.send(
        bufferedHead.status,
        callerHeaders(bufferedHead),
        this.buffered.take(),
        bufferedHead.endsWithConnection,
      );
      return;
    }
    this.finish('answered', 200);
    this.continuation?.recordEnd();
    this.answer.end();
  }

  private passOnFailure(head: ResponseHead, body: Buffer): void {
    if (this.answer.headersSent) {
      this.fail(502, 'a resumed stream failed');
      return;
    }
    if (NOT_RUN_STATUSES.has(head.status)) {
      // Passing on a status without the server's signature would assert that
      // the request has not run.
      this.fail(502, `the server answered ${head.status} without a proof`);
      return;
    }
    this.finish('failed by its server', head.status);
    const {status, endsWithConnection} = head;
    this.answer.send(status, callerHeaders(head), body, endsWithConnection);
  }

  private endWithoutServer({
    reason,
    retryAfterMs: waitMs,
  }: Selection & {
    type: 'none';
  }): void {
    if (this.runs === 0 && !this.answer.headersSent) {
      this.refuse(reason, waitMs);
    } else {
      this.fail(502, reason);
    }
  }

  private refuse(reason: string, expectedWaitMs: number): void {
    const {random} = this.parts.context;
    this.finish('refused', 503, reason);
    this.answer.send(
      503,
      ['Retry-After', retryAfterS(expectedWaitMs, this.remainingMs(), random)],
      Buffer.alloc(0),
    );
  }

  private fail(status: number, reason: string): void {
    this.finish('failed', status, reason);
    if (this.answer.headersSent) {
      this.answer.abort();
    } else {
      this.answer.send(status, [], Buffer.alloc(0));
    }
  }

  private handleTimeout(): void {
    if (this.finished) {
      return;
    }
    const mayBeAtServer = this.runs > 0 || this.send !== undefined;
    const {send, uncheckedEnd} = this;
    if (uncheckedEnd?.type === 'answered' && this.answer.headersSent) {
      // The caller has all of it; the check decides whether that is the end.
      return;
    }
    if (uncheckedEnd?.type === 'answered') {
      // Ready in time; only the check of its end is late.
      this.complete();
    } else if (uncheckedEnd?.type === 'failure') {
      this.passOnFailure(uncheckedEnd.head, uncheckedEnd.body);
    } else if (mayBeAtServer) {
      this.fail(504, 'the time of the route is over');
    } else {
      this.refuse('no server was found in time', 0);
    }
    send?.cancel();
    this.abort.abort();
  }

  private cancel(reason: string): void {
    if (!this.finished) {
      const {send} = this;
      this.finish(this.abandoned ? 'abandoned' : 'failed', 0, reason);
      send?.cancel();
      this.abort.abort();
    }
  }

  private finish(outcome: string, status: number, reason?: string): void {
    this.finished = true;
    this.outcome = outcome;
    const {logger, metrics} = this.parts.context;
    const {name} = this.route;
    metrics.requests.inc({route: name, outcome});
    const headMs =
      this.headAt === undefined
        ? undefined
        : Math.round(elapsedMs(this.request.arrivedAt, this.headAt));
    if (headMs !== undefined) {
      metrics.answerSeconds.observe({route: name}, headMs / 1_000);
    }
    const timing = this.latestSend?.timingLogFields;
    const late =
      (headMs ?? 0) > this.route.latencyTargetMs ||
      (timing?.longestGapMs ?? 0) > (this.route.eventGapMs ?? Infinity);
    const endsWithConnection = this.latestSend?.endedWithConnection ?? false;
    const usual = outcome === 'answered' && !late && !endsWithConnection;
    const level = usual ? 'debug' : 'info';
    logger[level]('request ended', {
      requestId: this.request.id,
      route: name,
      tenant:
        this.caller.type === 'tenant' ? this.caller.tenant.name : undefined,
      model: this.request.model,
      outcome: this.outcome,
      status,
      reason,
      sends: this.sends,
      runs: this.runs,
      server: this.lastServer,
      chosen: this.lastSelectionReason,
      sentMs: this.lastSentMs,
      promptWaitMs: this.lastPromptWaitMs,
      headMs,
      endsWithConnection,
      acceptedBytes: this.answer.acceptedBytes,
      targetMs: this.route.latencyTargetMs,
      ...timing,
      elapsedMs: this.elapsedMs(),
    });
  }

  private elapsedMs(): number {
    const {clock} = this.parts.context;
    return Math.round(elapsedMs(this.request.arrivedAt, clock.now()));
  }

  /** Time left until the caller abandons a stream without events. */
  private patienceMs(elapsed: number): number {
    const {abandonMs = Infinity} = this.route;
    // A resumed stream has sent events until now.
    const patienceMs = this.answer.headersSent
      ? abandonMs
      : abandonMs - elapsed;
    return Math.max(0, Math.min(this.remainingMs(), patienceMs));
  }

  private remainingMs(): number {
    const {clock} = this.parts.context;
    const limit = Math.min(
      this.route.timeoutMs,
      this.request.callerTimeoutMs ?? Infinity,
    );
    return limit - elapsedMs(this.request.arrivedAt, clock.now());
  }
}

const mayHaveRun = (result: SendResult): boolean =>
  result.type !== 'no-answer' ||
  result.outcome === 'failed' ||
  result.outcome === 'unknown';

/** Result of an answer whose connection ended before the answer did. */
const brokenOff = (detail: string): SendResult => ({
  type: 'no-answer',
  outcome: 'unknown',
  detail,
  status: undefined,
  error: new UpstreamError(true, 'interrupted', detail),
});

const isInterrupted = (result: SendResult): boolean =>
  result.type === 'no-answer' &&
  result.outcome === 'unknown' &&
  result.error?.reason === 'interrupted';

/** Refuses a request that must not be sent to any server. */
const inQuarantine = (key: string) =>
  ({
    type: 'none',
    reason: `${key} crashes servers`,
    retryAfterMs: QUARANTINE_MS,
  }) as const;

/** Status of an answer other than a success, for the log. */
const statusOf = (result: SendResult): number | undefined =>
  result.type === 'failure'
    ? result.head.status
    : result.type === 'no-answer'
      ? result.status
      : undefined;

/** Headers that are dropped because this host frames the answer itself. */
const FRAMING: ReadonlySet<string> = new Set(['content-length']);

const callerHeaders = ({rawHeaders}: ResponseHead): readonly string[] =>
  endToEndHeaders(rawHeaders, FRAMING);
