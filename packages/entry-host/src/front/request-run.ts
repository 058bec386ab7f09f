import {elapsedMs, type Instant} from '@basilworks/core';
import {
  type Caller,
  isRepeatable,
  nextStep,
  retryAfterS,
  type RetryBudget,
  type Route,
  type SendOutcome,
  type Server,
  type Service,
} from '@basilworks/dispatch';

import type {EntryHostContext} from '../context.js';
import type {ResponseHead, UpstreamPools} from '../upstream/index.js';
import type {CallerAnswer} from './caller-answer.js';
import {
  type CallerAuthenticator,
  UNCONFIRMED_RETRY_MS,
} from './caller-authenticator.js';
import {type CallerRequest, endToEndHeaders} from './caller-request.js';
import {EventSplitter} from './event-splitter.js';
import type {RequestBufferTracker} from './request-buffer-tracker.js';
import {type SendResult, ServerSend} from './server-send.js';
import type {Selection, ServerSelector} from './server-selection.js';

/** What a run needs besides its request. */
export interface RunParts {
  readonly context: EntryHostContext;
  readonly pools: UpstreamPools;
  readonly selector: ServerSelector;
  readonly budget: RetryBudget;
  readonly gate: Pick<CallerAuthenticator, 'mayStillSend'>;
}

/** Statuses that promise that a request has not run and never will. */
const PROMISES = new Set([408, 421, 429, 503]);

/** Largest plain answer that is held until it is whole, bytes. */
const MAXIMUM_HELD_BYTES = 262_144;

/** Ends requests whose keys may have been taken away by now. */
const UNCONFIRMED = {
  type: 'none',
  reason: 'the key is not known to be valid any more',
  retryAfterMs: UNCONFIRMED_RETRY_MS,
} as const;

/** Tells the timers of runs apart. */
let serial = 0;

/** Serves one request of a caller, from its choice of a server to its end. */
export class RequestRun {
  private readonly abort = new AbortController();
  private readonly tried = new Set<string>();
  private readonly splitter = new EventSplitter();
  private readonly held: Buffer[] = [];
  private readonly timer = `run/${(serial += 1)}`;
  private heldBytes = 0;
  private heldHead: ResponseHead | undefined;
  private send: ServerSend | undefined;
  private sends = 0;
  private runs = 0;
  private lastEventId: string | undefined;
  /** The latest send, for the log. */
  private lastServer: string | undefined;
  private lastChoice: string | undefined;
  private lastSentMs: number | undefined;
  private over = false;
  private abandoned = false;
  private ran = false;
  private outcome = 'open';
  private headAt: Instant | undefined;

  constructor(
    private readonly parts: RunParts,
    private readonly request: CallerRequest,
    private readonly route: Route,
    private readonly service: Service,
    private readonly answer: CallerAnswer,
    private readonly hold: RequestBufferTracker,
    private readonly caller: Caller,
  ) {}

  /** Whether the request ran at a server, or may have. */
  get mayHaveRun(): boolean {
    return this.ran;
  }

  /** Resolves when the caller has its final answer, or has left. */
  async run(): Promise<void> {
    const {timers, clock} = this.parts.context;
    this.parts.budget.deposit(clock.now());
    this.answer.onAbandoned(() => {
      this.abandoned = true;
      this.giveUp('abandoned by its caller');
    });
    this.hold.onDisconnect((reason) => {
      this.giveUp(`cut: ${reason}`);
    });
    this.answer.onDrain(() => {
      this.hold.resumeSource();
    });
    timers.after(this.timer, this.remainingMs(), () => {
      this.timedOut();
    });
    while (!this.over) {
      if (!this.mayServe()) {
        this.countUnconfirmed();
        this.endWithout(UNCONFIRMED);
        break;
      }
      const selection = await this.select();
      if (this.isOver()) {
        break;
      }
      if (selection.type === 'none') {
        this.endWithout(selection);
        break;
      }
      const result = await this.sendTo(selection);
      this.ran ||= mayHaveRun(result);
      if (this.isOver()) {
        break;
      }
      this.take(result, selection.server);
    }
    timers.cancel(this.timer);
    this.hold.recordRequestEnd();
  }

