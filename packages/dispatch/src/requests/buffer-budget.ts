import type {Instant} from '@basilworks/core';

/** What a host holds for one caller at a moment. */
export interface BufferUsage {
  /** Bytes of its whole request, kept until it is answered. */
  readonly requestBytes: number;
  /** Bytes of an answer that is kept until it is whole. */
  readonly answerBytes: number;
  /**
   * Bytes that wait for the caller: those of the answer that it has not taken,
   * or all of a request that it has begun to send.
   */
  readonly pendingBytes: number;
  /** What the caller has taken or sent so far: grows while it moves. */
  readonly movedBytes: number;
  /** The answer's server is held back. */
  readonly paused: boolean;
}

/** Why a caller's connection is cut. */
export type DisconnectReason = 'takes nothing' | 'memory';

/** One caller's connection, as the budget sees it. */
export interface BufferOwner {
  measure(): BufferUsage;
  /** Reads some more of a server that is held back. */
  readMore(): void;
  /** Ends the connection and all work for it. */
  disconnect(reason: DisconnectReason): void;
}

/** Share of a process's memory that is held for callers. */
const MEMORY_SHARE = 0.25;

/** Memory that is assumed where the settings name none, megabytes. */
const DEFAULT_MEMORY_MB = 512;

/** Share of the budget up to which requests are read; answers have the rest. */
const REQUEST_SHARE = 0.75;

/** Share of the budget up to which answers are kept until they are whole. */
const WHOLE_ANSWER_SHARE = 0.5;

/**
 * What a connection that is held back takes in before its server is stopped,
 * bytes: one read and the operating system's first receive window.
 */
const PAUSED_BYTES = 65_536;

/** Longest time a server is held back, ms; it may cut after some seconds. */
const READ_ON_MS = 1_000;

/** A caller that moves nothing for this long has left, milliseconds. */
const STALLED_MS = 10_000;

/** A caller that moves nothing for this long makes room for others, ms. */
const IDLE_MS = 2_000;

/** Between two reviews, milliseconds: a part of the shortest bound. */
export const BUFFER_REVIEW_PERIOD_MS = 500;

/** Beyond this between two reviews the host itself stood still, milliseconds. */
const STANDSTILL_MS = 2_000;

/** Bytes that a process may hold for its callers. */
export const bufferLimitBytes = (memoryMb = DEFAULT_MEMORY_MB): number =>
  Math.floor(memoryMb * 1_000_000 * MEMORY_SHARE);

/** A caller's part of the budget. */
export class BufferAccount {
  /** Counted in the budget, and how much of it waits for the caller. */
  bytes = 0;
  pendingBytes = 0;
  movedAtMs: number;
  pausedAtMs: number | undefined;
  private movedBytes = 0;

  constructor(
    readonly owner: BufferOwner,
    private readonly budget: BufferBudget,
    atMs: number,
  ) {
    this.movedAtMs = atMs;
  }

  /** Counts anew; callers are cut while the budget is exceeded. */
  refresh(at: Instant): void {
    this.budget.refresh(this, at);
  }

  close(): void {
    this.budget.close(this);
  }

  /** Takes what its holder holds now; returns by how much that grew. */
  update(atMs: number): number {
    const before = this.bytes;
    const held = this.owner.measure();
    if (held.movedBytes > this.movedBytes || held.pendingBytes === 0) {
      this.movedAtMs = atMs;
    }
    this.movedBytes = held.movedBytes;
    this.pausedAtMs = held.paused ? (this.pausedAtMs ?? atMs) : undefined;
    this.pendingBytes = held.pendingBytes + (held.paused ? PAUSED_BYTES : 0);
    this.bytes = this.pendingBytes + held.requestBytes + held.answerBytes;
    return this.bytes - before;
  }

  idleMs(atMs: number): number {
    return atMs - this.movedAtMs;
  }
}

