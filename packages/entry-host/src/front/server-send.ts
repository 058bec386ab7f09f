import {elapsedMs, type Instant} from '@basilworks/core';
import type {
  AttemptOutcome,
  SendOutcome,
  Server,
  ServerEstimate,
} from '@basilworks/dispatch';

import type {EntryHostContext} from '../context.js';
import {GrowingBuffer} from '../lib/growing-buffer.js';
import {
  applyServerNotice,
  type ExchangeHandle,
  headerValue,
  type ResponseHead,
  type ServerPath,
  UpstreamError,
  type UpstreamPools,
} from '../upstream/index.js';
import {
  type CallerRequest,
  type SendDetails,
  serializeRequestHead,
} from './caller-request.js';
import {
  estimateLogFields,
  type EstimateLogFields,
  estimateSend,
  readPromptTokens,
} from './send-estimate.js';
import {StreamTiming, type StreamTimingLogFields} from './stream-timing.js';

/** Receives the answer to a send once it is known to be from the server. */
export interface SendObserver {
  head(head: ResponseHead): void;
  data(chunk: Buffer): void;
}

export type SendResult =
  | {readonly type: 'answered'}
  | {
      readonly type: 'no-answer';
      readonly outcome: SendOutcome;
      readonly detail: string;
      /** Status of a "not run" answer, if there was one. */
      readonly status: number | undefined;
      /** Why the exchange failed; undefined for a "not run" answer. */
      readonly error?: UpstreamError;
    }
  /** The server ran the request and answered with a failure. */
  | {
      readonly type: 'failure';
      readonly head: ResponseHead;
      readonly body: Buffer;
    };

/** Statuses which assert that a request has not run and never will. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

/** Largest body of a failure that is buffered, or of a refusal, bytes. */
const MAXIMUM_FAILURE_BYTES = 65_536;

/** Share of a server's connections that is split evenly among all hosts. */
const CONNECTION_SHARE = 0.85;

/**
 * Time without any answer after which a cancelled request counts as failed,
 * milliseconds.
 */
const UNANSWERED_FAILURE_MS = 1_500;

/** Whether an attempt counts as failed; outcomes not listed don't count. */
const FAILED_BY_OUTCOME: Readonly<Partial<Record<AttemptOutcome, boolean>>> = {
  served: false,
  failed: true,
  unreachable: true,
};

/**
 * Flow control and cancellation of a send. A slow caller pauses its server's
 * stream; a caller that reads nothing is disconnected.
 */
export interface SendControl {
  pause(): void;
  resume(): void;
  cancel(): void;
}

/** Log fields of a send: the state at its server's selection, and its delay. */
export interface SendLogFields
  extends EstimateLogFields, StreamTimingLogFields {
  /** Revision of the server's entry at the selection. */
  readonly entryRevision: number;
  /** Revision and age of the view of all servers at the selection. */
  readonly viewRevision: number;
  readonly viewAgeMs: number;
  /** Age of the view of adapter versions at the first byte. */
  readonly versionViewAgeMs: number | undefined;
  /** Request rate limit that the server had reported, if any. */
  readonly requestsPerSecond: number | undefined;
  /** Time from the selection to the first byte; undefined if none was sent. */
  readonly delayMs: number | undefined;
  /** Time from the selection to the first event; undefined if none came. */
  readonly startedMs: number | undefined;
  /** How the server was reached; undefined if it was not. */
  readonly path: ServerPath | undefined;
  /** Whether only the end of the connection marked the end of the answer. */
  readonly endsWithConnection: boolean | undefined;
  /** Body bytes that came from the server. */
  readonly answerBytes: number;
}