  private isOver(): boolean {
    return this.over;
  }

  private countUnconfirmed(): void {
    if (this.caller.type === 'tenant') {
      const {name: tenant} = this.caller.tenant;
      const {tenantRequests} = this.parts.context.metrics;
      tenantRequests.inc({tenant, outcome: 'unconfirmed'});
    }
  }

  private mayServe(): boolean {
    return this.parts.gate.mayStillSend(this.caller);
  }

  private select(): Promise<Selection> {
    const {clock} = this.parts.context;
    const elapsed = elapsedMs(this.request.arrivedAt, clock.now());
    return this.parts.selector.select({
      request: this.request,
      route: this.route,
      service: this.service,
      remainingMs: this.remainingMs(),
      untilLateMs: this.route.latencyTargetMs - elapsed,
      tried: this.tried,
      firstSend: this.sends === 0,
      signal: this.abort.signal,
    });
  }

  private async sendTo({
    server,
    version,
    reason,
    permitted,
  }: Selection & {type: 'server'}): Promise<SendResult> {
    const {context, pools} = this.parts;
    this.sends += 1;
    this.lastServer = server.entry.id;
    this.lastChoice = reason;
    this.lastSentMs = this.elapsedMs();
    this.tried.add(server.key);
    this.splitter.reset();
    this.held.length = 0;
    this.heldBytes = 0;
    this.heldHead = undefined;
    const send = new ServerSend(
      context,
      pools,
      server,
      this.service.maximumConnections,
      permitted,
      {
        head: (head) => {
          this.takeHead(head);
        },
        data: (chunk) => {
          this.takeData(chunk);
        },
      },
      () => this.mayServe(),
    );
    this.send = send;
    this.parts.selector.begin(this.request, server);
    const result = await send.run(this.request, {
      serverId: server.entry.id,
      remainingMs: this.remainingMs(),
      version,
      priority: Math.min(
        this.route.priority,
        context.platform.forwarding.lowestPriority,
      ),
      lastEventId: this.lastEventId,
      caller: this.caller,
    });
    this.send = undefined;
    this.hold.clearSource();
    this.parts.selector.ended(this.request, server);
    const end = result.type === 'no-answer' ? result.end : result.type;
    context.metrics.sends.inc({service: this.service.name, end});
    context.logger.info('send ended', {
      requestId: this.request.id,
      server: server.entry.id,
      chosen: reason,
      ...send.grounds,
      load: server.health.load(context.clock.now()),
      end,
      status: statusOf(result),
      detail: result.type === 'no-answer' ? result.detail : undefined,
      elapsedMs: this.elapsedMs(),
    });
    return result;
  }

