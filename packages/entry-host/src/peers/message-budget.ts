import type {ServerHttp2Stream} from 'node:http2';

/** Incomplete messages of all peers together, bytes. */
const MAXIMUM_HELD_BYTES = 32 * 1_048_576;

/** What a received piece of a message costs besides its bytes. */
const PIECE_OVERHEAD_BYTES = 512;

/**
 * Bounds the memory of incomplete messages of all peers together. The decoder
 * of the gRPC library keeps each piece as it came until the message is whole.
 * Beyond the bound, the connection of the stream that holds most is closed.
 */
export class MessageBudget {
  private readonly held = new Map<ServerHttp2Stream, number>();
  private total = 0;

  constructor(private readonly maximumBytes = MAXIMUM_HELD_BYTES) {}

  /** Bytes counted now. */
  get bytes(): number {
    return this.total;
  }

  recordPiece(stream: ServerHttp2Stream, bytes: number): void {
    const cost = bytes + PIECE_OVERHEAD_BYTES;
    this.held.set(stream, (this.held.get(stream) ?? 0) + cost);
    this.total += cost;
    if (this.total > this.maximumBytes) {
      this.closeLargest();
    }
  }

  /** A message of the stream is whole, or the stream has ended. */
  release(stream: ServerHttp2Stream): void {
    this.total -= this.held.get(stream) ?? 0;
    this.held.delete(stream);
  }

  private closeLargest(): void {
    let largest: ServerHttp2Stream | undefined;
    for (const [stream, bytes] of this.held) {
      if (largest === undefined || bytes > (this.held.get(largest) ?? 0)) {
        largest = stream;
      }
    }
    if (largest !== undefined) {
      this.release(largest);
      largest.session?.destroy();
    }
  }
}
