import {connect, type Socket} from 'node:net';

import type {TimerService} from '@basilworks/daemon';

import {
  headerValue,
  headerValues,
  MalformedResponseError,
  type ResponseHead,
  ResponseParser,
} from './response-parser.js';

/** Where a connection goes. */
export interface UpstreamAddress {
  readonly host: string;
  readonly port: number;
}

/** Why an exchange has no complete answer. */
export type ExchangeFailure =
  | 'unreachable'
  | 'connect-timeout'
  | 'withheld'
  | 'interrupted'
  | 'malformed'
  | 'cancelled';

/** An exchange that ended without a complete answer. */
export class UpstreamError extends Error {
  override readonly name = 'UpstreamError';

  constructor(
    /** False only where no byte of the request left this host. */
    readonly sent: boolean,
    readonly reason: ExchangeFailure,
    detail: string,
  ) {
    super(detail);
  }
}

/** A request as its bytes, and what identifies its answer. */
export interface UpstreamRequest {
  readonly method: string;
  /** Head and body, ready to be written. */
  readonly head: string;
  readonly body: Buffer;
  /** Identity that answers echo; undefined where they don't. */
  readonly requestId: string | undefined;
  /** Most that is read of an answer, bytes; no bound where it is passed on. */
  readonly maximumBytes?: number;
}

/** Receives the answer of an exchange; ends with one `end` or `failed`. */
export interface ExchangeObserver {
  /** Asked as the first byte is about to leave; false withholds the request. */
  mayWrite?(): boolean;
  head(head: ResponseHead): void;
  data(chunk: Buffer): void;
  end(): void;
  failed(error: UpstreamError): void;
}

/** Tells the timers of connections apart. */
let serial = 0;

/** What the pool learns of its connections. */
export interface ConnectionObserver {
  /** It can take another exchange. */
  idle(connection: UpstreamConnection): void;
  closed(connection: UpstreamConnection): void;
}

/** Idle connections end this long before their server would end them. */
const IDLE_MARGIN_MS = 1_500;

/** Idle time after which a connection whose server names none is closed. */
const DEFAULT_IDLE_MS = 4_000;

/**
 * One connection to an upstream server, with one exchange at a time. An answer
 * is matched to its request by the identity that it echoes: an answer to an
 * earlier request is passed over, and bytes that belong to no request close
 * the connection.
 */
export class UpstreamConnection {
  private readonly socket: Socket;
  private exchange: Exchange | undefined;
  private readonly earlier = new Set<string>();
  private connected = false;
  private ended = false;
  private reusable = true;
  private idleMs = DEFAULT_IDLE_MS;

  constructor(
    address: UpstreamAddress,
    private readonly requestIdHeader: string,
    private readonly timers: TimerService,
    private readonly observer: ConnectionObserver,
  ) {
    this.socket = connect({...address, noDelay: true});
    this.socket.on('connect', () => {
      this.connected = true;
      this.write();
    });
    this.socket.on('data', (chunk: Buffer) => {
      this.received(chunk);
    });
    this.socket.on('end', () => {
      this.peerEnded();
    });
    this.socket.on('error', (error) => {
      this.fail(this.connected ? 'interrupted' : 'unreachable', error.message);
    });
    this.socket.on('close', () => {
      this.fail('interrupted', 'closed by the server');
    });
    this.socket.on('timeout', () => {
      if (this.exchange === undefined) {
        this.close();
      }
    });
  }

  /** Whether it can take an exchange now. */
  get available(): boolean {
    return !this.ended && this.reusable && this.exchange === undefined;
  }

  /** Starts an exchange; `connectTimeoutMs` bounds the time to connect. */
  start(
    request: UpstreamRequest,
    connectTimeoutMs: number,
    observer: ExchangeObserver,
  ): void {
    this.socket.setTimeout(0);
    const exchange = new Exchange(request, observer);
    this.exchange = exchange;
    exchange.expect(this.acceptsHead);
    if (this.connected) {
      this.write();
      return;
    }
    const timer = `upstream/connect/${(serial += 1)}`;
    this.timers.after(timer, connectTimeoutMs, () => {
      this.fail('connect-timeout', `no connection in ${connectTimeoutMs} ms`);
    });
    const settled = () => {
      this.timers.cancel(timer);
    };
    this.socket.once('connect', settled);
    this.socket.once('close', settled);
  }

  pause(): void {
    this.socket.pause();
  }

  resume(): void {
    this.socket.resume();
  }

  /** Ends the exchange in progress and the connection. */
  cancel(): void {
    this.fail('cancelled', 'cancelled');
  }

  close(): void {
    this.fail('cancelled', 'closed');
  }

  private write(): void {
    const {exchange} = this;
    if (exchange?.observer.mayWrite?.() === false) {
      this.fail('withheld', 'not wanted there any more');
    } else {
      exchange?.write(this.socket);
    }
  }

  private received(chunk: Buffer): void {
    let rest = chunk;
    while (rest.length > 0 && !this.ended) {
      const {exchange} = this;
      if (exchange === undefined) {
        // Bytes that answer no request: nothing more can be trusted here.
        this.close();
        return;
      }
      try {
        rest = exchange.feed(rest);
      } catch (error) {
        const detail =
          error instanceof MalformedResponseError
            ? error.message
            : String(error);
        this.fail('malformed', detail);
        return;
      }
      if (exchange.finished) {
        this.finish(exchange, rest.length > 0);
        return;
      }
    }
  }

