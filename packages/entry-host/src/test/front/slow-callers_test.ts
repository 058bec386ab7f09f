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
import test from 'ava';

import type {EntryHostContext} from '../../context.js';
import {NO_CRASH_GUARD} from '../../crashes/index.js';
import {ANY_STREAM_VERSION} from '../../streams/index.js';
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

/** A caller's connection that accepts only as many bytes as it is told to. */
class CallerSocket extends Duplex {
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
  ) {
    setImmediate(() => {
      const rawHeaders = ['X-Signature', 's'];
      observer.head({status: 200, rawHeaders, endsWithConnection: false});
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
      if (remainingBytes === 0) {
        this.ended = true;
        this.observer.end();
        return;
      }
      const chunk = Buffer.alloc(Math.min(CHUNK_BYTES, remainingBytes), 'a');
      this.sentBytes += chunk.length;
      this.observer.data(chunk);
    }
  }
}

interface CallerExchange {
  readonly caller: CallerSocket;
  readonly finished: Promise<void>;
  source: AnswerSource | undefined;
}

/** A host with limited memory whose only server answers at once. */
class SlowCallerHarness {
  readonly fleet = new FleetSimulation(1);
  readonly budget: BufferBudget;
  readonly limitBytes: number;
  private readonly parts: RequestHandlerParts;
  private readonly http = createServer();
  private readonly exchanges = new Map<string, CallerExchange>();

  constructor(memoryMb: number, answerBytes: number) {
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
      const source = new AnswerSource(observer, answerBytes);
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
      crashes: NO_CRASH_GUARD,
      streams: ANY_STREAM_VERSION,
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

const ROUTE = {
  name: 'r',
  kind: 'stream',
  priority: 0,
  timeoutMs: 60_000,
  latencyTargetMs: 1_000,
} as Route;

const isComplete = ({received}: CallerSocket): boolean =>
  received.endsWith('\r\n0\r\n\r\n');

/** Runs everything that is ready. */
const settle = async (harness: SlowCallerHarness): Promise<void> => {
  for (let turn = 0; turn < 20; turn += 1) {
    await harness.fleet.time.advance(harness.fleet.time.nowMs);
  }
};

test('500 slow callers stay within the buffer limit; others are served', async (t) => {
  const answerBytes = 600_000;
  const harness = new SlowCallerHarness(210, answerBytes);
  // Every fifth keeps reading slowly; the others read nothing.
  const slowReaders: CallerExchange[] = [];
  const stalled: CallerExchange[] = [];
  for (let index = 0; index < 500; index += 1) {
    const exchange = harness.startExchange(`slow-${index}`, ROUTE);
    (index % 5 === 0 ? slowReaders : stalled).push(exchange);
    exchange.caller.acceptBytes(index % 5 === 0 ? 40_000 : 0);
    await settle(harness);
  }
  let peakHeldBytes = 0;
  for (let round = 0; round < 40; round += 1) {
    for (const {caller} of slowReaders) {
      caller.acceptBytes(40_000);
    }
    await harness.review();
    peakHeldBytes = Math.max(
      peakHeldBytes,
      harness.heldBytes,
      harness.budget.bytes,
    );
    const other = harness.startExchange(`other-${round}`, ROUTE, true);
    other.caller.acceptBytes(Infinity);
    await settle(harness);
    t.true(isComplete(other.caller), `request in round ${round}`);
  }
  t.log(`held at most ${peakHeldBytes} of ${harness.limitBytes}`);
  t.true(peakHeldBytes > harness.limitBytes / 2, 'the load is high enough');
  t.true(peakHeldBytes <= harness.limitBytes);
  t.true(slowReaders.every(({source}) => source?.ended));
  t.true(slowReaders.every(({caller}) => caller.receivedBytes > answerBytes));
  t.true(stalled.every(({caller}) => caller.destroyed));
  t.true(stalled.some(({source}) => source?.cancelled));
  t.is(harness.budget.bytes, 0, 'closed connections are not counted');
  harness.close();
});

test('a caller whose connection is aborted sees an incomplete answer', async (t) => {
  for (const kind of ['stream', 'idempotent'] as const) {
    const harness = new SlowCallerHarness(210, 200_000);
    const {caller, finished, source} = harness.startExchange(
      'r',
      {...ROUTE, kind},
      true,
    );
    await settle(harness);
    caller.acceptBytes(30_000);
    for (let round = 0; round < 24; round += 1) {
      await harness.review();
    }
    await finished;
    t.true(caller.destroyed);
    t.true(caller.receivedBytes > 0);
    t.false(isComplete(caller));
    t.not(source?.cancelled, false);
    harness.close();
  }
});
