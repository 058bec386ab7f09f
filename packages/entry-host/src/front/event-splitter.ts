/** A complete event of a server-sent event stream. */
export interface ServerSentEvent {
  readonly id: string | undefined;
  /** The event's bytes, including the blank line at its end. */
  readonly bytes: Buffer;
}

/** Longest incomplete event that is buffered, bytes; others are discarded. */
const MAXIMUM_EVENT_BYTES = 1_048_576;

const ID_LINE = /^id:[ ]?(.*)$/m;

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
    for (let end = rest.indexOf('\n\n'); end >= 0; end = rest.indexOf('\n\n')) {
      const bytes = rest.subarray(0, end + 2);
      const id = ID_LINE.exec(bytes.toString('utf8'))?.[1];
      events.push({id, bytes});
      rest = rest.subarray(end + 2);
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
