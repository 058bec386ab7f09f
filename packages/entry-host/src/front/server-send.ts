import {elapsedMs, type Instant} from '@basilworks/core';
import type {
  AttemptOutcome,
  SendOutcome,
  Server,
  ServerEstimate,
} from '@basilworks/dispatch';

import type {EntryHostContext} from '../context.js';
import {
  type ExchangeHandle,
  headerValue,
  type ResponseHead,
  applyServerNotice,
  UpstreamError,
  type UpstreamPools,
} from '../upstream/index.js';
import {
  type CallerRequest,
  type SendDetails,
  writeRequestHead,
} from './caller-request.js';
import {
  estimateSend,
  type EstimateGrounds,
  groundsOf,
  promptTokensOf,
} from './send-estimate.js';

/** Receives the answer to a send, once it is known to be the server's own. */
export interface SendObserver {
  /** False if the answer is not wanted any more. */
  head(head: ResponseHead): void;
  data(chunk: Buffer): void;
}

/** How a send ended. */
export type SendResult =
  | {readonly type: 'answered'}
  | {
      readonly type: 'no-answer';
      readonly end: SendOutcome;
      readonly detail: string;
      /** Status of an answer that said "not run", if there was one. */
      readonly status: number | undefined;
    }
  /** The server ran it and answered with a failure of its own. */
  | {
      readonly type: 'failure';
      readonly head: ResponseHead;
      readonly body: Buffer;
    };

/** Statuses that promise that a request has not run and never will. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

/** Largest failure or refusal that is read to its end, bytes. */
const MAXIMUM_FAILURE_BYTES = 65_536;

/** Share of a server's connections that one host may use, split evenly. */
const CONNECTION_SHARE = 0.85;

/** A request that was given up without any answer after this failed, ms. */
const UNANSWERED_MS = 1_500;

/** Verdicts that tell whether a server fails what it takes. */
const FAILED: Readonly<Partial<Record<AttemptOutcome, boolean>>> = {
  served: false,
  failed: true,
  unreachable: true,
};

/** Most pauses of a server's stream; callers that take nothing are cut. */
export interface SendControl {
  pause(): void;
  resume(): void;
  cancel(): void;
}

/** What a send went by, for logs. */
export interface SendGrounds extends EstimateGrounds {
  /** Revision of the server's entry at the choice. */
  readonly entryRevision: number;
  /** Revision and age of the view of all servers at the choice. */
  readonly viewRevision: number;
  readonly viewAgeMs: number;
  /** Requests a second that the server had said to take. */
  readonly requestsPerSecond: number | undefined;
  /** Time from the choice to the first byte; undefined if none left. */
  readonly delayMs: number | undefined;
}

/** One send of a request to one server. */
export class ServerSend implements SendControl {
  private handle: ExchangeHandle | undefined;
  private headSeen = false;
  private pieceAt: Instant | undefined;
  private mode: 'pending' | 'pass-on' | 'failure' | 'refused' = 'pending';
  private head: ResponseHead | undefined;
  private readonly kept: Buffer[] = [];
  private keptBytes = 0;
  private cancelled = false;
  private done: (result: SendResult) => void = () => undefined;
  private readonly chosenAt: Instant;
  private readonly chosenFrom: Omit<SendGrounds, 'delayMs'>;
  private estimate: ServerEstimate | undefined;
  private delayMs: number | undefined;

  constructor(
    private readonly context: EntryHostContext,
    private readonly pools: UpstreamPools,
    private readonly server: Server,
    private readonly maximumConnections: number,
    /** It may go although the server names a limit. */
    private readonly permitted: boolean,
    private readonly observer: SendObserver,
    /** Whether the caller may still be served; asked at the first byte. */
    private readonly mayServe: () => boolean = () => true,
  ) {
    const {views, clock} = context;
    this.chosenAt = clock.now();
    this.chosenFrom = {
      entryRevision: server.revision,
      viewRevision: views.revision('servers'),
      viewAgeMs: Math.round(views.ageMs('servers', this.chosenAt)),
      requestsPerSecond: server.notices.requestsPerSecond,
    };
  }

  get grounds(): SendGrounds {
    return {
      ...this.chosenFrom,
      ...groundsOf(this.estimate),
      delayMs: this.delayMs,
    };
  }

