import type {
  Dial,
  DialFailure,
  ServerPath,
  ServerStream,
  Transport,
} from './dial.js';
import {
  headerValue,
  headerValues,
  MalformedResponseError,
  type ResponseHead,
  ResponseParser,
} from './response-parser.js';

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
  /** Whether it must be sent by this host itself, through no peer. */
  readonly directOnly?: boolean;
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

/**
 * Longest idle time of a connection, whatever the server offers, milliseconds.
 * Timers take no arbitrarily large delays.
 */
const MAXIMUM_IDLE_MS = 600_000;

/**
 * Ids of requests that a connection remembers before it is replaced, bytes:
 * thousands of usual ones.
 */
const MAXIMUM_ID_BYTES = 65_536;

/** Idle timeout if the server sends no keep-alive timeout, milliseconds. */
const DEFAULT_IDLE_MS = 4_000;

/**
 * A connection to an upstream server, with one exchange at a time. A response
 * is matched to its request by the request id that it echoes: a response to an
 * earlier request is skipped, and bytes that belong to no request close the
 * connection.
 */
export class UpstreamConnection {
  private transport: Transport | undefined;
  private exchange: Exchange | undefined;
  private readonly earlierIds = new Set<string>();
  private earlierIdBytes = 0;
  private ended = false;
  private reusable = true;
  private idleMs = DEFAULT_IDLE_MS;
  private readonly cancelDial: () => void;

  constructor(
    dial: Dial,
    private readonly requestIdHeader: string,
    private readonly observer: ConnectionObserver,
  ) {
    this.cancelDial = dial({
      connected: (transport) => {
        this.handleConnected(transport);
      },
      failed: (failure) => {
        this.handleDialFailure(failure);
      },
    });
  }

  /** How the connection reaches the server; undefined until it is open. */
  get path(): ServerPath | undefined {
    return this.transport?.path;
  }

  /** Whether the connection can start an exchange now. */
  get available(): boolean {
    return !this.ended && this.reusable && this.exchange === undefined;
  }

  /** Whether an exchange with this request id has ended on the connection. */
  hasCarried(requestId: string): boolean {
    return this.earlierIds.has(requestId);
  }

  /** Starts an exchange, as soon as the connection is open. */
  start(request: UpstreamRequest, observer: ExchangeObserver): void {
    const exchange = new Exchange(request, observer);
    this.exchange = exchange;
    exchange.setClassifier(this.classifyHead);
    if (this.transport !== undefined) {
      this.transport.stream.setTimeout(0);
      this.write(this.transport.stream);
    }
  }

  pause(): void {
    this.transport?.stream.pause();
  }

  resume(): void {
    this.transport?.stream.resume();
  }

  /** Fails the exchange in progress and closes the connection. */
  cancel(): void {
    this.fail('cancelled', 'cancelled');
  }

  close(): void {
    this.fail('cancelled', 'closed');
  }

  private handleConnected(transport: Transport): void {
    this.transport = transport;
    const {stream} = transport;
    stream.on('data', (chunk: Buffer) => {
      this.contain(() => {
        this.handleData(chunk);
      });
    });
    stream.on('end', () => {
      this.contain(() => {
        this.handlePeerEnd(transport);
      });
    });
    stream.on('error', ({message}: Error) => {
      this.fail('interrupted', message);
    });
    stream.on('close', () => {
      this.fail('interrupted', 'closed by the server');
    });
    stream.on('timeout', () => {
      if (this.exchange === undefined) {
        this.close();
      }
    });
    this.write(stream);
  }

  private handleDialFailure({reason, detail, refused}: DialFailure): void {
    this.fail(reason, detail, refused);
  }

  private write(stream: ServerStream): void {
    const {exchange} = this;
    if (exchange?.observer.mayWrite?.() === false) {
      this.fail('withheld', 'withheld before the first byte');
    } else {
      exchange?.write(stream);
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
      rest = exchange.feed(rest);
      if (exchange.finished) {
        this.finish(exchange, rest.length > 0);
        return;
      }
    }
  }

  /**
   * Runs a handler of received bytes. Whatever it throws fails the exchange:
   * bytes of a server never end the process.
   */
  private contain(handle: () => void): void {
    const {exchange} = this;
    try {
      handle();
    } catch (error) {
      const detail =
        error instanceof MalformedResponseError ? error.message : String(error);
      // A response that was complete is no longer the exchange in progress.
      this.exchange ??= exchange;
      this.fail('malformed', detail);
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
    const stream = this.transport?.stream;
    // The last bytes may have arrived while a slow caller paused the stream.
    stream?.resume();
    const {requestId} = exchange.request;
    if (requestId !== undefined) {
      this.earlierIds.add(requestId);
      this.earlierIdBytes += requestId.length;
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
      const offeredMs = Number(timeout) * 1_000 - IDLE_MARGIN_MS;
      this.idleMs = Math.min(MAXIMUM_IDLE_MS, Math.max(0, offeredMs));
    }
    // A server that responds before it has read the body may never read it.
    const bodySent = stream?.writableLength === 0;
    this.reusable =
      !closing &&
      !extraBytes &&
      bodySent &&
      exchange.selfDelimited &&
      this.earlierIdBytes < MAXIMUM_ID_BYTES &&
      this.idleMs > 0;
    if (this.reusable) {
      stream?.setTimeout(this.idleMs);
    }
    exchange.observer.end();
    if (this.reusable) {
      this.observer.idle(this);
    } else {
      this.close();
    }
  }

  private handlePeerEnd({confirmClose}: Transport): void {
    const {exchange} = this;
    if (exchange?.head?.endsWithConnection !== true) {
      this.fail('interrupted', 'closed by the server');
      return;
    }
    confirmClose((inOrder) => {
      this.contain(() => {
        if (!inOrder) {
          this.fail('interrupted', 'not closed in order');
        } else if (exchange === this.exchange && exchange.connectionClosed()) {
          this.finish(exchange, false);
        }
      });
    });
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
    this.cancelDial();
    this.transport?.stream.destroy();
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

  write(stream: ServerStream): void {
    this.written = true;
    const {head, body} = this.request;
    stream.cork();
    stream.write(head, 'latin1');
    if (body.length > 0) {
      stream.write(body);
    }
    stream.uncork();
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
