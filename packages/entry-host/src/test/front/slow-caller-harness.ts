import {createServer} from 'node:http';
import {Duplex} from 'node:stream';

import {
  BUFFER_REVIEW_PERIOD_MS,
  BufferBudget,
  bufferLimitBytes,
  type Route,
  ServerTable,
  type Service,
} from '@basilworks/dispatch';

import type {EntryHostContext} from '../../context.js';
import {type CrashGuard, NO_CRASH_GUARD} from '../../crashes/index.js';
import {NO_STREAM_GUARD} from '../../streams/index.js';
import {CallerAnswer} from '../../front/caller-answer.js';
import {RequestBufferTracker} from '../../front/request-buffer-tracker.js';
import {
  RequestHandler,
  type RequestHandlerParts,
} from '../../front/request-handler.js';
import {
  type ExchangeObserver,
  UpstreamError,
  type UpstreamPools,
} from '../../upstream/index.js';
import {FleetSimulation, serverEntry} from '../views/fleet-simulation.js';
import {HEADER_NAMES} from './header-names.js';
import {SAMPLE_REQUEST} from './sample-request.js';

/** Bytes of a server's answer that arrive at once. */
const CHUNK_BYTES = 65_536;

/** How the server's answer comes. */
export interface AnswerShape {
  readonly status: number;
  readonly pieceBytes: number;
  /** Whether the server sends no more after the last byte, nor closes. */
  readonly isUnfinished: boolean;
}

const USUAL_ANSWER: AnswerShape = {
  status: 200,
  pieceBytes: CHUNK_BYTES,
  isUnfinished: false,
};

/** A caller's connection that accepts only as many bytes as it is told to. */
export class CallerSocket extends Duplex {
  received = '';
  receivedBytes = 0;
  private pendingWrite: {chunk: Buffer; done: () => void} | undefined;
  private acceptableBytes = 0;

  constructor(private readonly recordsBytes: boolean) {
    super({highWaterMark: 16_384});
  }

  /** Accepts up to so many bytes from now on. */
  acceptBytes(bytes: number): void {
    this.acceptableBytes = bytes;
    this.flushPendingWrite();
  }

  override _read(): void {
    // The test pushes the request.
  }

  override _write(chunk: Buffer, _encoding: string, done: () => void): void {
    this.pendingWrite = {chunk, done};
    this.flushPendingWrite();
  }

  private flushPendingWrite(): void {
    while (this.pendingWrite !== undefined && this.acceptableBytes > 0) {
      const {chunk, done} = this.pendingWrite;
      const accepted = chunk.subarray(0, this.acceptableBytes);
      this.acceptableBytes -= accepted.length;
      this.receivedBytes += accepted.length;
      if (this.recordsBytes) {
        this.received += accepted.toString('latin1');
      }
      this.pendingWrite = {chunk: chunk.subarray(accepted.length), done};
      if (this.pendingWrite.chunk.length === 0) {
        this.pendingWrite = undefined;
        done();
      }
    }
  }
}

/** A server's answer, sent as fast as it is read. */
class AnswerSource {
  cancelled = false;
  ended = false;
  sentBytes = 0;
  private paused = false;

  constructor(
    private readonly observer: ExchangeObserver,
    private readonly answerBytes: number,
    private readonly shape: AnswerShape,
  ) {
    setImmediate(() => {
      const rawHeaders = ['X-Signature', 's'];
      const {status} = shape;
      observer.head({status, rawHeaders, endsWithConnection: false});
      this.pump();
    });
  }

  pause(): void {
    this.paused = true;
  }

  resume(): void {
    this.paused = false;
    setImmediate(() => {
      this.pump();
    });
  }

  cancel(): void {
    this.cancelled = true;
    this.observer.failed(new UpstreamError(true, 'cancelled', 'cancelled'));
  }

  private pump(): void {
    while (!this.paused && !this.cancelled && !this.ended) {
      const remainingBytes = this.answerBytes - this.sentBytes;
      if (remainingBytes === 0 && this.shape.isUnfinished) {
        return;
      }
      if (remainingBytes === 0) {
        this.ended = true;
        this.observer.end();
        return;
      }
      const {pieceBytes} = this.shape;
      const chunk = Buffer.alloc(Math.min(pieceBytes, remainingBytes), 'a');
      this.sentBytes += chunk.length;
      try {
        this.observer.data(chunk);
      } catch (error) {
        // A connection fails an exchange whose bytes are rejected.
        this.cancelled = true;
        this.observer.failed(
          new UpstreamError(true, 'malformed', String(error)),
        );
      }
    }
  }
}

export interface CallerExchange {
  readonly caller: CallerSocket;
  readonly finished: Promise<void>;
  source: AnswerSource | undefined;
}

