/** A complete event of a server-sent event stream. */
export interface ServerSentEvent {
  readonly id: string | undefined;
  /** The event's bytes, including the blank line at its end. */
  readonly bytes: Buffer;
}

/** Longest incomplete event that is buffered, bytes; others are discarded. */
const MAXIMUM_EVENT_BYTES = 1_048_576;

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

const ID_LINE = /^id:[ ]?(.*?)\r?$/m;

/** Splits a stream into complete events; buffers an incomplete one. */
export class EventSplitter {
  private buffered: Buffer = Buffer.alloc(0);

  /** Buffered bytes of the incomplete event. */
  get pendingBytes(): number {
    return this.buffered.length;
  }

  /** Adds bytes of the stream and returns the events that they complete. */
  feed(chunk: Buffer): readonly ServerSentEvent[] {
    let rest =
      this.buffered.length > 0 ? Buffer.concat([this.buffered, chunk]) : chunk;
    const events: ServerSentEvent[] = [];
    for (let end = eventEnd(rest); end > 0; end = eventEnd(rest)) {
      const bytes = rest.subarray(0, end);
      const id = ID_LINE.exec(bytes.toString('utf8'))?.[1];
      events.push({id, bytes});
      rest = rest.subarray(end);
    }
    this.buffered =
      rest.length > MAXIMUM_EVENT_BYTES ? Buffer.alloc(0) : Buffer.from(rest);
    return events;
  }

  /** Discards the incomplete event of a stream that broke off. */
  reset(): void {
    this.buffered = Buffer.alloc(0);
  }
}

/**
 * Returns the end of the first event, after the blank line that ends it; -1 if
 * it is incomplete. Lines end in LF or CR LF.
 */
const eventEnd = (bytes: Buffer): number => {
  for (
    let end = bytes.indexOf('\n');
    end >= 0;
    end = bytes.indexOf('\n', end + 1)
  ) {
    const next = bytes[end + 1] === CARRIAGE_RETURN ? end + 2 : end + 1;
    if (bytes[next] === LINE_FEED) {
      return next + 1;
    }
  }
  return -1;
};
