import {GrowingBuffer} from '../lib/growing-buffer.js';

/** Status and headers of a response, with header names as received. */
export interface ResponseHead {
  readonly status: number;
  /** Alternating names and values, as received. */
  readonly rawHeaders: readonly string[];
  /** Whether the body ends only when the connection closes (RFC 9112, 6.3). */
  readonly endsWithConnection: boolean;
}

/** Receives the parsed response. */
export interface ResponseObserver {
  head(head: ResponseHead): void;
  data(chunk: Buffer): void;
  /** The response is complete. */
  end(): void;
}

/** Maximum size of a head, and of all trailers together, bytes. */
const MAXIMUM_HEAD_BYTES = 65_536;

/** Maximum number of lines of a head: each costs many times its bytes. */
const MAXIMUM_HEAD_LINES = 512;

/** Maximum length of a chunk size line or a trailer line, bytes. */
const MAXIMUM_LINE_BYTES = 1_024;

/** Maximum number of informational (1xx) responses to skip. */
const MAXIMUM_INFORMATIONAL = 16;

const VERSION_PREFIX = 'HTTP/1.';
const STATUS_LINE = /^HTTP\/1\.[01] ([1-9]\d\d)(?: |$)/;
const HEADER_LINE = /^([!#$%&'*+\-.^_`|~0-9A-Za-z]+):(.*)$/;
/** Characters that no header value may have (RFC 9110, 5.5). */
const FORBIDDEN_IN_VALUE = /[^\t\x20-\x7e\x80-\xff]/;
const CHUNK_SIZE = /^([0-9A-Fa-f]{1,8})[ \t]*(?:;.*)?$/;

/** The received bytes are not a valid HTTP/1.1 response. */
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
 * Parses one HTTP/1.1 response from a connection. Informational responses are
 * skipped. Bytes after the end of the response are returned to the caller.
 */
export class ResponseParser {
  private state: State = 'head';
  /** Bytes of the incomplete element that the current state reads. */
  private readonly buffered = new GrowingBuffer();
  /** How many of these bytes were searched for the element's end in vain. */
  private searched = 0;
  private remaining = 0;
  private informationalCount = 0;
  private trailerBytes = 0;

  constructor(
    private readonly observer: ResponseObserver,
    private readonly method: string,
  ) {}

  /** Whether the response is complete. */
  get done(): boolean {
    return this.state === 'done';
  }

  /**
   * Parses bytes; returns those that follow the response.
   *
   * @throws MalformedResponseError if they are not valid HTTP/1.1.
   */
  feed(chunk: Buffer): Buffer {
    let rest = chunk;
    if (this.buffered.length > 0) {
      this.buffered.append(chunk);
      rest = this.buffered.bytes;
    }
    while (rest.length > 0 && this.state !== 'done') {
      const next = STEPS[this.state](this, rest);
      if (next === undefined) {
        if (this.buffered.length === 0) {
          this.buffered.append(rest);
        }
        return EMPTY;
      }
      this.searched = 0;
      this.buffered.take();
      rest = next;
    }
    return rest;
  }

  /** Handles the peer's close; true if that completes the response. */
  connectionClosed(): boolean {
    if (this.state === 'until-close') {
      this.finish();
    }
    return this.state === 'done';
  }

  /**
   * The steps of the parser. Each returns the bytes that it did not consume, or
   * undefined to wait for more.
   */
  readHead(bytes: Buffer): Buffer | undefined {
    const checked = this.searched;
    const end = this.find(bytes, '\r\n\r\n');
    if (end < 0) {
      if (bytes.length > MAXIMUM_HEAD_BYTES) {
        throw this.malformed('the head is too long');
      }
      if (
        checked < VERSION_PREFIX.length &&
        !VERSION_PREFIX.startsWith(
          bytes.toString('latin1', 0, VERSION_PREFIX.length),
        )
      ) {
        throw this.malformed('no status line');
      }
      return undefined;
    }
    const [statusLine = '', ...lines] = bytes
      .toString('latin1', 0, end)
      .split('\r\n');
    if (lines.length > MAXIMUM_HEAD_LINES) {
      throw this.malformed('the head has too many lines');
    }
    const status = Number(STATUS_LINE.exec(statusLine)?.[1]);
    if (Number.isNaN(status)) {
      throw this.malformed('no status line');
    }
    const rawHeaders: string[] = [];
    for (const line of lines) {
      const [, name, field] = HEADER_LINE.exec(line) ?? [];
      if (name === undefined || field === undefined) {
        throw this.malformed('a header line is malformed');
      }
      const value = trimBlanks(field);
      if (FORBIDDEN_IN_VALUE.test(value)) {
        throw this.malformed('a header value has a control character');
      }
      rawHeaders.push(name, value);
    }
    const rest = bytes.subarray(end + 4);
    if (status >= 200) {
      this.beginBody(status, rawHeaders);
    } else if ((this.informationalCount += 1) > MAXIMUM_INFORMATIONAL) {
      throw this.malformed('too many informational heads');
    }
    return rest;
  }

  readFixed(bytes: Buffer): Buffer {
    const part = bytes.subarray(0, this.remaining);
    this.remaining -= part.length;
    this.observer.data(part);
    if (this.remaining === 0) {
      this.finish();
    }
    return bytes.subarray(part.length);
  }

  readChunkSize(bytes: Buffer): Buffer | undefined {
    const end = this.find(bytes, '\r\n');
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
    this.remaining = parseInt(size, 16);
    this.state = this.remaining === 0 ? 'trailers' : 'chunk-data';
    return bytes.subarray(end + 2);
  }

  readChunkData(bytes: Buffer): Buffer {
    const part = bytes.subarray(0, this.remaining);
    this.remaining -= part.length;
    if (this.remaining === 0) {
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
    const end = this.find(bytes, '\r\n');
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

  /** Finds the end of an element; goes on where an earlier search ended. */
  private find(bytes: Buffer, end: string): number {
    const from = Math.max(0, this.searched - end.length + 1);
    this.searched = bytes.length;
    return bytes.indexOf(end, from);
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
    this.remaining = Number(length ?? 0);
    const empty = this.method === 'HEAD' || status === 204 || status === 304;
    const closeDelimited = !empty && length === undefined && chunked === '';
    this.observer.head({
      status,
      rawHeaders,
      endsWithConnection: closeDelimited,
    });
    if (empty || (length !== undefined && this.remaining === 0)) {
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

const BLANKS: ReadonlySet<string> = new Set([' ', '\t']);

/** Removes spaces and tabs from both ends. */
const trimBlanks = (text: string): string => {
  let start = 0;
  let end = text.length;
  while (start < end && BLANKS.has(text.charAt(start))) {
    start += 1;
  }
  while (start < end && BLANKS.has(text.charAt(end - 1))) {
    end -= 1;
  }
  return text.slice(start, end);
};

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

/** Returns all values of a header; `name` must be in lower case. */
export const headerValues = (
  rawHeaders: readonly string[],
  name: string,
): readonly string[] =>
  rawHeaders.filter(
    (_value, index) =>
      index % 2 === 1 && rawHeaders[index - 1]?.toLowerCase() === name,
  );

/** Returns the first value of a header; `name` must be in lower case. */
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
