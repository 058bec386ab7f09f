import {connect, type Socket} from 'node:net';

import type {TimerService} from '@basilworks/daemon';

import {
  headerValue,
  headerValues,
  MalformedResponseError,
  type ResponseHead,
  ResponseParser,
} from './response-parser.js';

/** Opens a TCP socket; tests replace it. */
export type ConnectSocket = typeof connect;

/** Address of an upstream server. */
export interface UpstreamAddress {
  readonly host: string;
  readonly port: number;
}

/** Why an exchange ended without a complete response. */
export type ExchangeFailure =
  | 'unreachable'
  | 'connect-timeout'
  | 'withheld'
  | 'interrupted'
  | 'malformed'
  | 'cancelled';

/** An exchange that ended without a complete response. */
export class UpstreamError extends Error {
  override readonly name = 'UpstreamError';

  constructor(
    /** False only if no byte of the request was sent. */
    readonly sent: boolean,
    readonly reason: ExchangeFailure,
    detail: string,
    /** Whether no process listens at the server's address. */
    readonly connectionRefused = false,
  ) {
    super(detail);
  }
}

/** A serialized request and how to recognize its response. */
export interface UpstreamRequest {
  readonly method: string;
  /** Request line and headers, ready to be written. */
  readonly head: string;
  readonly body: Buffer;
  /** Id that the response echoes; undefined if it doesn't. */
  readonly requestId: string | undefined;
  /** Maximum response size, bytes; unlimited if absent, for relayed bodies. */
  readonly maximumBytes?: number;
}

/** Receives the response; the last call is either `end` or `failed`. */
export interface ExchangeObserver {
  /** Called before the first byte is written; false withholds the request. */
  mayWrite?(): boolean;
  head(head: ResponseHead): void;
  data(chunk: Buffer): void;
  end(): void;
  failed(error: UpstreamError): void;
}

/** Makes the timer names of connections unique. */
let serial = 0;

/** Receives the state changes of a connection, for its pool. */
export interface ConnectionObserver {
  /** The connection is available for another exchange. */
  idle(connection: UpstreamConnection): void;
  closed(connection: UpstreamConnection): void;
}

/**
 * Idle connections are closed this long before the server's keep-alive timeout,
 * milliseconds.
 */
const IDLE_MARGIN_MS = 1_500;

/** Idle timeout if the server sends no keep-alive timeout, milliseconds. */
const DEFAULT_IDLE_MS = 4_000;

/**
 * A connection to an upstream server, with one exchange at a time. A response
 * is matched to its request by the request id that it echoes: a response to an
 * earlier request is skipped, and bytes that belong to no request close the
 * connection.
 */
export class UpstreamConnection {
  private readonly socket: Socket;
  private exchange: Exchange | undefined;
  private readonly earlierIds = new Set<string>();
  private connected = false;
  private ended = false;
  private reusable = true;
  private idleMs = DEFAULT_IDLE_MS;

