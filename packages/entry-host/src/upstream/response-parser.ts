/** Status line and headers of an answer, names as they were sent. */
export interface ResponseHead {
  readonly status: number;
  /** Alternating names and values, as received. */
  readonly rawHeaders: readonly string[];
  /** The body has no length: only the connection's end tells its end. */
  readonly endsWithConnection: boolean;
}

/** Receives what the parser reads. */
export interface ResponseObserver {
  head(head: ResponseHead): void;
  data(chunk: Buffer): void;
  /** The answer is complete. */
  end(): void;
}

/** Longest head or chunk-size line that is read, bytes. */
const MAXIMUM_HEAD_BYTES = 65_536;
const MAXIMUM_LINE_BYTES = 1_024;

/** Informational heads that are passed over before an answer. */
const MAXIMUM_INFORMATIONAL = 16;

const STATUS_LINE = /^HTTP\/1\.[01] ([1-9]\d\d)(?: |$)/;
const HEADER_LINE = /^([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[ \t]*(.*?)[ \t]*$/;
const CHUNK_SIZE = /^([0-9A-Fa-f]{1,8})[ \t]*(?:;.*)?$/;

/** The bytes are no answer in the protocol. */
export class MalformedResponseError extends Error {
  override readonly name = 'MalformedResponse';
}

type State =
  | 'head'
  | 'fixed'
  | 'chunk-size'
  | 'chunk-data'
  | 'chunk-end'
  | 'trailers'
  | 'until-close'
  | 'done'
  | 'failed';

/**
 * Reads one HTTP/1.1 answer from a connection. Informational answers are
 * passed over. Bytes after the answer's end are handed back and never taken as
 * a part of it.
 */
export class ResponseParser {
  private state: State = 'head';
  private buffered: Buffer = Buffer.alloc(0);
  private left = 0;
  private informational = 0;
  private trailerBytes = 0;

  constructor(
    private readonly observer: ResponseObserver,
    private readonly method: string,
  ) {}

  /** Whether the whole answer has been read. */
  get done(): boolean {
    return this.state === 'done';
  }

  /**
   * Takes bytes; returns those that follow the answer's end.
   *
   * @throws MalformedResponse if they are no answer in the protocol.
   */
  feed(chunk: Buffer): Buffer {
    let rest =
      this.buffered.length > 0 ? Buffer.concat([this.buffered, chunk]) : chunk;
    this.buffered = EMPTY;
    while (rest.length > 0 && this.state !== 'done') {
      const next = STEPS[this.state](this, rest);
      if (next === undefined) {
        this.buffered = rest;
        return EMPTY;
      }
      rest = next;
    }
    return rest;
  }

  /** The peer closed its side; true if that completes the answer. */
  connectionClosed(): boolean {
    if (this.state === 'until-close') {
      this.finish();
    }
    return this.state === 'done';
  }

  /** Steps; each returns what it left, or undefined to wait for more. */
  readHead(bytes: Buffer): Buffer | undefined {
    const end = bytes.indexOf('\r\n\r\n');
    if (end < 0) {
      if (bytes.length > MAXIMUM_HEAD_BYTES) {
        throw this.malformed('the head is too long');
      }
      if (!'HTTP/1.'.startsWith(bytes.toString('latin1', 0, 7))) {
        throw this.malformed('no status line');
      }
      return undefined;
    }
    const [statusLine = '', ...lines] = bytes
      .toString('latin1', 0, end)
      .split('\r\n');
    const status = Number(STATUS_LINE.exec(statusLine)?.[1]);
    if (Number.isNaN(status)) {
      throw this.malformed('no status line');
    }
    const rawHeaders: string[] = [];
    for (const line of lines) {
      const [, name, value] = HEADER_LINE.exec(line) ?? [];
      if (name === undefined || value === undefined) {
        throw this.malformed('a header line is malformed');
      }
      rawHeaders.push(name, value);
    }
    const rest = bytes.subarray(end + 4);
    if (status >= 200) {
      this.beginBody(status, rawHeaders);
    } else if ((this.informational += 1) > MAXIMUM_INFORMATIONAL) {
      throw this.malformed('too many informational heads');
    }
    return rest;
  }

  readFixed(bytes: Buffer): Buffer {
    const part = bytes.subarray(0, this.left);
    this.left -= part.length;
    this.observer.data(part);
    if (this.left === 0) {
      this.finish();
    }
    return bytes.subarray(part.length);
  }

  readChunkSize(bytes: Buffer): Buffer | undefined {
    const end = bytes.indexOf('\r\n');
    if (end < 0) {
      if (bytes.length > MAXIMUM_LINE_BYTES) {
        throw this.malformed('a chunk size is too long');
      }
      return undefined;
    }
    const size = CHUNK_SIZE.exec(bytes.toString('latin1', 0, end))?.[1];
    if (size === undefined) {
      throw this.malformed('a chunk size is malformed');
    }
    this.left = parseInt(size, 16);
    this.state = this.left === 0 ? 'trailers' : 'chunk-data';
    return bytes.subarray(end + 2);
  }

  readChunkData(bytes: Buffer): Buffer {
    const part = bytes.subarray(0, this.left);
    this.left -= part.length;
    if (this.left === 0) {
      this.state = 'chunk-end';
    }
    this.observer.data(part);
    return bytes.subarray(part.length);
  }

  readChunkEnd(bytes: Buffer): Buffer | undefined {
    if (bytes.length < 2) {
      return undefined;
    }
    if (bytes[0] !== 0x0d || bytes[1] !== 0x0a) {
      throw this.malformed('a chunk has no end');
    }
    this.state = 'chunk-size';
    return bytes.subarray(2);
  }

  readTrailers(bytes: Buffer): Buffer | undefined {
    const end = bytes.indexOf('\r\n');
    if (end < 0) {
      if (bytes.length > MAXIMUM_LINE_BYTES) {
        throw this.malformed('a trailer is too long');
      }
      return undefined;
    }
    this.trailerBytes += end;
    if (this.trailerBytes > MAXIMUM_HEAD_BYTES) {
      throw this.malformed('the trailers are too long');
    }
    if (end === 0) {
      this.finish();
    }
    return bytes.subarray(end + 2);
  }

  readUntilClose(bytes: Buffer): Buffer {
    this.observer.data(bytes);
    return EMPTY;
  }

  private beginBody(status: number, rawHeaders: readonly string[]): void {
    const encodings = headerValues(rawHeaders, 'transfer-encoding');
    const lengths = new Set(headerValues(rawHeaders, 'content-length'));
    if (encodings.length > 0 && lengths.size > 0) {
      throw this.malformed('both a length and a transfer encoding');
    }
    const [length] = lengths;
    if (lengths.size > 1 || (length !== undefined && !/^\d+$/.test(length))) {
      throw this.malformed('the length is malformed');
    }
    const chunked = encodings.join(',').toLowerCase();
    if (chunked !== '' && chunked !== 'chunked') {
      throw this.malformed('an unknown transfer encoding');
    }
    this.left = Number(length ?? 0);
    const empty = this.method === 'HEAD' || status === 204 || status === 304;
    const unframed = !empty && length === undefined && chunked === '';
    this.observer.head({status, rawHeaders, endsWithConnection: unframed});
    if (empty || (length !== undefined && this.left === 0)) {
      this.finish();
    } else if (chunked === 'chunked') {
      this.state = 'chunk-size';
    } else {
      this.state = length === undefined ? 'until-close' : 'fixed';
    }
  }

  private finish(): void {
    this.state = 'done';
    this.observer.end();
  }

  private malformed(detail: string): MalformedResponseError {
    this.state = 'failed';
    return new MalformedResponseError(detail);
  }
}

const EMPTY = Buffer.alloc(0);

const STEPS: Readonly<
  Record<State, (parser: ResponseParser, bytes: Buffer) => Buffer | undefined>
> = {
  head: (parser, bytes) => parser.readHead(bytes),
  fixed: (parser, bytes) => parser.readFixed(bytes),
  'chunk-size': (parser, bytes) => parser.readChunkSize(bytes),
  'chunk-data': (parser, bytes) => parser.readChunkData(bytes),
  'chunk-end': (parser, bytes) => parser.readChunkEnd(bytes),
  trailers: (parser, bytes) => parser.readTrailers(bytes),
  'until-close': (parser, bytes) => parser.readUntilClose(bytes),
  done: (_parser, bytes) => bytes,
  failed: () => EMPTY,
};

/** Returns the values of a header, whose name is given in lower case. */
export const headerValues = (
  rawHeaders: readonly string[],
  name: string,
): readonly string[] =>
  rawHeaders.filter(
    (_value, index) =>
      index % 2 === 1 && rawHeaders[index - 1]?.toLowerCase() === name,
  );

/** Returns the first value of a header, whose name is given in lower case. */
export const headerValue = (
  rawHeaders: readonly string[],
  name: string,
): string | undefined => {
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const found = rawHeaders[index] ?? '';
    if (found.length === name.length && found.toLowerCase() === name) {
      return rawHeaders[index + 1];
    }
  }
  return undefined;
};
