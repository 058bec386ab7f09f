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
import {type CrashGuard, NO_CRASH_GUARD} from '../crashes/index.js';
import {BlockPool} from '../lib/block-buffer.js';
import {describeError} from '../lib/describe-error.js';
import {
  NO_VIEW_SOURCE,
  REFRESH_INTERVAL_MS,
  ViewGate,
  type ViewSource,
} from '../store/index.js';
import {NO_STREAM_GUARD, type StreamVersionGuard} from '../streams/index.js';
import {type Admission, NO_QUOTAS, type QuotaGate} from '../tenants/index.js';
import {headerValue, type UpstreamPools} from '../upstream/index.js';
import {CallerAnswer} from './caller-answer.js';
import {
  CallerAuthenticator,
  UNCONFIRMED_RETRY_MS,
  withTenantPriority,
} from './caller-authenticator.js';
import {CallerConnections} from './caller-connections.js';
import {type CallerRequest, readCallerRequest} from './caller-request.js';
import {expectedBodyBytes, readBody} from './request-body.js';
import {
  headMemoryBytes,
  RequestBufferTracker,
} from './request-buffer-tracker.js';
import {RequestHandler} from './request-handler.js';
import type {ServerSelector} from './server-selection.js';
import {paceSmallChunks, SmallChunkLane} from './small-chunk-lane.js';
import type {TenantShares} from './tenant-shares.js';

/** Largest head that is parsed, bytes; the configured limit is lower. */
const MAXIMUM_PARSED_HEAD_BYTES = 65_536;

/** Characters of a header line beside its name and value, at the least. */
const LINE_OVERHEAD_BYTES = 3;

/**
 * Lines from which on a head is refused, since the parser drops further ones;
 * more than fit into the largest head.
 */
const MAXIMUM_PARSED_LINES =
  MAXIMUM_PARSED_HEAD_BYTES / (LINE_OVERHEAD_BYTES + 1);

/** Interval of the checks for slow heads and idle connections, ms. */
const CONNECTION_CHECK_INTERVAL_MS = 500;

/** Limits that apply until a configuration is known. */
const DEFAULT_LIMITS: CallerLimits = {
  maximumHeaderBytes: 16_384,
  maximumBodyBytes: 1_048_576,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

/** Statuses for bytes that can't be parsed as a request, by error code. */
const CLIENT_ERROR_STATUSES: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};

/** Codes of a caller that has left, also within a request. */
const LEFT_CODES: ReadonlySet<string> = new Set([
  'ECONNRESET',
  'HPE_INVALID_EOF_STATE',
]);

/** The HTTP server that accepts callers' requests. */
export class FrontListener {
  private readonly server: Server;
  private readonly retryBudgets = new Map<string, RetryBudget>();
  /** Connections on which a request has been read. */
  private readonly usedSockets = new WeakSet<Socket>();
  /** Requests that are not answered yet, by connection. */
  private readonly openRequests = new WeakMap<Duplex, Set<IncomingMessage>>();
  /** Connections that close after their current answer. */
  private readonly closingSockets = new WeakSet<Duplex>();
  private readonly openAnswers = new Set<CallerAnswer>();
  private readonly bufferBudget: BufferBudget;
  private readonly authenticator: CallerAuthenticator;
  private readonly configurationGate: ViewGate;
  private routes: RouteTable | undefined;
  private limits = DEFAULT_LIMITS;
  private inProgress = 0;
  private readonly blocks = new BlockPool();
  private readonly smallChunkLane = new SmallChunkLane();
  private readonly connections: CallerConnections;
  private draining = false;
  private accepting = true;

