/** A whole event of a stream. */
export interface ServerSentEvent {
  readonly id: string | undefined;
  /** Its bytes, the blank line at its end included. */
  readonly bytes: Buffer;
}

/** Longest event that is put together, bytes. */
const MAXIMUM_EVENT_BYTES = 1_048_576;

const ID_LINE = /^id:[ ]?(.*)$/m;

/** Cuts a stream into whole events; a part of one is held back. */
export class EventSplitter {
  private buffered: Buffer = Buffer.alloc(0);

  /** Bytes of an event that has not ended. */
  get pendingBytes(): number {
    return this.buffered.length;
  }

  /** Takes bytes; returns the events that they complete. */
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

  /** Forgets a part of an event, as its stream broke off. */
  reset(): void {
    this.buffered = Buffer.alloc(0);
  }
}
