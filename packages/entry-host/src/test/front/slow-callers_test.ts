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
import {CallerAnswer} from '../../front/caller-answer.js';
import {CallerHold} from '../../front/caller-hold.js';
import {RequestRun, type RunParts} from '../../front/request-run.js';
import {
  type ExchangeObserver,
  UpstreamError,
  type UpstreamPools,
} from '../../upstream/index.js';
import {FleetSimulation, serverEntry} from '../views/fleet-simulation.js';
import {HEADER_NAMES} from './header-names.js';
import {REQUEST} from './request-parts.js';

/** Reads of a server's answer. */
const READ_BYTES = 65_536;

/** The connection of a caller that takes bytes when it is told to. */
class Caller extends Duplex {
  got = '';
  gotBytes = 0;
  private waiting: {chunk: Buffer; done: () => void} | undefined;
  private allowance = 0;

  constructor(private readonly keeps: boolean) {
    super({highWaterMark: 16_384});
  }

  /** Lets it take so many bytes more. */
  takes(bytes: number): void {
    this.allowance = bytes;
    this.move();
  }

  override _read(): void {
    // The request is pushed once.
  }

  override _write(chunk: Buffer, _encoding: string, done: () => void): void {
    this.waiting = {chunk, done};
    this.move();
  }

  private move(): void {
    while (this.waiting !== undefined && this.allowance > 0) {
      const {chunk, done} = this.waiting;
      const taken = chunk.subarray(0, this.allowance);
      this.allowance -= taken.length;
      this.gotBytes += taken.length;
      if (this.keeps) {
        this.got += taken.toString('latin1');
      }
      this.waiting = {chunk: chunk.subarray(taken.length), done};
      if (this.waiting.chunk.length === 0) {
        this.waiting = undefined;
        done();
      }
    }
  }
}

/** An answer that a server sends as fast as it is read. */
class Source {
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
      const left = this.answerBytes - this.sentBytes;
      if (left === 0) {
        this.ended = true;
        this.observer.end();
        return;
      }
      const chunk = Buffer.alloc(Math.min(READ_BYTES, left), 'a');
      this.sentBytes += chunk.length;
      this.observer.data(chunk);
    }
  }
}

interface Call {
  readonly caller: Caller;
  readonly over: Promise<void>;
  source: Source | undefined;
}

/** A host of some memory whose one server answers at once. */
class SlowRig {
  readonly fleet = new FleetSimulation(1);
  readonly budget: BufferBudget;
  readonly limit: number;
  private readonly parts: RunParts;
  private readonly http = createServer();
  private readonly calls = new Map<string, Call>();

  constructor(memoryMb: number, answerBytes: number) {
    const {context: parts} = this.fleet.startHost('h0');
    const servers = new ServerTable();
    const entry = serverEntry('s');
    servers.update([{entry, revision: 1}], undefined, parts.clock.now());
    const forwarding = {
      headers: HEADER_NAMES,
      lowestPriority: 0,
      parseNotice: () => ({leaving: false}),
      parseLoad: () => undefined,
    };
    const context = {
      ...parts,
      servers,
      platform: {forwarding},
    } as unknown as EntryHostContext;
    this.limit = bufferLimitBytes(memoryMb);
    this.budget = new BufferBudget(() => this.limit);
    const [server] = servers.all();
    const selector = {
      select: () => Promise.resolve({type: 'server', server, reason: 'only'}),
      begin: () => undefined,
      ended: () => undefined,
    } as unknown as RunParts['selector'];
    const start = (
      {requestId = ''},
      _maximum: number,
      observer: ExchangeObserver,
    ) => {
      const source = new Source(observer, answerBytes);
      const call = this.calls.get(requestId);
      if (call !== undefined) {
        call.source = source;
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
      } as unknown as RunParts['budget'],
      gate: {mayStillSend: () => true},
    };
  }

  /** Bytes that servers have sent and callers have not taken. */
  get heldBytes(): number {
    return [...this.calls.values()]
      .filter(({caller}) => !caller.destroyed)
      .reduce(
        (sum, {source, caller}) =>
          sum + Math.max(0, (source?.sentBytes ?? 0) - caller.gotBytes),
        0,
      );
  }

