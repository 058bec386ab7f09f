import type {ServerResponse} from 'node:http';

/**
 * Size of the chunks in which an answer is written to a slow caller, bytes.
 * Each chunk that its connection accepts shows that the caller still reads.
 */
const CHUNK_BYTES = 16_384;

/**
 * Largest body that keeps the framing of a server that sends no length, bytes:
 * the initial send buffer of a connection takes it at once, so that the end of
 * this process can't cut it off.
 */
const MAXIMUM_UNFRAMED_BYTES = 16_384;

/** Largest answer that is written at once, bytes: one read from a socket. */
const MAXIMUM_SINGLE_WRITE_BYTES = 65_536;

/** The answer to a caller, written as it arrives. */
export class CallerAnswer {
  private finished = false;
  /** Whether only the end of the connection marks the end of the answer. */
  private endsWithConnection = false;
  private ending = false;
  private writtenBytes = 0;
  /** Chunks that wait until the connection has accepted earlier bytes. */
  private readonly queue: Buffer[] = [];
  private queuedBytes = 0;
  private drainCallback: () => void = () => undefined;

  constructor(
    private readonly response: ServerResponse,
    /** Whether the connection is to be closed after this answer. */
    private readonly isClosing: () => boolean,
  ) {
    response.sendDate = false;
    response.on('drain', () => {
      this.writeQueue();
    });
  }

  /** Bytes written that the caller's connection has not accepted yet. */
  get pendingBytes(): number {
    return this.queuedBytes + this.response.writableLength;
  }

  /** Body bytes that the caller's connection has accepted. */
  get acceptedBytes(): number {
    return this.writtenBytes - this.pendingBytes;
  }

  /** Whether the head of the answer has been sent. */
  get headersSent(): boolean {
    return this.response.headersSent;
  }

  /** Registers a callback for a caller that leaves before the answer ends. */
  onAbandoned(callback: () => void): void {
    this.response.on('close', () => {
      if (!this.finished) {
        callback();
      }
    });
  }

  /** Registers a callback for when all that was written has been accepted. */
  onDrain(callback: () => void): void {
    this.drainCallback = callback;
  }

  /** Registers a callback for when the response closes, complete or not. */
  onClose(callback: () => void): void {
    this.response.once('close', callback);
  }

  /**
   * Begins an answer whose body follows in chunks, even if only the end of its
   * server's connection delimits it: when this process ends, the kernel closes
   * its connections in order, and only a last chunk that is missing shows that
   * the answer is not complete.
   */
  begin(status: number, rawHeaders: readonly string[]): void {
    this.writeHead(status, rawHeaders);
    this.response.flushHeaders();
    const {chunkedEncoding, req} = this.response;
    if (req.httpVersion === '1.0' && !chunkedEncoding) {
      // The runtime would close a connection whose caller has closed its half
      // as at the end of the answer.
      this.endsWithConnection = true;
      this.response.socket?.prependOnceListener('end', () => {
        if (!this.ending || this.queue.length > 0) {
          this.resetConnection();
        }
      });
    }
  }

  /** Writes a chunk; false if the caller reads slower than chunks arrive. */
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

  /**
   * Writes a whole answer. With `endsWithConnection`, only the end of its
   * server's connection delimited it, so that it may have been truncated; a
   * length would assert that it is complete.
   */
  send(
    status: number,
    rawHeaders: readonly string[],
    body: Buffer,
    endsWithConnection = false,
  ): void {
    this.finished = true;
    if (endsWithConnection && body.length <= MAXIMUM_UNFRAMED_BYTES) {
      this.endsWithConnection = true;
      this.response.useChunkedEncodingByDefault = false;
      this.response.shouldKeepAlive = false;
      this.writeHead(status, rawHeaders, true);
    } else {
      const contentLength = ['Content-Length', `${body.length}`];
      this.writeHead(status, [...rawHeaders, ...contentLength]);
    }
    if (body.length <= MAXIMUM_SINGLE_WRITE_BYTES) {
      this.writtenBytes += body.length;
      this.response.end(body);
      return;
    }
    this.write(body.subarray(0, CHUNK_BYTES));
    this.write(body.subarray(CHUNK_BYTES));
    this.end();
  }

  /** Aborts an answer in such a way that the caller sees it as incomplete. */
  abort(): void {
    this.finished = true;
    this.queue.length = 0;
    this.queuedBytes = 0;
    if (this.endsWithConnection && !this.response.writableFinished) {
      this.resetConnection();
    } else {
      this.response.destroy();
    }
  }

  private resetConnection(): void {
    const {socket} = this.response;
    if (socket?.writableEnded === true) {
      // A reset during a shutdown fails and would leave the descriptor open.
      socket.destroy();
    } else {
      socket?.resetAndDestroy();
    }
  }

  /** Writes queued chunks for as long as the connection accepts them. */
  private writeQueue(): void {
    const {queue, response} = this;
    while (!response.writableNeedDrain) {
      const next = queue.shift();
      if (next === undefined) {
        break;
      }
      if (next.length > CHUNK_BYTES) {
        queue.unshift(next.subarray(CHUNK_BYTES));
      }
      const chunk = next.subarray(0, CHUNK_BYTES);
      this.queuedBytes -= chunk.length;
      response.write(chunk);
    }
    if (queue.length > 0 || response.writableNeedDrain) {
      return;
    }
    if (this.ending) {
      response.end();
    } else {
      this.drainCallback();
    }
  }

  private writeHead(
    status: number,
    rawHeaders: readonly string[],
    closesConnection = this.isClosing(),
  ): void {
    const connectionHeader = closesConnection ? ['Connection', 'close'] : [];
    this.response.writeHead(status, [...rawHeaders, ...connectionHeader]);
  }
}
