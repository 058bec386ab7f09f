/** Initial capacity, bytes. */
const INITIAL_BYTES = 1_024;

/**
 * Bytes that arrive in pieces. Its capacity doubles as it grows, so that each
 * byte is copied a constant number of times, however small the pieces are.
 */
export class GrowingBuffer {
  private storage: Buffer = EMPTY;
  private used = 0;

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
      const capacity = Math.max(INITIAL_BYTES, needed, 2 * this.used);
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