  call(id: string, route: Route, keeps = false): Call {
    const caller = new Caller(keeps);
    let started: (over: Promise<void>) => void = () => undefined;
    const over = new Promise<void>((resolve) => {
      started = resolve;
    });
    const call: Call = {caller, over, source: undefined};
    this.calls.set(id, call);
    const {context} = this.parts;
    this.http.once('request', (_message, response) => {
      const answer = new CallerAnswer(response, () => false);
      const request = {...REQUEST, id, arrivedAt: context.clock.now()};
      const hold = new CallerHold(context, this.budget, answer);
      const service = {name: 'service', maximumConnections: 1} as Service;
      const run = new RequestRun(
        this.parts,
        request,
        route,
        service,
        answer,
        hold,
        {type: 'unnamed'},
      );
      started(run.run());
    });
    this.http.emit('connection', caller);
    caller.push('GET / HTTP/1.1\r\nHost: h\r\n\r\n');
    return call;
  }

  /** Lets a review pass, and all that follows from it. */
  async review(): Promise<void> {
    const {time} = this.fleet;
    await time.advance(time.nowMs + BUFFER_REVIEW_PERIOD_MS);
    this.budget.review(this.parts.context.clock.now());
    await time.advance(time.nowMs);
  }

  close(): void {
    this.fleet.close();
    for (const {caller} of this.calls.values()) {
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

const isWhole = ({got}: Caller): boolean => got.endsWith('\r\n0\r\n\r\n');

/** Lets everything that is ready run. */
const settle = async (rig: SlowRig): Promise<void> => {
  for (let turn = 0; turn < 20; turn += 1) {
    await rig.fleet.time.advance(rig.fleet.time.nowMs);
  }
};

test('500 slow callers don’t exceed the memory, and others are served', async (t) => {
  const answerBytes = 600_000;
  const rig = new SlowRig(210, answerBytes);
  // Every fifth takes a little all the time, the others nothing.
  const readers: Call[] = [];
  const idlers: Call[] = [];
  for (let index = 0; index < 500; index += 1) {
    const call = rig.call(`slow-${index}`, ROUTE);
    (index % 5 === 0 ? readers : idlers).push(call);
    call.caller.takes(index % 5 === 0 ? 40_000 : 0);
    await settle(rig);
  }
  let mostHeld = 0;
  for (let round = 0; round < 40; round += 1) {
    for (const {caller} of readers) {
      caller.takes(40_000);
    }
    await rig.review();
    mostHeld = Math.max(mostHeld, rig.heldBytes, rig.budget.bytes);
    const other = rig.call(`other-${round}`, ROUTE, true);
    other.caller.takes(Infinity);
    await settle(rig);
    t.true(isWhole(other.caller), `request in round ${round}`);
  }
  t.log(`held at most ${mostHeld} of ${rig.limit}`);
  t.true(mostHeld > rig.limit / 2, 'the load is hard enough');
  t.true(mostHeld <= rig.limit);
  t.true(readers.every(({source}) => source?.ended));
  t.true(readers.every(({caller}) => caller.gotBytes > answerBytes));
  t.true(idlers.every(({caller}) => caller.destroyed));
  t.true(idlers.some(({source}) => source?.cancelled));
  t.is(rig.budget.bytes, 0, 'nothing is counted for those that are gone');
  rig.close();
});

test('a caller that is cut sees that its answer is not whole', async (t) => {
  for (const kind of ['stream', 'idempotent'] as const) {
    const rig = new SlowRig(210, 200_000);
    const {caller, over, source} = rig.call('r', {...ROUTE, kind}, true);
    await settle(rig);
    caller.takes(30_000);
    for (let round = 0; round < 24; round += 1) {
      await rig.review();
    }
    await over;
    t.true(caller.destroyed);
    t.true(caller.gotBytes > 0);
    t.false(isWhole(caller));
    t.not(source?.cancelled, false);
    rig.close();
  }
});
