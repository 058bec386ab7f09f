import {GrowingBuffer} from '../lib/growing-buffer.js';

/** A complete event of a server-sent event stream. */
export interface ServerSentEvent {
  /** One character for each byte, as heads of requests are written. */
  readonly id: string | undefined;
  /** The event's bytes, including the blank line at its end. */
  readonly bytes: Buffer;
}

/** Longest event of a stream, bytes. */
const MAXIMUM_EVENT_BYTES = 1_048_576;

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

const ID_LINE = /^id:[ ]?(.*?)\r?$/m;

/** An event is longer than any that is buffered. */
export class EventTooLongError extends Error {
  override readonly name = 'EventTooLong';
}

/**
 * Finds where the events of a stream end, without buffering them: after a blank
 * line. Lines end in LF or CR LF. Each byte is looked at once.
 */
export class EventBoundaries {
  /** Bytes of the incomplete event. */
  private eventBytes = 0;
  /** Bytes of the incomplete line. */
  private lineBytes = 0;
  /** Whether the incomplete line starts with CR. */
  private startsWithReturn = false;
  /** Whether the incomplete event has a complete line. */
  private hasLine = false;

  /** Bytes of the incomplete event. */
  get pendingBytes(): number {
    return this.eventBytes;
  }

  /** Adds bytes of the stream; returns the ends of events among them. */
  feed(chunk: Buffer): readonly number[] {
    const ends: number[] = [];
    let eventStart = 0;
    let lineStart = 0;
    for (
      let end = chunk.indexOf(LINE_FEED);
      end >= 0;
      end = chunk.indexOf(LINE_FEED, lineStart)
    ) {
      this.extendLine(chunk, lineStart, end);
      lineStart = end + 1;
      const isBlank =
        this.lineBytes === 0 || (this.lineBytes === 1 && this.startsWithReturn);
      this.lineBytes = 0;
      if (isBlank && this.hasLine) {
        ends.push(lineStart);
        eventStart = lineStart;
        this.eventBytes = 0;
        this.hasLine = false;
      } else {
        this.hasLine = true;
      }
    }
    this.extendLine(chunk, lineStart, chunk.length);
    this.eventBytes += chunk.length - eventStart;
    return ends;
  }

  /** Forgets the incomplete event of a stream that broke off. */
  reset(): void {
    this.eventBytes = 0;
    this.lineBytes = 0;
    this.hasLine = false;
  }

  private extendLine(chunk: Buffer, start: number, end: number): void {
    if (this.lineBytes === 0) {
      this.startsWithReturn = end > start && chunk[start] === CARRIAGE_RETURN;
    }
    this.lineBytes += end - start;
  }
}

/** Splits a stream into complete events; buffers an incomplete one. */
export class EventSplitter {
  private readonly boundaries = new EventBoundaries();
  private readonly buffered = new GrowingBuffer();

  /** Bytes of the incomplete event. */
  get pendingBytes(): number {
    return this.boundaries.pendingBytes;
  }

  /**
   * Adds bytes of the stream and returns the events that they complete.
   *
   * @throws EventTooLongError if an event exceeds the limit.
   */
  feed(chunk: Buffer): readonly ServerSentEvent[] {
    const events: ServerSentEvent[] = [];
    let start = 0;
    for (const end of this.boundaries.feed(chunk)) {
      events.push(this.complete(chunk.subarray(start, end)));
      start = end;
    }
    if (start < chunk.length) {
      this.buffer(chunk.subarray(start));
    }
    return events;
  }

  /** Discards the incomplete event of a stream that broke off. */
  reset(): void {
    this.boundaries.reset();
    this.buffered.take();
  }

  private complete(rest: Buffer): ServerSentEvent {
    let bytes = rest;
    if (this.buffered.length > 0) {
      this.buffer(rest);
      bytes = this.buffered.take();
    }
    return {id: ID_LINE.exec(bytes.toString('latin1'))?.[1], bytes};
  }

  private buffer(bytes: Buffer): void {
    if (this.buffered.length + bytes.length > MAXIMUM_EVENT_BYTES) {
      this.buffered.take();
      throw new EventTooLongError(
        `an event exceeds ${MAXIMUM_EVENT_BYTES} bytes`,
      );
    }
    this.buffered.append(bytes);
  }
}