  constructor(
    address: UpstreamAddress,
    private readonly requestIdHeader: string,
    private readonly timers: TimerService,
    private readonly observer: ConnectionObserver,
    connectSocket: ConnectSocket = connect,
  ) {
    this.socket = connectSocket({...address, noDelay: true});
    this.socket.on('connect', () => {
      this.connected = true;
      this.write();
    });
    this.socket.on('data', (chunk: Buffer) => {
      this.handleData(chunk);
    });
    this.socket.on('end', () => {
      this.handlePeerEnd();
    });
    this.socket.on('error', ({message, code}: NodeJS.ErrnoException) => {
      const reason = this.connected ? 'interrupted' : 'unreachable';
      this.fail(reason, message, code === 'ECONNREFUSED');
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

  /** Whether the connection can start an exchange now. */
  get available(): boolean {
    return !this.ended && this.reusable && this.exchange === undefined;
  }

  /** Whether an exchange with this request id has ended on the connection. */
  hasCarried(requestId: string): boolean {
    return this.earlierIds.has(requestId);
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
    exchange.setClassifier(this.classifyHead);
    if (this.connected) {
      this.write();
      return;
    }
    const timer = `upstream/connect/${(serial += 1)}`;
    this.timers.after(timer, connectTimeoutMs, () => {
      this.fail('connect-timeout', `no connection in ${connectTimeoutMs} ms`);
    });
    const cancelTimer = () => {
      this.timers.cancel(timer);
    };
    this.socket.once('connect', cancelTimer);
    this.socket.once('close', cancelTimer);
  }

  pause(): void {
    this.socket.pause();
  }

  resume(): void {
    this.socket.resume();
  }

  /** Fails the exchange in progress and closes the connection. */
  cancel(): void {
    this.fail('cancelled', 'cancelled');
  }

  close(): void {
    this.fail('cancelled', 'closed');
  }

  private write(): void {
    const {exchange} = this;
    if (exchange?.observer.mayWrite?.() === false) {
      this.fail('withheld', 'withheld before the first byte');
    } else {
      exchange?.write(this.socket);
    }
  }

  private handleData(chunk: Buffer): void {
    let rest = chunk;
    while (rest.length > 0 && !this.ended) {
      const {exchange} = this;
      if (exchange === undefined) {
        // Bytes outside of an exchange: the connection can't be trusted.
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

  private readonly classifyHead = (
    exchange: Exchange,
    head: ResponseHead,
  ): HeadMatch => {
    const {requestId} = exchange.request;
    const echoed = headerValue(head.rawHeaders, this.requestIdHeader);
    if (echoed === requestId) {
      return 'current';
    }
    return echoed !== undefined && this.earlierIds.has(echoed)
      ? 'earlier'
      : 'unknown';
  };

  private finish(exchange: Exchange, extraBytes: boolean): void {
    this.exchange = undefined;
    // The last bytes may have arrived while a slow caller paused the socket.
    this.socket.resume();
    const {requestId} = exchange.request;
    if (requestId !== undefined) {
      this.earlierIds.add(requestId);
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
    // A server that responds before it has read the body may never read it.
    const bodySent = this.socket.writableLength === 0;
    this.reusable =
      !closing &&
      !extraBytes &&
      bodySent &&
      exchange.selfDelimited &&
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

  private handlePeerEnd(): void {
    const {exchange} = this;
    if (exchange?.connectionClosed() === true) {
      this.finish(exchange, false);
    } else {
      this.fail('interrupted', 'closed by the server');
    }
  }

  private fail(
    reason: ExchangeFailure,
    detail: string,
    connectionRefused = false,
  ): void {
    if (this.ended) {
      return;
    }
    this.ended = true;
    this.socket.destroy();
    const {exchange} = this;
    this.exchange = undefined;
    this.observer.closed(this);
    exchange?.observer.failed(
      new UpstreamError(exchange.written, reason, detail, connectionRefused),
    );
  }
}

/** Which request a response head belongs to. */
type HeadMatch = 'current' | 'earlier' | 'unknown';

/** Maximum bytes of duplicate responses that an exchange skips. */
const MAXIMUM_SKIPPED_BYTES = 1_048_576;

/** One request on a connection and the parsing of its response. */
class Exchange {
  written = false;
  finished = false;
  selfDelimited = true;
  head: ResponseHead | undefined;
  private skipping = false;
  private skippedBytes = 0;
  private receivedBytes = 0;
  private parser: ResponseParser;
  private classify: (exchange: Exchange, head: ResponseHead) => HeadMatch =
    () => 'current';

  constructor(
    readonly request: UpstreamRequest,
    readonly observer: ExchangeObserver,
  ) {
    this.parser = this.newParser();
  }

  setClassifier(
    classify: (exchange: Exchange, head: ResponseHead) => HeadMatch,
  ): void {
    this.classify = classify;
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

  /** Parses bytes; returns those that follow the response. */
  feed(chunk: Buffer): Buffer {
    this.receivedBytes += chunk.length;
    if (this.receivedBytes > (this.request.maximumBytes ?? Infinity)) {
      throw new MalformedResponseError('the response exceeds the size limit');
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

  /** Handles the server's close; true if that completes the response. */
  connectionClosed(): boolean {
    const complete = !this.skipping && this.parser.connectionClosed();
    this.finished = complete;
    this.selfDelimited = false;
    return complete;
  }

  private newParser(): ResponseParser {
    return new ResponseParser(
      {
        head: (head) => {
          const match = this.classify(this, head);
          if (match === 'unknown') {
            throw new MalformedResponseError(
              'the response does not match the request id',
            );
          }
          this.skipping = match === 'earlier';
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
            throw new MalformedResponseError(
              'duplicate responses exceed the size limit',
            );
          }
        },
        // The connection calls `end` once it has checked for extra bytes.
        end: () => undefined,
      },
      this.request.method,
    );
  }
}