  private take(result: SendResult, server: Server): void {
    if (result.type === 'answered') {
      this.complete();
      return;
    }
    const end: SendOutcome = result.type === 'failure' ? 'failed' : result.end;
    if (end === 'failed' || end === 'unknown') {
      this.runs += 1;
    }
    if (end === 'not-run' && result.type === 'no-answer') {
      if (result.status === 421) {
        this.parts.selector.refuted(this.request, server);
        // It may be resident by the next try.
        this.tried.delete(server.key);
      }
    }
    const {budget, context} = this.parts;
    const at = context.clock.now();
    const hosts = context.membership.live().length;
    const step = nextStep(
      end,
      {
        route: this.route,
        sends: this.sends,
        runs: this.runs,
        remainingMs: this.remainingMs(),
        answerStarted: this.answer.begun,
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

  private takeHead(head: ResponseHead): void {
    if (this.over) {
      return;
    }
    this.headAt = this.parts.context.clock.now();
    if (this.answer.begun) {
      // A resumed stream keeps the head of its first server.
      return;
    }
    if (this.route.kind === 'stream') {
      this.begin(head);
    } else {
      this.heldHead = head;
    }
  }

  private begin(head: ResponseHead): void {
    const {status, endsWithConnection} = head;
    this.answer.begin(status, callerHeaders(head), endsWithConnection);
  }

  private takeData(chunk: Buffer): void {
    if (this.over) {
      return;
    }
    if (this.route.kind !== 'stream') {
      this.keep(chunk);
    } else if (isRepeatable(this.route)) {
      for (const {id, bytes} of this.splitter.feed(chunk)) {
        this.lastEventId = id ?? this.lastEventId;
        this.writeOn(bytes);
      }
    } else {
      this.writeOn(chunk);
    }
  }

  private writeOn(chunk: Buffer): void {
    if (!this.answer.write(chunk) && this.send !== undefined) {
      this.hold.pauseSource(this.send);
    }
  }

  /** Keeps a plain answer until it is whole, so that it can be repeated. */
  private keep(chunk: Buffer): void {
    if (this.heldHead === undefined) {
      this.writeOn(chunk);
      return;
    }
    this.held.push(chunk);
    this.heldBytes += chunk.length;
    if (
      this.heldBytes <= MAXIMUM_HELD_BYTES &&
      this.hold.canBufferWholeAnswers
    ) {
      this.hold.setAnswerBytes(this.heldBytes);
      return;
    }
    const head = this.heldHead;
    this.heldHead = undefined;
    this.begin(head);
    this.writeOn(Buffer.concat(this.held));
    this.held.length = 0;
    this.hold.setAnswerBytes(0);
  }

  private complete(): void {
    if (this.heldHead !== undefined) {
      const {heldHead} = this;
      this.finish('answered', heldHead.status);
      this.answer.send(
        heldHead.status,
        callerHeaders(heldHead),
        Buffer.concat(this.held),
        heldHead.endsWithConnection,
      );
      return;
    }
    this.finish('answered', 200);
    this.answer.end();
  }

  private passOnFailure(head: ResponseHead, body: Buffer): void {
    if (this.answer.begun) {
      this.fail(502, 'a resumed stream failed');
      return;
    }
    if (PROMISES.has(head.status)) {
      // Without the proof of its server, this status would promise too much.
      this.fail(502, `the server answered ${head.status} without a proof`);
      return;
    }
    this.finish('failed by its server', head.status);
    const {status, endsWithConnection} = head;
    this.answer.send(status, callerHeaders(head), body, endsWithConnection);
  }

  private endWithout({
    reason,
    retryAfterMs: waitMs,
  }: Selection & {
    type: 'none';
  }): void {
    if (this.runs === 0 && !this.answer.begun) {
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
    if (this.answer.begun) {
      this.answer.abort();
    } else {
      this.answer.send(status, [], Buffer.alloc(0));
    }
  }

  private timedOut(): void {
    if (this.over) {
      return;
    }
    const atServer = this.runs > 0 || this.send !== undefined;
    const {send} = this;
    if (atServer) {
      this.fail(504, 'the time of the route is over');
    } else {
      this.refuse('no server was found in time', 0);
    }
    send?.cancel();
    this.abort.abort();
  }

  private giveUp(reason: string): void {
    if (!this.over) {
      const {send} = this;
      this.finish(this.abandoned ? 'abandoned' : 'failed', 0, reason);
      send?.cancel();
      this.abort.abort();
    }
  }

  private finish(outcome: string, status: number, reason?: string): void {
    this.over = true;
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
    const late = (headMs ?? 0) > this.route.latencyTargetMs;
    const level = outcome === 'answered' && !late ? 'debug' : 'info';
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
      chosen: this.lastChoice,
      sentMs: this.lastSentMs,
      headMs,
      elapsedMs: this.elapsedMs(),
    });
  }

  private elapsedMs(): number {
    const {clock} = this.parts.context;
    return Math.round(elapsedMs(this.request.arrivedAt, clock.now()));
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
  result.end === 'failed' ||
  result.end === 'unknown';

/** Status of an answer that was no success, for the log. */
const statusOf = (result: SendResult): number | undefined =>
  result.type === 'failure'
    ? result.head.status
    : result.type === 'no-answer'
      ? result.status
      : undefined;

/** Framing is this host's own, whatever the server's was. */
const FRAMING: ReadonlySet<string> = new Set(['content-length']);

const callerHeaders = ({rawHeaders}: ResponseHead): readonly string[] =>
  endToEndHeaders(rawHeaders, FRAMING);