/** One send of a request to one server. */
export class ServerSend implements SendControl {
  private handle: ExchangeHandle | undefined;
  private headReceived = false;
  private timing: StreamTiming | undefined;
  private mode: 'pending' | 'pass-on' | 'failure' | 'refused' = 'pending';
  private head: ResponseHead | undefined;
  /** The body of a failure. */
  private readonly failureBody = new GrowingBuffer();
  private refusalBytes = 0;
  private answerBytes = 0;
  private cancelled = false;
  private withdrawn = false;
  private answerStarted = false;
  private settle: (result: SendResult) => void = () => undefined;
  private readonly selectedAt: Instant;
  private readonly selectionLogFields: Omit<
    SendLogFields,
    | 'answerBytes'
    | 'delayMs'
    | 'endsWithConnection'
    | 'path'
    | 'startedMs'
    | 'versionViewAgeMs'
  >;
  private estimate: ServerEstimate | undefined;
  private delayMs: number | undefined;
  private versionViewAgeMs: number | undefined;
  private firstDataAt: Instant | undefined;

  constructor(
    private readonly context: EntryHostContext,
    private readonly pools: UpstreamPools,
    private readonly server: Server,
    private readonly maximumConnections: number,
    /** Whether a permit was granted under the server's request rate limit. */
    private readonly permitted: boolean,
    private readonly observer: SendObserver,
    /** Whether the caller may still be served; checked at the first byte. */
    private readonly mayStillSend: () => boolean = () => true,
  ) {
    const {views, clock} = context;
    this.selectedAt = clock.now();
    this.selectionLogFields = {
      entryRevision: server.revision,
      viewRevision: views.revision('servers'),
      viewAgeMs: Math.round(views.ageMs('servers', this.selectedAt)),
      requestsPerSecond: server.notices.requestsPerSecond,
    };
  }

  get logFields(): SendLogFields {
    return {
      ...this.selectionLogFields,
      ...estimateLogFields(this.estimate),
      ...this.timingLogFields,
      delayMs: this.delayMs,
      versionViewAgeMs: this.versionViewAgeMs,
      startedMs:
        this.firstDataAt === undefined
          ? undefined
          : Math.round(elapsedMs(this.selectedAt, this.firstDataAt)),
      path: this.handle?.path,
      endsWithConnection: this.head?.endsWithConnection,
      answerBytes: this.answerBytes,
    };
  }

  /** When the first event, or the first bytes of a body, came from the server. */
  get startedAt(): Instant | undefined {
    return this.firstDataAt;
  }

  /** Whether only the end of the connection marked the end of the answer. */
  get endedWithConnection(): boolean {
    return this.head?.endsWithConnection ?? false;
  }

  get timingLogFields(): StreamTimingLogFields {
    return this.timing?.logFields ?? {};
  }

  /** Sends the request; resolves when its answer is complete or has failed. */
  run(request: CallerRequest, details: SendDetails): Promise<SendResult> {
    const {platform, membership, clock, promptReports} = this.context;
    const headerNames = platform.forwarding.headers;
    const {health} = this.server;
    const sentAt = clock.now();
    const hosts = Math.max(1, membership.live().length);
    const connectionLimit =
      (this.maximumConnections * CONNECTION_SHARE) / hosts;
    this.estimate = estimateSend(this.context, this.server, request);
    this.answerStarted = details.answerStarted ?? false;
    const {announcedAs, gapTargetMs} = details;
    const observed = {server: this.server.key, announcedAs, gapTargetMs};
    const timing = new StreamTiming(promptReports, observed, sentAt);
    this.timing = timing;
    return new Promise((resolve) => {
      health.recordSent(sentAt);
      this.settle = (result) => {
        timing.end();
        this.recordLongestGap(timing);
        const attemptOutcome = this.classify(result);
        const at = clock.now();
        health.recordEnd(attemptOutcome, !this.headReceived, at);
        this.recordTally(attemptOutcome, elapsedMs(sentAt, at), at);
        resolve(result);
      };
      const handle = this.pools.poolFor(this.server).start(
        {
          method: request.method,
          head: serializeRequestHead(request, headerNames, details),
          body: request.body,
          requestId: request.id,
        },
        Math.max(2, Math.floor(connectionLimit)),
        {
          mayWrite: () => this.mayWrite(),
          head: (head) => {
            const at = clock.now();
            this.recordPath(at);
            this.headReceived = true;
            const waitedMs = at.monotonicMs - sentAt.monotonicMs;
            this.recordResponse(request, head, waitedMs, at);
            applyServerNotice(this.context, this.server, head, sentAt);
            this.handleHead(head);
          },
          data: (chunk) => {
            const at = clock.now();
            this.answerBytes += chunk.length;
            if (this.mode === 'pass-on') {
              this.firstDataAt ??= at;
            }
            health.recordActivity(at);
            this.recordPath(at);
            const gapMs = timing.recordChunk(at);
            if (gapMs !== undefined) {
              health.recordGap(gapMs, at);
            }
            this.handleData(chunk);
          },
          end: () => {
            this.finish();
          },
          failed: (error) => {
            this.fail(error);
          },
        },
      );
      if (handle instanceof UpstreamError) {
        this.fail(handle);
      } else {
        this.handle = handle;
      }
    });
  }

