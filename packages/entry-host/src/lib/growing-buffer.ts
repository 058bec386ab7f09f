/** Initial capacity, bytes. */
const INITIAL_BYTES = 1_024;

/**
 * Bytes that arrive in pieces. Its capacity doubles as it grows, so that each
 * byte is copied a constant number of times, however small the pieces are.
 */
export class GrowingBuffer {
  private storage: Buffer = EMPTY;
  private used = 0;

  constructor(
    private readonly initialBytes = INITIAL_BYTES,
    /** Number of bytes that it will never exceed. */
    private readonly maximumBytes = Infinity,
  ) {}

  /** Bytes of memory that it occupies. */
  get capacity(): number {
    return this.storage.length;
  }

  /** Number of bytes. */
  get length(): number {
    return this.used;
  }

  /** All bytes; valid until the next call of `append`. */
  get bytes(): Buffer {
    return this.storage.subarray(0, this.used);
  }

  append(piece: Buffer): void {
    const needed = this.used + piece.length;
    if (needed > this.storage.length) {
      const grown = Math.min(2 * this.used, this.maximumBytes);
      const capacity = Math.max(this.initialBytes, needed, grown);
      const storage = Buffer.allocUnsafeSlow(capacity);
      this.storage.copy(storage, 0, 0, this.used);
      this.storage = storage;
    }
    piece.copy(this.storage, this.used);
    this.used = needed;
  }

  /** Returns the bytes and starts anew; they stay valid. */
  take(): Buffer {
    const {bytes} = this;
    this.storage = EMPTY;
    this.used = 0;
    return bytes;
  }
}

const EMPTY = Buffer.alloc(0);
