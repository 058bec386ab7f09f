import type {ServerResponse} from 'node:http';

const LINE_END_LENGTH = 2;
const CARRIAGE_RETURN = 0x0d;
const LINE_FEED = 0x0a;
const LAST_CHUNK = Buffer.from('0\r\n\r\n');

/**
 * Writes the body of a response in the chunked transfer coding, each chunk with
 * one write to the connection. Node's own coding takes four and corks the
 * connection until the next tick, for every token of a stream.
 */
export class ChunkWriter {
  constructor(
    private readonly response: ServerResponse,
    /** Called when more may be written after `write` returned false. */
    private readonly onDrain: () => void,
  ) {}

  /** Writes the head; the response must not have begun. */
  begin(status: number, headers: Readonly<Record<string, string>>): void {
    const {response} = this;
    response.writeHead(status, {...headers, 'transfer-encoding': 'chunked'});
    response.flushHeaders();
    response.chunkedEncoding = false;
    const {socket} = response;
    response.on('drain', this.onDrain);
    socket?.on('drain', this.onDrain);
    response.once('close', () => {
      socket?.off('drain', this.onDrain);
    });
  }

  /** Returns false when the caller is slower than its source. */
  write(chunk: Buffer): boolean {
    if (chunk.length === 0) {
      return true;
    }
    const {response} = this;
    // A pipelined response has no connection until its predecessor has ended.
    return (response.socket ?? response).write(frame(chunk));
  }

  end(): void {
    this.response.end(LAST_CHUNK);
  }
}

const frame = (chunk: Buffer): Buffer => {
  const size = chunk.length.toString(16);
  const start = size.length + LINE_END_LENGTH;
  const framed = Buffer.allocUnsafe(start + chunk.length + LINE_END_LENGTH);
  framed.write(size, 0, 'latin1');
  framed[start - 2] = CARRIAGE_RETURN;
  framed[start - 1] = LINE_FEED;
  chunk.copy(framed, start);
  framed[framed.length - 2] = CARRIAGE_RETURN;
  framed[framed.length - 1] = LINE_FEED;
  return framed;
};