  pause(): void {
    this.timing?.pause();
    this.handle?.pause();
  }

  resume(): void {
    this.handle?.resume();
  }

  /**
   * Cancels the send before its answer, for a reason that says nothing of the
   * server.
   */
  withdraw(): void {
    this.withdrawn = true;
    this.cancel();
  }

  /** Cancels the send and closes its connection. */
  cancel(): void {
    this.cancelled = true;
    this.handle?.cancel();
  }

  /**
   * Whether the first byte may be written: the server still accepts requests
   * and the caller may still be served. If so, records the time since the
   * selection.
   */
  private mayWrite(): boolean {
    const {clock, views, metrics, servers} = this.context;
    const at = clock.now();
    const {requestsPerSecond} = this.server.notices;
    const limited = requestsPerSecond !== undefined && !this.permitted;
    if (limited || !servers.isOpen(this.server, at) || !this.mayStillSend()) {
      return false;
    }
    const {service} = this.server.entry;
    const delayMs = elapsedMs(this.selectedAt, at);
    this.delayMs = Math.round(delayMs);
    this.versionViewAgeMs = Math.round(views.ageMs('adapter-versions', at));
    metrics.sendDelaySeconds.observe({service}, delayMs / 1_000);
    metrics.sendViewAgeSeconds.observe(views.ageMs('servers', at) / 1_000);
    return true;
  }

  private handleHead(head: ResponseHead): void {
    const {headers} = this.context.platform.forwarding;
    const value = (name: string) =>
      headerValue(head.rawHeaders, name.toLowerCase());
    this.head = head;
    const success = head.status >= 200 && head.status < 300;
    if (value(headers.notRun) !== undefined || head.status === 421) {
      this.mode = 'refused';
    } else if (success || (head.status < 500 && !this.answerStarted)) {
      const fromServer =
        value(headers.signature) !== undefined &&
        value('content-encoding') === undefined;
      if (success && !fromServer) {
        // Not from the addressed server, which signs what it answers.
        this.handle?.cancel();
        return;
      }
      this.mode = NOT_RUN_STATUSES.has(head.status) ? 'failure' : 'pass-on';
      if (this.mode === 'pass-on') {
        this.observer.head(head);
      }
    } else {
      this.mode = 'failure';
    }
  }

  private handleData(chunk: Buffer): void {
    if (this.mode === 'pass-on') {
      this.observer.data(chunk);
      return;
    }
    if (this.mode === 'failure') {
      this.failureBody.append(chunk);
    } else {
      this.refusalBytes += chunk.length;
    }
    if (this.failureBody.length + this.refusalBytes > MAXIMUM_FAILURE_BYTES) {
      // A truncated body would look complete to the caller.
      this.handle?.cancel();
    }
  }

  private finish(): void {
    const {head} = this;
    const status = head?.status;
    if (head !== undefined && this.mode === 'failure') {
      this.settle({
        type: 'failure',
        head,
        body: this.failureBody.take(),
      });
    } else if (this.mode === 'refused') {
      const detail = `the server refused with ${status ?? 0}`;
      this.settle({type: 'no-answer', outcome: 'not-run', detail, status});
    } else {
      this.settle({type: 'answered'});
    }
  }