/** A host with limited memory whose only server answers at once. */
export class SlowCallerHarness {
  readonly fleet = new FleetSimulation(1);
  readonly budget: BufferBudget;
  readonly limitBytes: number;
  private readonly parts: RequestHandlerParts;
  private readonly http = createServer();
  private readonly exchanges = new Map<string, CallerExchange>();

  constructor(
    memoryMb: number,
    answerBytes: number,
    shape: AnswerShape = USUAL_ANSWER,
    crashes: CrashGuard = NO_CRASH_GUARD,
  ) {
    const {context: hostContext} = this.fleet.startHost('h0');
    const servers = new ServerTable();
    const entry = serverEntry('s');
    servers.update([{entry, revision: 1}], undefined, hostContext.clock.now());
    const forwarding = {
      headers: HEADER_NAMES,
      lowestPriority: 0,
      parseNotice: () => ({leaving: false}),
      parseLoad: () => undefined,
    };
    const context = {
      ...hostContext,
      servers,
      platform: {forwarding},
    } as unknown as EntryHostContext;
    this.limitBytes = bufferLimitBytes(memoryMb);
    this.budget = new BufferBudget(() => this.limitBytes);
    const [server] = servers.all();
    const selector = {
      select: () => Promise.resolve({type: 'server', server, reason: 'only'}),
      isCurrent: () => true,
      requestStarted: () => undefined,
      versionGuard: {track: () => () => undefined, logFields: () => ({})},
      requestEnded: () => undefined,
    } as unknown as RequestHandlerParts['selector'];
    const start = (
      {requestId = ''},
      _maximum: number,
      observer: ExchangeObserver,
    ) => {
      const source = new AnswerSource(observer, answerBytes, shape);
      const exchange = this.exchanges.get(requestId);
      if (exchange !== undefined) {
        exchange.source = source;
      }
      return source;
    };
    this.parts = {
      context,
      pools: {poolFor: () => ({start})} as unknown as UpstreamPools,
      selector,
      budget: {
        deposit: () => undefined,
        withdraw: () => false,
      } as unknown as RequestHandlerParts['budget'],
      crashes,
      streams: NO_STREAM_GUARD,
      authenticator: {mayStillSend: () => true},
    };
  }

  /** Bytes that servers have sent and callers have not received. */
  get heldBytes(): number {
    return [...this.exchanges.values()]
      .filter(({caller}) => !caller.destroyed)
      .reduce(
        (sum, {source, caller}) =>
          sum + Math.max(0, (source?.sentBytes ?? 0) - caller.receivedBytes),
        0,
      );
  }

  startExchange(
    id: string,
    route: Route,
    recordsBytes = false,
  ): CallerExchange {
    const caller = new CallerSocket(recordsBytes);
    let resolveStarted: (finished: Promise<void>) => void = () => undefined;
    const finished = new Promise<void>((resolve) => {
      resolveStarted = resolve;
    });
    const exchange: CallerExchange = {
      caller,
      finished,
      source: undefined,
    };
    this.exchanges.set(id, exchange);
    const {context} = this.parts;
    this.http.once('request', (_message, response) => {
      const answer = new CallerAnswer(response, () => false);
      const request = {...SAMPLE_REQUEST, id, arrivedAt: context.clock.now()};
      const buffers = new RequestBufferTracker(context, this.budget, answer);
      const service = {name: 'service', maximumConnections: 1} as Service;
      const handler = new RequestHandler(
        this.parts,
        request,
        route,
        service,
        answer,
        buffers,
        {type: 'unnamed'},
      );
      resolveStarted(handler.run());
    });
    this.http.emit('connection', caller);
    caller.push('GET / HTTP/1.1\r\nHost: h\r\n\r\n');
    return exchange;
  }

  sourceOf(id: string): AnswerSource | undefined {
    return this.exchanges.get(id)?.source;
  }

  /** Runs a review of the buffer budget and everything that follows. */
  async review(): Promise<void> {
    const {time} = this.fleet;
    await time.advance(time.nowMs + BUFFER_REVIEW_PERIOD_MS);
    this.budget.review(this.parts.context.clock.now());
    await time.advance(time.nowMs);
  }

  close(): void {
    this.fleet.close();
    for (const {caller} of this.exchanges.values()) {
      caller.destroy();
    }
  }
}

export const ROUTE = {
  name: 'r',
  kind: 'stream',
  priority: 0,
  timeoutMs: 60_000,
  latencyTargetMs: 1_000,
} as Route;

/** Runs everything that is ready. */
export const settle = async (harness: SlowCallerHarness): Promise<void> => {
  for (let turn = 0; turn < 20; turn += 1) {
    await harness.fleet.time.advance(harness.fleet.time.nowMs);
  }
};
