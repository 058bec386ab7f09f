import type {ServerResponse} from 'node:http';

/**
 * Pieces in which an answer goes to a slow caller, bytes: each that is taken
 * shows that the caller still reads.
 */
const PIECE_BYTES = 16_384;

/** Largest answer that is handed over at once, bytes: a read of a socket. */
const WHOLE_BYTES = 65_536;

/** The answer to a caller, written as it arrives. */
export class CallerAnswer {
  private finished = false;
  private unframed = false;
  private ending = false;
  private writtenBytes = 0;
  /** Bytes behind those that the connection has not taken yet. */
  private readonly queue: Buffer[] = [];
  private queuedBytes = 0;
  private drained: () => void = () => undefined;

  constructor(
    private readonly response: ServerResponse,
    /** Whether the connection ends with this answer. */
    private readonly closing: () => boolean,
  ) {
    response.sendDate = false;
    response.on('drain', () => {
      this.writeQueue();
    });
  }

  /** Bytes that wait for the caller to take them. */
  get pendingBytes(): number {
    return this.queuedBytes + this.response.writableLength;
  }

  /** Bytes that the caller's connection has taken, framing aside. */
  get acceptedBytes(): number {
    return this.writtenBytes - this.pendingBytes;
  }

  /** A part of it has gone out. */
  get headersSent(): boolean {
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

  /** The caller has taken all that was written. */
  onDrain(callback: () => void): void {
    this.drained = callback;
  }

  /** The connection is done with the answer, however it ended. */
  onClose(callback: () => void): void {
    this.response.once('close', callback);
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
    this.writtenBytes += chunk.length;
    if (this.queue.length === 0 && !this.response.writableNeedDrain) {
      return this.response.write(chunk);
    }
    this.queue.push(chunk);
    this.queuedBytes += chunk.length;
    return false;
  }

  end(): void {
    this.finished = true;
    this.ending = true;
    if (this.queue.length === 0) {
      this.response.end();
    }
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
    if (body.length <= WHOLE_BYTES) {
      this.writtenBytes += body.length;
      this.response.end(body);
      return;
    }
    this.write(body.subarray(0, PIECE_BYTES));
    this.write(body.subarray(PIECE_BYTES));
    this.end();
  }

  /** Cuts an answer that can't be completed, so that it never looks whole. */
  abort(): void {
    this.finished = true;
    this.queue.length = 0;
    this.queuedBytes = 0;
    if (this.unframed) {
      this.response.socket?.resetAndDestroy();
    } else {
      this.response.destroy();
    }
  }

  /** Hands on what waits, piece by piece as the caller takes them. */
  private writeQueue(): void {
    const {queue, response} = this;
    while (!response.writableNeedDrain) {
      const next = queue.shift();
      if (next === undefined) {
        break;
      }
      if (next.length > PIECE_BYTES) {
        queue.unshift(next.subarray(PIECE_BYTES));
      }
      const piece = next.subarray(0, PIECE_BYTES);
      this.queuedBytes -= piece.length;
      response.write(piece);
    }
    if (queue.length > 0 || response.writableNeedDrain) {
      return;
    }
    if (this.ending) {
      response.end();
    } else {
      this.drained();
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