  private fail(error: UpstreamError): void {
    // A request that was withheld says nothing about the server's health.
    this.cancelled ||= error.reason === 'withheld';
    const detail = `${error.reason}: ${error.message}`;
    const outcome = !error.sent
      ? 'not-sent'
      : this.mode === 'refused'
        ? 'not-run'
        : 'unknown';
    const status = this.head?.status;
    this.settle({type: 'no-answer', outcome, detail, status, error});
  }

  /** Records that the server sent something, if it is reached directly. */
  private recordPath(at: Instant): void {
    if (this.handle?.path === 'direct') {
      this.context.paths.recordActivity(this.server, at);
    }
  }

  private classify(result: SendResult): AttemptOutcome {
    const unreached = result.type === 'no-answer' && result.error !== undefined;
    const {service} = this.server.entry;
    // A host that is cut from all servers can't tell which of them fail.
    if (
      this.cancelled ||
      (unreached && this.context.paths.isCutFrom(service))
    ) {
      return 'cancelled';
    }
    if (result.type === 'answered') {
      return 'served';
    }
    if (result.type === 'failure') {
      return 'failed';
    }
    if (result.outcome === 'not-sent') {
      return 'unreachable';
    }
    if (result.outcome === 'not-run') {
      return result.status === 421 && this.answeredByAnotherServer()
        ? 'misdirected'
        : 'refused';
    }
    return 'failed';
  }

  /** Records the attempt in the tallies that hosts share about the server. */
  private recordTally(
    attemptOutcome: AttemptOutcome,
    durationMs: number,
    at: Instant,
  ): void {
    const {entry, key} = this.server;
    const unanswered = !this.headReceived && durationMs > UNANSWERED_FAILURE_MS;
    const failed =
      attemptOutcome === 'cancelled'
        ? unanswered || undefined
        : FAILED_BY_OUTCOME[attemptOutcome];
    const isBlameless =
      this.withdrawn || this.context.paths.isImpairedFor(entry.service);
    if (failed !== undefined && !(failed && isBlameless)) {
      this.context.tallies.record(entry.service, key, failed, at);
    }
  }

  private recordLongestGap({longestGapShare}: StreamTiming): void {
    if (longestGapShare !== undefined) {
      const {service} = this.server.entry;
      const {longestGapRatio} = this.context.metrics;
      longestGapRatio.observe({service}, longestGapShare);
    }
  }

  /** Whether a different server answered at this address. */
  private answeredByAnotherServer(): boolean {
    const {serverId} = this.context.platform.forwarding.headers;
    const id = headerValue(this.head?.rawHeaders ?? [], serverId.toLowerCase());
    return id !== undefined && id !== this.server.entry.id;
  }

  /** Records what an answer shows of the speed and load of its server. */
  private recordResponse(
    request: CallerRequest,
    head: ResponseHead,
    waitedMs: number,
    at: Instant,
  ): void {
    const {health, entry} = this.server;
    const load = this.parseLoad(head);
    const served = head.status >= 200 && head.status < 300;
    const work =
      load?.slowness === undefined || !served
        ? undefined
        : {
            promptTokens: readPromptTokens(this.context, request),
            slots: entry.slots,
          };
    health.recordResponse(waitedMs, load, at, work);
    if (served && this.estimate !== undefined) {
      this.context.metrics.estimateRatio.observe(
        {service: entry.service},
        waitedMs / Math.max(1, this.estimate.firstMs),
      );
    }
  }

  private parseLoad(head: ResponseHead) {
    const {forwarding} = this.context.platform;
    const text = headerValue(
      head.rawHeaders,
      forwarding.headers.serverLoad.toLowerCase(),
    );
    const load = text === undefined ? undefined : forwarding.parseLoad(text);
    if (load?.slowness !== undefined) {
      // A server that reports slowness shares its machine with others, which
      // may slow it down: attempts at its service are tallied.
      this.context.tallies.watch(this.server.entry.service);
    }
    return load;
  }
}