/**
 * Bounds what a host holds for all its callers together. Answers the load of
 * hundreds of callers that read or send slowly, or not at all, on a machine with
 * little memory: each connection for itself holds little, their sum is the
 * memory. Beyond the budget the caller that holds most and has moved nothing
 * for longest is cut, so that all others are served on time.
 */
export class BufferBudget {
  private readonly shares = new Set<BufferAccount>();
  private total = 0;
  private reviewedAtMs: number | undefined;

  constructor(
    /** The budget in force; settings may change it. */
    private readonly limitBytes: () => number,
  ) {}

  /** Bytes held now. */
  get bytes(): number {
    return this.total;
  }

  /** Whether answers may be kept until they are whole. */
  get canBufferWholeAnswers(): boolean {
    return this.total <= this.limitBytes() * WHOLE_ANSWER_SHARE;
  }

  open(holder: BufferOwner, at: Instant): BufferAccount {
    const share = new BufferAccount(holder, this, at.monotonicMs);
    this.shares.add(share);
    return share;
  }

  /**
   * Whether a request of so many bytes may be read; callers that have stood
   * still for a while make room for it.
   */
  hasRoomFor(bytes: number, {monotonicMs}: Instant): boolean {
    const bound = this.limitBytes() * REQUEST_SHARE - bytes;
    if (this.total <= bound || bytes === 0) {
      return true;
    }
    this.cutWhile(() => this.total > bound, monotonicMs, IDLE_MS);
    return this.total <= bound;
  }

  /**
   * Cuts callers that take nothing, and reads servers on before they cut their
   * answers. To be called every `HELD_REVIEW_PERIOD_MS`.
   */
  review({monotonicMs}: Instant): void {
    const gapMs = monotonicMs - (this.reviewedAtMs ?? monotonicMs);
    this.reviewedAtMs = monotonicMs;
    for (const share of [...this.shares]) {
      if (gapMs > STANDSTILL_MS) {
        // Callers could not be seen to move meanwhile.
        share.movedAtMs = monotonicMs;
      }
      this.total += share.update(monotonicMs);
      if (share.idleMs(monotonicMs) >= STALLED_MS) {
        this.cut(share, 'takes nothing');
      } else if (monotonicMs - (share.pausedAtMs ?? Infinity) >= READ_ON_MS) {
        share.pausedAtMs = monotonicMs;
        share.owner.readMore();
      }
    }
    this.keepWithin(monotonicMs);
  }

  refresh(share: BufferAccount, {monotonicMs}: Instant): void {
    if (this.shares.has(share)) {
      this.total += share.update(monotonicMs);
      this.keepWithin(monotonicMs);
    }
  }

  close(share: BufferAccount): void {
    if (this.shares.delete(share)) {
      this.total -= share.bytes;
    }
  }

  private keepWithin(atMs: number): void {
    this.cutWhile(() => this.total > this.limitBytes(), atMs, 0);
  }

  private cutWhile(full: () => boolean, atMs: number, idleMs: number): void {
    while (full()) {
      const worst = this.worst(atMs, idleMs);
      if (worst === undefined) {
        return;
      }
      // It may have moved since it was counted.
      this.total += worst.update(atMs);
      if (worst.pendingBytes > 0 && worst.idleMs(atMs) >= idleMs) {
        this.cut(worst, 'memory');
      }
    }
  }

  /** The caller that holds most and has moved nothing for longest. */
  private worst(atMs: number, idleMs: number): BufferAccount | undefined {
    const weight = (share: BufferAccount) =>
      share.pendingBytes * (1 + share.idleMs(atMs));
    let worst: BufferAccount | undefined;
    for (const share of this.shares) {
      if (
        share.pendingBytes > 0 &&
        share.idleMs(atMs) >= idleMs &&
        weight(share) > (worst === undefined ? 0 : weight(worst))
      ) {
        worst = share;
      }
    }
    return worst;
  }

  private cut(share: BufferAccount, reason: DisconnectReason): void {
    this.close(share);
    share.owner.disconnect(reason);
  }
}
