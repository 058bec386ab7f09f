import type {ServerResponse} from 'node:http';

/** The answer to a caller, written as it arrives. */
export class CallerAnswer {
  private finished = false;

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

  begin(status: number, rawHeaders: readonly string[]): void {
    const closing = this.closing() ? ['Connection', 'close'] : [];
    this.response.writeHead(status, [...rawHeaders, ...closing]);
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

  /** Writes a whole answer at once. */
  send(status: number, rawHeaders: readonly string[], body: Buffer): void {
    this.finished = true;
    const closing = this.closing() ? ['Connection', 'close'] : [];
    const length = ['Content-Length', `${body.length}`];
    this.response.writeHead(status, [...rawHeaders, ...length, ...closing]);
    this.response.end(body);
  }

  /** Cuts an answer that can't be completed, so that it never looks whole. */
  abort(): void {
    this.finished = true;
    this.response.destroy();
  }
}