  private readonly acceptsHead = (
    exchange: Exchange,
    head: ResponseHead,
  ): HeadVerdict => {
    const {requestId} = exchange.request;
    const echoed = headerValue(head.rawHeaders, this.requestIdHeader);
    if (echoed === requestId) {
      return 'mine';
    }
    return echoed !== undefined && this.earlier.has(echoed)
      ? 'earlier'
      : 'foreign';
  };

  private finish(exchange: Exchange, extraBytes: boolean): void {
    this.exchange = undefined;
    // Its last bytes may have come while the caller was slow.
    this.socket.resume();
    const {requestId} = exchange.request;
    if (requestId !== undefined) {
      this.earlier.add(requestId);
    }
    const {head} = exchange;
    const rawHeaders = head?.rawHeaders ?? [];
    const closing = headerValues(rawHeaders, 'connection').some((value) =>
      /\bclose\b/i.test(value),
    );
    const timeout = /timeout=(\d+)/i.exec(
      headerValue(rawHeaders, 'keep-alive') ?? '',
    )?.[1];
    if (timeout !== undefined) {
      this.idleMs = Math.max(0, Number(timeout) * 1_000 - IDLE_MARGIN_MS);
    }
    // A server that answers before it has read a body may never read it.
    const bodyTaken = this.socket.writableLength === 0;
    this.reusable =
      !closing &&
      !extraBytes &&
      bodyTaken &&
      exchange.endedByLength &&
      this.idleMs > 0;
    if (this.reusable) {
      this.socket.setTimeout(this.idleMs);
    }
    exchange.observer.end();
    if (this.reusable) {
      this.observer.idle(this);
    } else {
      this.close();
    }
  }

  private peerEnded(): void {
    const {exchange} = this;
    if (exchange?.closed() === true) {
      this.finish(exchange, false);
    } else {
      this.fail('interrupted', 'closed by the server');
    }
  }

  private fail(reason: ExchangeFailure, detail: string): void {
    if (this.ended) {
      return;
    }
    this.ended = true;
    this.socket.destroy();
    const {exchange} = this;
    this.exchange = undefined;
    this.observer.closed(this);
    exchange?.observer.failed(
      new UpstreamError(exchange.written, reason, detail),
    );
  }
}

/** Whose answer a head begins. */
type HeadVerdict = 'mine' | 'earlier' | 'foreign';

/** Most that is passed over of second answers on one exchange, bytes. */
const MAXIMUM_SKIPPED_BYTES = 1_048_576;

/** One request on a connection and the reading of its answer. */
class Exchange {
  written = false;
  finished = false;
  endedByLength = true;
  head: ResponseHead | undefined;
  private skipping = false;
  private skippedBytes = 0;
  private receivedBytes = 0;
  private parser: ResponseParser;
  private verdictOf: (exchange: Exchange, head: ResponseHead) => HeadVerdict =
    () => 'mine';

  constructor(
    readonly request: UpstreamRequest,
    readonly observer: ExchangeObserver,
  ) {
    this.parser = this.newParser();
  }

  expect(
    verdictOf: (exchange: Exchange, head: ResponseHead) => HeadVerdict,
  ): void {
    this.verdictOf = verdictOf;
  }

  write(socket: Socket): void {
    this.written = true;
    const {head, body} = this.request;
    socket.cork();
    socket.write(head, 'latin1');
    if (body.length > 0) {
      socket.write(body);
    }
    socket.uncork();
  }

  /** Takes bytes; returns those after the answer. */
  feed(chunk: Buffer): Buffer {
    this.receivedBytes += chunk.length;
    if (this.receivedBytes > (this.request.maximumBytes ?? Infinity)) {
      throw new MalformedResponseError('the answer is too long');
    }
    let rest = this.parser.feed(chunk);
    while (this.skipping && this.parser.done) {
      this.skipping = false;
      this.parser = this.newParser();
      rest = this.parser.feed(rest);
    }
    this.finished = this.parser.done;
    return rest;
  }

  /** The server closed its side; true if the answer is complete. */
  closed(): boolean {
    const complete = !this.skipping && this.parser.connectionClosed();
    this.finished = complete;
    this.endedByLength = false;
    return complete;
  }

  private newParser(): ResponseParser {
    return new ResponseParser(
      {
        head: (head) => {
          const verdict = this.verdictOf(this, head);
          if (verdict === 'foreign') {
            throw new MalformedResponseError(
              'the answer names another request',
            );
          }
          this.skipping = verdict === 'earlier';
          if (!this.skipping) {
            this.head = head;
            this.observer.head(head);
          }
        },
        data: (chunk) => {
          if (!this.skipping) {
            this.observer.data(chunk);
            return;
          }
          this.skippedBytes += chunk.length;
          if (this.skippedBytes > MAXIMUM_SKIPPED_BYTES) {
            throw new MalformedResponseError('a second answer is too long');
          }
        },
        // The connection reports the end once the bytes after it are known.
        end: () => undefined,
      },
      this.request.method,
    );
  }
}
