import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';

import {ListenError} from '@basilworks/daemon';
import {
  type Caller,
  type CallerLimits,
  chooseTarget,
  BUFFER_REVIEW_PERIOD_MS,
  BufferBudget,
  bufferLimitBytes,
  IDENTITY_REFUSALS,
  type IdentityRefusal,
  type KeyRing,
  retryAfterS,
  RetryBudget,
  type Route,
  type RouteTable,
  type Service,
} from '@basilworks/dispatch';
import {ResultAsync} from 'neverthrow';

import type {EntryHostContext} from '../context.js';
import {type Admission, NO_QUOTAS, type QuotaGate} from '../tenants/index.js';
import {headerValue, type UpstreamPools} from '../upstream/index.js';
import {CallerAnswer} from './caller-answer.js';
import {
  CallerAuthenticator,
  UNCONFIRMED_RETRY_MS,
  withTenantPriority,
} from './caller-authenticator.js';
import {type CallerRequest, readCallerRequest} from './caller-request.js';
import {expectedBodyBytes, readBody} from './request-body.js';
import {RequestBufferTracker} from './request-buffer-tracker.js';
import {RequestRun} from './request-run.js';
import type {ServerSelector} from './server-selection.js';
import type {TenantShares} from './tenant-shares.js';

/** Largest head that is parsed at all, bytes; the configured limit is less. */
const PARSER_HEAD_BYTES = 65_536;

/** How often slow heads and idle connections are looked for, milliseconds. */
const CONNECTION_CHECK_MS = 500;

/** Limits before a configuration is known. */
const FIRST_LIMITS: CallerLimits = {
  maximumHeaderBytes: 16_384,
  maximumBodyBytes: 1_048_576,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

/** Answers to connections whose bytes are no proper request. */
const REJECTIONS: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};

/** Takes requests of callers. */
export class FrontListener {
  private readonly server: Server;
  private readonly budgets = new Map<string, RetryBudget>();
  /** Connections that have had a request. */
  private readonly used = new WeakSet<Socket>();
  private readonly held: BufferBudget;
  private readonly gate: CallerAuthenticator;
  private routes: RouteTable | undefined;
  private limits = FIRST_LIMITS;
  private inProgress = 0;
  private closing = false;

