import type {IncomingHttpHeaders} from 'node:http';

import {err, ok, ResultAsync, type Result} from 'neverthrow';
import type {Dispatcher} from 'undici';

import type {TimerService} from '../timer-service.js';

/** Why an HTTP exchange has no answer. */
export type ExchangeFailureReason =
  'unreachable' | 'forbidden' | 'cancelled' | 'timeout' | 'interrupted';

/**
 * An HTTP exchange that ended without a whole answer. `sent` is false only
 * where it is proved that no byte of the request left this host.
 */
export class ExchangeError extends Error {
  override readonly name = 'ExchangeError';

  constructor(
    readonly sent: boolean,
    readonly reason: ExchangeFailureReason,
    detail: string,
  ) {
    super(detail);
  }
}

/** A request to an outside system. */
export interface ExchangeRequest {
  /** Scheme, IP number and port. */
  readonly origin: string;
  readonly path: string;
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Buffer;
  /** Milliseconds until the exchange is given up. */
  readonly timeoutMs: number;
  /** Whether the time ends with the whole answer, the default, or its head. */
  readonly timeoutScope?: 'answer' | 'head';
}

/** Receives the answer of an exchange as it arrives. */
export interface ExchangeListener {
  /** Asked in the same turn as the socket write; false withholds it. */
  mayWrite?(): boolean;
  onHead(status: number, headers: IncomingHttpHeaders): void;
  /** Returns false to pause until `resume` is called. */
  onData(chunk: Buffer): boolean;
  onEnd(): void;
  onFailure(error: ExchangeError): void;
}

/** Controls an exchange in progress. */
export interface ExchangeHandle {
  resume(): void;
  /** Ends it with `cancelled` and closes its connection. */
  cancel(): void;
}

/** A whole answer. */
export interface ExchangeAnswer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
}

/** HTTP exchanges over pooled connections, with honest failures. */
export class HttpClient {
  private sequence = 0;

  constructor(
    private readonly dispatcher: Dispatcher,
    private readonly timers: TimerService,
  ) {}

  /** Starts an exchange; ends with exactly one `onEnd` or `onFailure`. */
  start(request: ExchangeRequest, listener: ExchangeListener): ExchangeHandle {
    const timer = `exchange/${this.sequence++}`;
    const release = () => {
      this.timers.cancel(timer);
    };
    const headOnly = request.timeoutScope === 'head';
    const exchange = new Exchange(listener, release, headOnly);
    this.timers.after(timer, request.timeoutMs, () => {
      exchange.abort('timeout');
    });
    const {origin, path, method, headers, body} = request;
    this.dispatcher.dispatch(
      {origin, path, method, headers: headers ?? {}, body: body ?? null},
      exchange,
    );
    return exchange;
  }

  /** Runs an exchange and collects its answer. */
  run(request: ExchangeRequest): ResultAsync<ExchangeAnswer, ExchangeError> {
    return new ResultAsync(
      new Promise<Result<ExchangeAnswer, ExchangeError>>((resolve) => {
        const chunks: Buffer[] = [];
        let head = {status: 0, headers: {}};
        this.start(request, {
          onHead: (status, headers) => {
            head = {status, headers};
          },
          onData: (chunk) => {
            chunks.push(chunk);
            return true;
          },
          onEnd: () => {
            resolve(ok({...head, body: Buffer.concat(chunks)}));
          },
          onFailure: (error) => {
            resolve(err(error));
          },
        });
      }),
    );
  }
}

/** Tracks one exchange from its queueing to its end. */
class Exchange implements Dispatcher.DispatchHandler, ExchangeHandle {
  private controller: Dispatcher.DispatchController | undefined;
  private sent = false;
  private ended = false;
  private endsWithConnection = false;

  constructor(
    private readonly listener: ExchangeListener,
    private readonly release: () => void,
    private readonly releaseAtHead: boolean,
  ) {}

  resume(): void {
    this.controller?.resume();
  }

  cancel(): void {
    this.abort('cancelled');
  }

  abort(reason: ExchangeFailureReason): void {
    this.fail(reason, reason);
    this.controller?.abort(new ExchangeError(this.sent, reason, reason));
  }

  /** Called right before the request is written to its connection. */
  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    if (!this.ended && this.listener.mayWrite?.() === false) {
      this.fail('forbidden', 'not allowed to act on this server any more');
    }
    if (this.ended) {
      controller.abort(new ExchangeError(false, 'cancelled', 'withheld'));
      return;
    }
    this.sent = true;
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    if (!this.ended && status >= 200) {
      if (this.releaseAtHead) {
        this.release();
      }
      this.endsWithConnection = !isDelimited(status, headers);
      this.listener.onHead(status, headers);
    }
  }

  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (!this.ended && !this.listener.onData(chunk)) {
      controller.pause();
    }
  }

  onResponseEnd(): void {
    if (this.endsWithConnection) {
      // The dispatcher reports a reset in the same way.
      this.fail('interrupted', 'nothing marks the end of the answer');
    } else if (!this.ended) {
      this.finish();
      this.listener.onEnd();
    }
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    this.fail(this.sent ? 'interrupted' : 'unreachable', error.message);
  }

  private fail(reason: ExchangeFailureReason, detail: string): void {
    if (!this.ended) {
      this.finish();
      this.listener.onFailure(new ExchangeError(this.sent, reason, detail));
    }
  }

  private finish(): void {
    this.ended = true;
    this.release();
  }
}

/** Statuses whose answers have no body. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** Whether an answer has an end of its own (RFC 9112, 6.3). */
const isDelimited = (status: number, headers: IncomingHttpHeaders): boolean =>
  BODILESS_STATUSES.has(status) ||
  headers['content-length'] !== undefined ||
  headers['transfer-encoding'] !== undefined;
