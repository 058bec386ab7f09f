/** Size of a block, bytes. */
const BLOCK_BYTES = 16_384;

/** Most free blocks that are kept: 16 MiB. */
const MAXIMUM_FREE_BLOCKS = 1_024;

/**
 * Blocks of one size that are used again. Memory that is freed instead stays
 * with the process until the garbage collector runs, and often beyond that.
 */
export class BlockPool {
  private readonly free: Buffer[] = [];

  take(): Buffer {
    return this.free.pop() ?? Buffer.allocUnsafeSlow(BLOCK_BYTES);
  }

  release(blocks: readonly Buffer[]): void {
    const room = MAXIMUM_FREE_BLOCKS - this.free.length;
    this.free.push(...blocks.slice(0, room));
  }
}

/** Bytes that arrive in pieces, kept in the blocks of a pool. */
export class BlockBuffer {
  private blocks: Buffer[] = [];
  private used = 0;

  constructor(private readonly pool: BlockPool) {}

  /** Number of bytes. */
  get length(): number {
    return this.used;
  }

  /** Bytes of memory that it occupies. */
  get capacity(): number {
    return this.blocks.length * BLOCK_BYTES;
  }

  /** Bytes to charge for it; a first block isn't charged before it is full. */
  get chargedBytes(): number {
    return this.blocks.length > 1 ? this.capacity : this.used;
  }

  append(piece: Buffer): void {
    for (let copied = 0; copied < piece.length;) {
      if (this.used === this.capacity) {
        this.blocks.push(this.pool.take());
      }
      const start = this.used % BLOCK_BYTES;
      const count = Math.min(BLOCK_BYTES - start, piece.length - copied);
      this.blocks.at(-1)?.set(piece.subarray(copied, copied + count), start);
      copied += count;
      this.used += count;
    }
  }

  /** Returns a copy of the bytes, and releases the blocks. */
  take(): Buffer {
    const bytes = Buffer.concat(this.blocks, this.used);
    this.clear();
    return bytes;
  }

  /** Releases the blocks. */
  clear(): void {
    this.pool.release(this.blocks);
    this.blocks = [];
    this.used = 0;
  }
}