  constructor(
    private readonly context: EntryHostContext,
    private readonly pools: UpstreamPools,
    private readonly selector: ServerSelector,
    private readonly shares: TenantShares,
    private readonly quotas: QuotaGate = NO_QUOTAS,
  ) {
    this.gate = new CallerAuthenticator(context);
    this.server = createServer(
      {
        maxHeaderSize: PARSER_HEAD_BYTES,
        connectionsCheckingInterval: CONNECTION_CHECK_MS,
        keepAlive: true,
        noDelay: true,
      },
      (request, response) => {
        void this.handle(request, response);
      },
    );
    this.server.requestTimeout = 0;
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      this.rejectBytes(error, socket);
    });
    this.applyLimits();
    const {clock, timers, signal, metrics} = context;
    this.held = new BufferBudget(() =>
      bufferLimitBytes(context.settings.machine.memoryMb),
    );
    const review = () => {
      this.held.review(clock.now());
      metrics.heldBytes.set(this.held.bytes);
    };
    timers.every('held-bytes', BUFFER_REVIEW_PERIOD_MS, review, {signal});
  }

  /** Requests that have no final answer yet. */
  get requestsInProgress(): number {
    return this.inProgress;
  }

  /**
   * Takes a newer configuration into use, of a revision of the store; `ring`
   * holds the keys of its tenants, if it has any.
   */
  applyConfiguration(
    routes: RouteTable,
    ring: KeyRing | undefined,
    revision: number,
  ): void {
    this.routes = routes;
    this.gate.applyConfiguration(ring, revision);
    this.limits = routes.configuration.limits;
    this.applyLimits();
  }

  listen(host: string, port: number): ResultAsync<number, ListenError> {
    return ResultAsync.fromPromise(
      new Promise<number>((resolve, reject) => {
        this.server.once('error', reject);
        this.server.listen({host, port, backlog: 1_024}, () => {
          const address = this.server.address();
          resolve(typeof address === 'object' ? (address?.port ?? 0) : 0);
        });
      }),
      (error) => new ListenError(`${host}:${port}`, String(error)),
    );
  }

  /** Lets connections end with their answers from now on. */
  beginDraining(): void {
    this.closing = true;
  }

  /** Takes no new connections; those that are idle are closed. */
  stopAccepting(): void {
    if (this.server.listening) {
      this.server.close();
    }
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private applyLimits(): void {
    this.server.headersTimeout = this.limits.headerTimeoutMs;
    this.server.keepAliveTimeout = this.limits.idleTimeoutMs;
  }

  private async handle(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const {clock, platform} = this.context;
    const arrivedAt = clock.now();
    this.inProgress += 1;
    response.once('close', () => {
      this.inProgress -= 1;
      if (this.closing) {
        // Its head may have gone out before the stop and told nothing of it.
        message.socket.destroySoon();
      }
    });
    const answer = new CallerAnswer(response, () => this.closing);
    const refuse = (status: number, reason: string) => {
      this.reject(message, answer, {status, reason});
    };
    const {rawHeaders} = message;
    const headBytes = rawHeaders.reduce(
      (sum, text) => sum + text.length + 2,
      (message.url ?? '').length,
    );
    if (headBytes > this.limits.maximumHeaderBytes) {
      refuse(431, 'the head is too large');
      return;
    }
    const head = readCallerRequest(
      message,
      NOTHING,
      arrivedAt,
      platform.forwarding.headers,
    );
    const hold = new RequestBufferTracker(this.context, this.held, answer);
    hold.requestId = head.id;
    const {maximumBodyBytes} = this.limits;
    if (
      !hold.admitBody(Math.min(expectedBodyBytes(message), maximumBodyBytes))
    ) {
      this.turnAway(head, answer, 'no memory for its body');
      return;
    }
    const body = await readBody(message, maximumBodyBytes, hold);
    if (body === 'too-large') {
      refuse(413, 'the body is too large');
      return;
    }
    if (body === 'cut') {
      answer.abort();
      return;
    }
    const request = {...head, body};
    if (await this.hasLeft(message.socket, request.id)) {
      answer.abort();
      return;
    }
    if (this.routes === undefined) {
      refuse(503, 'no configuration is known yet');
      return;
    }
    if (request.id === '') {
      refuse(400, 'the request has no identity');
      return;
    }
    const route = this.routes.match(request.host, request.target);
    if (route === undefined) {
      refuse(404, 'no route');
      return;
    }
    const caller = this.gate.identify(rawHeaders, route);
    if (caller.type === 'refused') {
      this.refuseCaller(message, answer, caller.reason);
      return;
    }
    const service = this.routes.service(
      chooseTarget(route, this.context.random()) ?? '',
    );
    if (service === undefined) {
      refuse(503, 'the route has no service');
      return;
    }
    const {tokenUsage} = platform.forwarding.headers;
    const admission = await this.quotas.admit({
      caller,
      requestId: request.id,
      usage: headerValue(rawHeaders, tokenUsage.toLowerCase()),
    });
    if (admission.type === 'refused') {
      this.refuseByQuota(message, answer, caller, admission);
      return;
    }
    if (message.socket.destroyed) {
      admission.end(false);
      answer.abort();
      return;
    }
    const verdict = this.shares.arrived(request, caller, service.name);
    this.count(caller, verdict.admitted ? 'admitted' : 'over-share');
    if (!verdict.admitted) {
      admission.end(false);
      const reason = 'beyond its fair share of a service that is short';
      const retryAfter = this.spreadRetryAfter(verdict.retryAfterMs);
      this.reject(message, answer, {status: 503, reason, retryAfter, caller});
      return;
    }
    const ran = await this.serve(
      request,
      withTenantPriority(route, caller),
      service,
      caller,
      answer,
      hold,
    );
    admission.end(ran);
  }

  /** Returns whether the request ran at a server, or may have. */
  private async serve(
    request: CallerRequest,
    route: Route,
    service: Service,
    caller: Caller,
    answer: CallerAnswer,
    hold: RequestBufferTracker,
  ): Promise<boolean> {
    const {context, pools, selector, gate} = this;
    const budget = this.budgetOf(service.name);
    const parts = {context, pools, selector, budget, gate};
    const run = new RequestRun(
      parts,
      request,
      route,
      service,
      answer,
      hold,
      caller,
    );
    await run.run();
    if (run.mayHaveRun) {
      this.shares.ran(request, caller, service.name);
    }
    return run.mayHaveRun;
  }

  /**
   * Whether a caller closed its connection before the first request on it was
   * read. Connections are accepted one a turn, so that a burst of them waits,
   * and a close is read in the turn after the bytes before it.
   */
  private async hasLeft(socket: Socket, requestId: string): Promise<boolean> {
    if (this.used.has(socket)) {
      return false;
    }
    this.used.add(socket);
    await nextPoll();
    if (!socket.destroyed && !socket.readableEnded) {
      return false;
    }
    const {metrics, logger} = this.context;
    metrics.requests.inc({route: 'none', outcome: 'abandoned'});
    logger.info('caller left before its request was read', {requestId});
    return true;
  }

  private budgetOf(service: string): RetryBudget {
    const known = this.budgets.get(service);
    if (known !== undefined) {
      return known;
    }
    const budget = new RetryBudget(() => this.context.settings.retryBudget);
    this.budgets.set(service, budget);
    return budget;
  }

  private count(caller: Caller, outcome: string): void {
    if (caller.type === 'tenant') {
      const {name: tenant} = caller.tenant;
      this.context.metrics.tenantRequests.inc({tenant, outcome});
    }
  }

  private refuseCaller(
    message: IncomingMessage,
    answer: CallerAnswer,
    reason: IdentityRefusal,
  ): void {
    const {metrics} = this.context;
    metrics.tenantRequests.inc({tenant: 'none', outcome: reason});
    const {status, detail} = IDENTITY_REFUSALS[reason];
    const retryAfter =
      status === 503 ? this.spreadRetryAfter(UNCONFIRMED_RETRY_MS) : undefined;
    this.reject(message, answer, {status, reason: detail, retryAfter});
  }

  private refuseByQuota(
    message: IncomingMessage,
    answer: CallerAnswer,
    caller: Caller,
    {status, reason, retryAfterMs: waitMs}: Admission & {type: 'refused'},
  ): void {
    this.reject(message, answer, {
      status,
      reason: `quota: ${reason}`,
      // The meter told each its own time, so that it is not spread here.
      retryAfter: status === 400 ? undefined : (waitMs / 1_000).toFixed(2),
      caller,
    });
  }

  private reject(
    message: IncomingMessage,
    answer: CallerAnswer,
    {status, reason, retryAfter, caller}: Rejection,
  ): void {
    const {logger, metrics, platform} = this.context;
    const idName = platform.forwarding.headers.requestId.toLowerCase();
    const outcome = 'rejected';
    metrics.requests.inc({route: 'none', outcome});
    logger.info('request rejected', {
      requestId: headerValue(message.rawHeaders, idName),
      tenant: caller?.type === 'tenant' ? caller.tenant.name : undefined,
      status,
      reason,
      requestHost: message.headers.host,
      target: message.url,
      configuration: this.routes?.configuration.version,
      configurationAgeMs: Math.round(this.gate.confirmedAgeMs()),
    });
    const headers = retryAfter === undefined ? [] : ['Retry-After', retryAfter];
    answer.send(status, headers, Buffer.alloc(0));
  }

  private spreadRetryAfter(waitMs: number): string {
    return retryAfterS(waitMs, Infinity, this.context.random);
  }

  /** Refuses a request before its body is read; it may come back. */
  private turnAway(
    {id, callerTimeoutMs: callerWaitMs}: CallerRequest,
    answer: CallerAnswer,
    reason: string,
  ): void {
    const {logger, metrics, random} = this.context;
    metrics.refusals.inc({reason});
    logger.info('request turned away', {requestId: id, reason});
    const waitS = retryAfterS(0, callerWaitMs ?? Infinity, random);
    answer.send(503, ['Retry-After', waitS], NOTHING);
  }

  private rejectBytes(error: NodeJS.ErrnoException, socket: Duplex): void {
    const code = error.code ?? '';
    this.context.logger.info('connection rejected', {code});
    if (code === 'ECONNRESET' || !socket.writable) {
      socket.destroy();
      return;
    }
    const status = REJECTIONS[code] ?? '400 Bad Request';
    socket.end(
      `HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
    );
  }
}

/** Why a request is not forwarded. */
interface Rejection {
  readonly status: number;
  readonly reason: string;
  /** When the caller should come back, as a header's value. */
  readonly retryAfter?: string | undefined;
  readonly caller?: Caller;
}

/** Resolves once the loop has polled for input again. */
const nextPoll = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(() => {
      setImmediate(resolve);
    });
  });

const NOTHING = Buffer.alloc(0);
