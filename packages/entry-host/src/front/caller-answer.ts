import type {ServerResponse} from 'node:http';

/** The answer to a caller, written as it arrives. */
export class CallerAnswer {
  private finished = false;
  private unframed = false;

  constructor(
    private readonly response: ServerResponse,
    /** Whether the connection ends with this answer. */
    private readonly closing: () => boolean,
  ) {
    response.sendDate = false;
  }

  /** A part of it has gone out. */
  get begun(): boolean {
    return this.response.headersSent;
  }

  /** The caller closed its connection before the answer was complete. */
  onAbandoned(callback: () => void): void {
    this.response.on('close', () => {
      if (!this.finished) {
        callback();
      }
    });
  }

  onDrain(callback: () => void): void {
    this.response.on('drain', callback);
  }

  /**
   * Begins an answer whose body follows. With `endsWithConnection`, its end is
   * told by the connection's end only: a server that told it no better may have
   * broken off, and a length or a last chunk would vouch for the whole.
   */
  begin(
    status: number,
    rawHeaders: readonly string[],
    endsWithConnection: boolean,
  ): void {
    this.writeHead(status, rawHeaders, endsWithConnection);
    this.response.flushHeaders();
  }

  /** Returns false when the caller takes bytes slower than they arrive. */
  write(chunk: Buffer): boolean {
    return this.response.write(chunk);
  }

  end(): void {
    this.finished = true;
    this.response.end();
  }

  /** Writes an answer at once; see `begin` for `endsWithConnection`. */
  send(
    status: number,
    rawHeaders: readonly string[],
    body: Buffer,
    endsWithConnection = false,
  ): void {
    this.finished = true;
    const length = ['Content-Length', `${body.length}`];
    const framing = endsWithConnection ? [] : length;
    this.writeHead(status, [...rawHeaders, ...framing], endsWithConnection);
    this.response.end(body);
  }

  /** Cuts an answer that can't be completed, so that it never looks whole. */
  abort(): void {
    this.finished = true;
    if (this.unframed) {
      this.response.socket?.resetAndDestroy();
    } else {
      this.response.destroy();
    }
  }

  private writeHead(
    status: number,
    rawHeaders: readonly string[],
    endsWithConnection: boolean,
  ): void {
    this.unframed = endsWithConnection;
    if (endsWithConnection) {
      this.response.useChunkedEncodingByDefault = false;
      this.response.shouldKeepAlive = false;
    }
    const closes = endsWithConnection || this.closing();
    const closing = closes ? ['Connection', 'close'] : [];
    this.response.writeHead(status, [...rawHeaders, ...closing]);
  }
}