  constructor(
    private readonly context: EntryHostContext,
    private readonly pools: UpstreamPools,
    private readonly selector: ServerSelector,
    private readonly shares: TenantShares,
    private readonly quotas: QuotaGate = NO_QUOTAS,
    private readonly crashes: CrashGuard = NO_CRASH_GUARD,
    configurationSource: ViewSource = NO_VIEW_SOURCE,
    private readonly streams: StreamVersionGuard = NO_STREAM_GUARD,
  ) {
    this.authenticator = new CallerAuthenticator(context);
    this.configurationGate = new ViewGate(
      context,
      {
        ageMs: () => this.authenticator.confirmedAgeMs(),
        maximumAgeMs: () => context.settings.newsBounds.configurationMs,
        refreshIntervalMs: REFRESH_INTERVAL_MS,
      },
      configurationSource,
    );
    this.server = createServer(
      {
        maxHeaderSize: MAXIMUM_PARSED_HEAD_BYTES,
        connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
        keepAlive: true,
        noDelay: true,
      },
      (request, response) => {
        this.handleRequest(request, response).catch((error: unknown) => {
          const {logger} = this.context;
          const detail = describeError(error);
          logger.error('request handling failed', {error: detail});
          response.destroy();
        });
      },
    );
    this.server.requestTimeout = 0;
    this.server.maxHeadersCount = MAXIMUM_PARSED_LINES;
    this.server.on('connection', (socket) => {
      this.connections.add(socket);
    });
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      this.handleClientError(error, socket);
    });
    this.applyLimits();
    const {clock, timers, signal, metrics} = context;
    this.bufferBudget = new BufferBudget(() =>
      bufferLimitBytes(context.settings.machine.memoryMb),
    );
    this.connections = new CallerConnections(context, this.bufferBudget);
    const reviewBuffers = () => {
      this.bufferBudget.review(clock.now());
      metrics.heldBytes.set(this.bufferBudget.bytes);
      metrics.callerConnections.set(this.connections.size);
    };
    timers.every('held-bytes', BUFFER_REVIEW_PERIOD_MS, reviewBuffers, {
      signal,
    });
  }

  /** Number of requests whose answers have not ended. */
  get requestsInProgress(): number {
    return this.inProgress;
  }

  /**
   * Applies a newer configuration, which has the given store revision.
   * `keyRing` has the keys of its tenants; undefined if it defines none.
   */
  applyConfiguration(
    routes: RouteTable,
    keyRing: KeyRing | undefined,
    revision: number,
  ): void {
    this.routes = routes;
    this.authenticator.applyConfiguration(keyRing, revision);
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

  /** From now on, closes each connection after its current answer. */
  beginDraining(): void {
    this.draining = true;
  }

  /**
   * Stops accepting connections and closes idle ones. Requests that still come
   * on open connections are refused.
   */
  stopAccepting(): void {
    this.accepting = false;
    if (this.server.listening) {
      this.server.close();
    }
  }

  close(): void {
    this.server.close();
    for (const answer of this.openAnswers) {
      answer.abort();
    }
    this.server.closeAllConnections();
  }

  private applyLimits(): void {
    this.server.headersTimeout = this.limits.headerTimeoutMs;
    this.server.keepAliveTimeout = this.limits.idleTimeoutMs;
  }

  private async handleRequest(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const {clock, platform} = this.context;
    const arrivedAt = clock.now();
    const {socket} = message;
    if (this.closingSockets.has(socket)) {
      // The connection closes before this request could be answered.
      message.resume();
      return;
    }
    const isClosing = () =>
      (this.draining || this.closingSockets.has(socket)) &&
      !this.awaitsAnswer(socket, message);
    paceSmallChunks(message, this.smallChunkLane);
    let hasBeenRead = false;
    this.inProgress += 1;
    this.connections.recordHead(socket);
    this.openRequestsOn(socket).add(message);
    response.once('close', () => {
      this.inProgress -= 1;
      if (hasBeenRead) {
        this.connections.recordAnswer(socket);
      } else {
        this.connections.recordRefusal(message);
      }
      this.openRequestsOn(socket).delete(message);
      if (isClosing()) {
        // The head may have been sent before the connection was to close, and so
        // without `Connection: close`.
        socket.destroySoon();
      }
    });
    const handleSocketClose = () => {
      if (response.socket === null) {
        // The runtime reports the close only to the answer that is being sent.
        response.emit('close');
      }
    };
    socket.once('close', handleSocketClose);
    response.once('close', () => {
      socket.off('close', handleSocketClose);
    });
    const answer = new CallerAnswer(response, isClosing);
    this.openAnswers.add(answer);
    answer.onClose(() => {
      this.openAnswers.delete(answer);
    });
    const reject = (status: number, reason: string) => {
      this.reject(message, answer, {status, reason});
    };
    const {rawHeaders} = message;
    // A colon and a line end; blanks around the value are optional.
    const headBytes = rawHeaders.reduce(
      (sum, text) => sum + text.length,
      (message.url ?? '').length +
        (rawHeaders.length / 2) * LINE_OVERHEAD_BYTES,
    );
    if (
      headBytes > this.limits.maximumHeaderBytes ||
      rawHeaders.length / 2 >= MAXIMUM_PARSED_LINES
    ) {
      reject(431, 'the head is too large');
      return;
    }
    const head = readCallerRequest(
      message,
      EMPTY_BODY,
      arrivedAt,
      platform.forwarding.headers,
    );
    const buffers = new RequestBufferTracker(
      this.context,
      this.bufferBudget,
      answer,
      headMemoryBytes(rawHeaders),
    );
    buffers.requestId = head.id;
    if (!this.accepting) {
      this.rejectBeforeBody(head, answer, 'the host is stopping');
      return;
    }
    const {maximumBodyBytes} = this.limits;
    if (
      !buffers.admitBody(Math.min(expectedBodyBytes(message), maximumBodyBytes))
    ) {
      this.rejectBeforeBody(head, answer, 'no memory for its body');
      return;
    }
    const body = await readBody(
      message,
      maximumBodyBytes,
      buffers,
      this.blocks,
    );
    if (body === 'too-large') {
      reject(413, 'the body is too large');
      return;
    }
    if (body === 'aborted') {
      answer.abort();
      return;
    }
    hasBeenRead = true;
    this.connections.recordRequest(socket);
    const request = {...head, body};
    if (await this.hasDisconnected(message.socket, request.id)) {
      answer.abort();
      return;
    }
    if (this.routes === undefined) {
      reject(503, 'no configuration is known yet');
      return;
    }
    if (!this.crashes.isReady()) {
      reject(503, 'it is not known yet which requests crash servers');
      return;
    }
    if (request.id === '') {
      reject(400, 'the request has no identity');
      return;
    }
    const confirmed = await this.configurationGate.confirm(arrivedAt);
    const route = this.routes.match(request.host, request.target);
    if (route === undefined) {
      if (confirmed) {
        reject(404, 'no route');
      } else {
        this.rejectUnconfirmed(message, answer);
      }
      return;
    }
    const caller = this.authenticator.identify(rawHeaders, route);
    if (caller.type === 'refused') {
      this.rejectUnauthenticated(message, answer, caller.reason);
      return;
    }
    const service = this.routes.service(
      chooseTarget(route, this.context.random()) ?? '',
    );
    if (service === undefined) {
      reject(503, 'the route has no service');
      return;
    }
    const {tokenUsage} = platform.forwarding.headers;
    const admission = await this.quotas.admit({
      caller,
      requestId: request.id,
      usage: headerValue(rawHeaders, tokenUsage.toLowerCase()),
    });
    if (admission.type === 'refused') {
      this.rejectByQuota(message, answer, caller, admission);
      return;
    }
    if (message.socket.destroyed) {
      admission.end(false);
      answer.abort();
      return;
    }
    const decision = this.shares.admit(request, caller, service.name);
    this.countTenantRequest(
      caller,
      decision.admitted ? 'admitted' : 'over-share',
    );
    if (!decision.admitted) {
      admission.end(false);
      const reason = 'beyond its fair share of a service that is short';
      const retryAfter = this.jitteredRetryAfterS(decision.retryAfterMs);
      this.reject(message, answer, {status: 503, reason, retryAfter, caller});
      return;
    }
    const mayHaveRun = await this.serve(
      request,
      withTenantPriority(route, caller),
      service,
      caller,
      answer,
      buffers,
    );
    admission.end(mayHaveRun);
  }

  /** Resolves to whether the request ran on a server, or may have. */
  private async serve(
    request: CallerRequest,
    route: Route,
    service: Service,
    caller: Caller,
    answer: CallerAnswer,
    buffers: RequestBufferTracker,
  ): Promise<boolean> {
    const {context, pools, selector, crashes, streams} = this;
    const {authenticator: gate} = this;
    const budget = this.retryBudgetFor(service.name);
    const shared = {context, pools, selector, crashes, streams};
    const parts = {...shared, budget, authenticator: gate};
    const handler = new RequestHandler(
      parts,
      request,
      route,
      service,
      answer,
      buffers,
      caller,
    );
    await handler.run();
    if (handler.mayHaveRun) {
      this.shares.recordServed(request, caller, service.name);
    }
    return handler.mayHaveRun;
  }

  /**
   * Whether the caller closed its connection before the first request on it was
   * read. The event loop accepts one connection a turn, so a burst of them
   * queues up; a close is reported in the turn after the bytes that precede it.
   */
  private async hasDisconnected(
    socket: Socket,
    requestId: string,
  ): Promise<boolean> {
    if (this.usedSockets.has(socket)) {
      return false;
    }
    this.usedSockets.add(socket);
    await nextPollPhase();
    if (!socket.destroyed && !socket.readableEnded) {
      return false;
    }
    const {metrics, logger} = this.context;
    metrics.requests.inc({route: 'none', outcome: 'abandoned'});
    logger.info('caller disconnected before its request was read', {
      requestId,
    });
    return true;
  }

  /** Whether a request, other than `except`, was read whole on a connection. */
  private awaitsAnswer(socket: Duplex, except?: IncomingMessage): boolean {
    return [...this.openRequestsOn(socket)].some(
      (message) => message !== except && message.complete,
    );
  }

  private openRequestsOn(socket: Duplex): Set<IncomingMessage> {
    const known = this.openRequests.get(socket);
    if (known !== undefined) {
      return known;
    }
    const requests = new Set<IncomingMessage>();
    this.openRequests.set(socket, requests);
    return requests;
  }

  private retryBudgetFor(service: string): RetryBudget {
    const known = this.retryBudgets.get(service);
    if (known !== undefined) {
      return known;
    }
    const budget = new RetryBudget(() => this.context.settings.retryBudget);
    this.retryBudgets.set(service, budget);
    return budget;
  }

  private countTenantRequest(caller: Caller, outcome: string): void {
    if (caller.type === 'tenant') {
      const {name: tenant} = caller.tenant;
      this.context.metrics.tenantRequests.inc({tenant, outcome});
    }
  }

  /** Rejects a request for a route that may have been added since. */
  private rejectUnconfirmed(
    message: IncomingMessage,
    answer: CallerAnswer,
  ): void {
    const reason = 'no route in a configuration that may be outdated';
    const retryAfter = this.jitteredRetryAfterS(UNCONFIRMED_RETRY_MS);
    this.reject(message, answer, {status: 503, reason, retryAfter});
  }

  private rejectUnauthenticated(
    message: IncomingMessage,
    answer: CallerAnswer,
    reason: IdentityRefusal,
  ): void {
    const {metrics} = this.context;
    metrics.tenantRequests.inc({tenant: 'none', outcome: reason});
    const {status, detail} = IDENTITY_REFUSALS[reason];
    const retryAfter =
      status === 503
        ? this.jitteredRetryAfterS(UNCONFIRMED_RETRY_MS)
        : undefined;
    this.reject(message, answer, {status, reason: detail, retryAfter});
  }

  private rejectByQuota(
    message: IncomingMessage,
    answer: CallerAnswer,
    caller: Caller,
    {status, reason, retryAfterMs: waitMs}: Admission & {type: 'refused'},
  ): void {
    this.reject(message, answer, {
      status,
      reason: `quota: ${reason}`,
      // The quota meter gives each caller a different time, so no jitter here.
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
    const requestIdHeader = platform.forwarding.headers.requestId.toLowerCase();
    const outcome = 'rejected';
    metrics.requests.inc({route: 'none', outcome});
    logger.info('request rejected', {
      requestId: headerValue(message.rawHeaders, requestIdHeader),
      tenant: caller?.type === 'tenant' ? caller.tenant.name : undefined,
      status,
      reason,
      requestHost: message.headers.host,
      target: message.url,
      configuration: this.routes?.configuration.version,
      configurationAgeMs: Math.round(this.authenticator.confirmedAgeMs()),
    });
    const headers = retryAfter === undefined ? [] : ['Retry-After', retryAfter];
    answer.send(status, headers, Buffer.alloc(0));
  }

  private jitteredRetryAfterS(waitMs: number): string {
    return retryAfterS(waitMs, Infinity, this.context.random);
  }

  /** Rejects a request before its body is read; the caller may retry. */
  private rejectBeforeBody(
    {id, callerTimeoutMs}: CallerRequest,
    answer: CallerAnswer,
    reason: string,
  ): void {
    const {logger, metrics, random} = this.context;
    metrics.refusals.inc({reason});
    logger.info('request rejected before its body was read', {
      requestId: id,
      reason,
    });
    const waitS = retryAfterS(0, callerTimeoutMs ?? Infinity, random);
    answer.send(503, ['Retry-After', waitS], EMPTY_BODY);
  }

  private handleClientError(
    error: NodeJS.ErrnoException,
    socket: Duplex,
  ): void {
    const code = error.code ?? '';
    if (!this.closingSockets.has(socket)) {
      this.context.logger.info('connection rejected', {code});
    }
    if (LEFT_CODES.has(code) || !socket.writable) {
      socket.destroy();
      return;
    }
    if (this.awaitsAnswer(socket)) {
      // What is written now would become part of an answer in progress.
      this.closingSockets.add(socket);
      return;
    }
    const status = CLIENT_ERROR_STATUSES[code] ?? '400 Bad Request';
    socket.end(
      `HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
    );
  }
}

/** The answer to a request that is not forwarded, and its reason. */
interface Rejection {
  readonly status: number;
  readonly reason: string;
  /** Value of the `Retry-After` header, seconds. */
  readonly retryAfter?: string | undefined;
  readonly caller?: Caller;
}

/** Resolves after the event loop has polled for I/O again. */
const nextPollPhase = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(() => {
      setImmediate(resolve);
    });
  });

const EMPTY_BODY = Buffer.alloc(0);