  /** Sends; resolves when the answer, or the lack of one, is complete. */
  run(request: CallerRequest, details: SendDetails): Promise<SendResult> {
    const {platform, membership, clock} = this.context;
    const names = platform.forwarding.headers;
    const {health} = this.server;
    const sentAt = clock.now();
    const hosts = Math.max(1, membership.live().length);
    const share = (this.maximumConnections * CONNECTION_SHARE) / hosts;
    this.estimate = estimateSend(this.context, this.server, request);
    return new Promise((resolve) => {
      health.recordSent(sentAt);
      this.done = (result) => {
        const verdict = this.verdict(result);
        const at = clock.now();
        health.recordEnd(verdict, !this.headSeen, at);
        this.count(verdict, elapsedMs(sentAt, at), at);
        resolve(result);
      };
      const handle = this.pools.poolFor(this.server).start(
        {
          method: request.method,
          head: writeRequestHead(request, names, details),
          body: request.body,
          requestId: request.id,
        },
        Math.max(2, Math.floor(share)),
        {
          mayWrite: () => this.mayWrite(),
          head: (head) => {
            const at = clock.now();
            this.headSeen = true;
            const waitedMs = at.monotonicMs - sentAt.monotonicMs;
            this.learn(request, head, waitedMs, at);
            applyServerNotice(this.context, this.server, head, sentAt);
            this.takeHead(head);
          },
          data: (chunk) => {
            const at = clock.now();
            health.recordActivity(at);
            if (this.pieceAt !== undefined) {
              health.recordGap(elapsedMs(this.pieceAt, at), at);
            }
            this.pieceAt = at;
            this.takeData(chunk);
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
    // The next piece is late by its caller, not by its server.
    this.pieceAt = undefined;
    this.handle?.pause();
  }

  resume(): void {
    this.handle?.resume();
  }

  /** Gives the send up; its connection is closed. */
  cancel(): void {
    this.cancelled = true;
    this.handle?.cancel();
  }

  /** Whether the server still takes requests; notes the time it took to ask. */
  private mayWrite(): boolean {
    const {clock, views, metrics, servers} = this.context;
    const at = clock.now();
    const {requestsPerSecond} = this.server.notices;
    const limited = requestsPerSecond !== undefined && !this.permitted;
    if (limited || !servers.isOpen(this.server, at) || !this.mayServe()) {
      return false;
    }
    const {service} = this.server.entry;
    const delayMs = elapsedMs(this.chosenAt, at);
    this.delayMs = Math.round(delayMs);
    metrics.sendDelaySeconds.observe({service}, delayMs / 1_000);
    metrics.sendViewAgeSeconds.observe(views.ageMs('servers', at) / 1_000);
    return true;
  }

  private takeHead(head: ResponseHead): void {
    const {headers} = this.context.platform.forwarding;
    const value = (name: string) =>
      headerValue(head.rawHeaders, name.toLowerCase());
    this.head = head;
    const success = head.status >= 200 && head.status < 300;
    if (value(headers.notRun) !== undefined || head.status === 421) {
      this.mode = 'refused';
    } else if (success || (head.status >= 300 && head.status < 500)) {
      const own =
        value(headers.signature) !== undefined &&
        value('content-encoding') === undefined;
      if (success && !own) {
        // Bytes of something else than the server that was asked.
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

  private takeData(chunk: Buffer): void {
    if (this.mode === 'pass-on') {
      this.observer.data(chunk);
      return;
    }
    this.kept.push(chunk);
    this.keptBytes += chunk.length;
    if (this.keptBytes > MAXIMUM_FAILURE_BYTES) {
      // Passed on in part, it would look complete.
      this.handle?.cancel();
    }
  }

  private finish(): void {
    const {head} = this;
    const status = head?.status;
    if (head !== undefined && this.mode === 'failure') {
      this.done({type: 'failure', head, body: Buffer.concat(this.kept)});
    } else if (this.mode === 'refused') {
      const detail = `the server refused with ${status ?? 0}`;
      this.done({type: 'no-answer', end: 'not-run', detail, status});
    } else {
      this.done({type: 'answered'});
    }
  }

  private fail(error: UpstreamError): void {
    // A request that was withheld tells nothing of its server.
    this.cancelled ||= error.reason === 'withheld';
    const detail = `${error.reason}: ${error.message}`;
    const end = !error.sent
      ? 'not-sent'
      : this.mode === 'refused'
        ? 'not-run'
        : 'unknown';
    const status = this.head?.status;
    this.done({type: 'no-answer', end, detail, status});
  }

  private verdict(result: SendResult): AttemptOutcome {
    if (this.cancelled) {
      return 'cancelled';
    }
    if (result.type === 'answered') {
      return 'served';
    }
    if (result.type === 'failure') {
      return 'failed';
    }
    if (result.end === 'not-sent') {
      return 'unreachable';
    }
    if (result.end === 'not-run') {
      return result.status === 421 && this.answersForAnother()
        ? 'misdirected'
        : 'refused';
    }
    return 'failed';
  }

  /** Counts the attempt for what all hosts see of the server. */
  private count(verdict: AttemptOutcome, forMs: number, at: Instant): void {
    const {entry, key} = this.server;
    const unanswered = !this.headSeen && forMs > UNANSWERED_MS;
    const failed =
      verdict === 'cancelled' ? unanswered || undefined : FAILED[verdict];
    if (failed !== undefined) {
      this.context.tallies.record(entry.service, key, failed, at);
    }
  }

  /** Whether another server answers at this address. */
  private answersForAnother(): boolean {
    const {serverId} = this.context.platform.forwarding.headers;
    const id = headerValue(this.head?.rawHeaders ?? [], serverId.toLowerCase());
    return id !== undefined && id !== this.server.entry.id;
  }

  /** Takes what an answer tells of the speed and load of its server. */
  private learn(
    request: CallerRequest,
    head: ResponseHead,
    waitedMs: number,
    at: Instant,
  ): void {
    const {health, entry} = this.server;
    const load = this.readLoad(head);
    const served = head.status >= 200 && head.status < 300;
    const work =
      load?.slowness === undefined || !served
        ? undefined
        : {
            promptTokens: promptTokensOf(this.context, request),
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

  private readLoad(head: ResponseHead) {
    const {forwarding} = this.context.platform;
    const text = headerValue(
      head.rawHeaders,
      forwarding.headers.serverLoad.toLowerCase(),
    );
    const load = text === undefined ? undefined : forwarding.parseLoad(text);
    if (load?.slowness !== undefined) {
      // It shares its machine with others, and may suffer from them.
      this.context.tallies.watch(this.server.entry.service);
    }
    return load;
  }
}
