import type {Instant} from '@basilworks/core';

/** Memory that a host currently buffers for one caller. */
export interface BufferUsage {
  /** Bytes of its complete request, kept until it is answered. */
  readonly requestBytes: number;
  /** Bytes of an answer that is buffered until it is complete. */
  readonly answerBytes: number;
  /**
   * Bytes that wait for the caller: the unread part of the answer, or all of a
   * request that it has started to send.
   */
  readonly pendingBytes: number;
  /** Bytes that the caller has read or sent so far. */
  readonly movedBytes: number;
  /** Whether reading from the server is paused. */
  readonly paused: boolean;
  /** Whether the caller is still sending its request. */
  readonly receiving?: boolean;
}

/** Why a caller is disconnected. */
export type DisconnectReason = 'takes nothing' | 'memory' | 'connections';

/** A caller's connection whose buffers count against the budget. */
export interface BufferOwner {
  measure(): BufferUsage;
  /** Reads some more from a paused server. */
  readMore(): void;
  /** Ends the connection and all work for it. */
  disconnect(reason: DisconnectReason): void;
}

/** Share of the process's memory that may buffer callers' data. */
const MEMORY_SHARE = 0.25;

/** Memory that is assumed if the settings don't give it, megabytes. */
const DEFAULT_MEMORY_MB = 512;

/** Share of the budget up to which requests are read; answers get the rest. */
const REQUEST_SHARE = 0.75;

/**
 * Share of the budget that large requests may occupy until they are complete,
 * if there are several; what was read of them is copied once or twice.
 */
const RECEIVING_SHARE = 0.25;

/** Largest request that is not a large one, bytes: one read of a socket. */
const SMALL_REQUEST_BYTES = 65_536;

/**
 * Bytes of a request by which its caller has to advance to make progress; one
 * that sends a byte at a time must not hold the budget.
 */
const ADVANCE_BYTES = 16_384;

/** Share of the budget up to which answers are buffered until complete. */
const WHOLE_ANSWER_SHARE = 0.5;

/**
 * Data that a paused connection receives before its server is stopped, bytes:
 * one read and the operating system's initial receive window.
 */
const PAUSED_BYTES = 65_536;

/** Longest pause of a server, ms; it may disconnect after some seconds. */
const MAX_PAUSE_MS = 1_000;

/** Time without progress after which a caller is disconnected, milliseconds. */
const STALLED_MS = 10_000;

/** Time without progress after which a caller may make room for others, ms. */
const IDLE_MS = 2_000;

/** Interval of reviews, milliseconds: a fraction of the shortest bound. */
export const BUFFER_REVIEW_PERIOD_MS = 500;

/** Gap between two reviews beyond which the host itself was suspended, ms. */
const SUSPENDED_MS = 2_000;

/** Bytes that a process may buffer for its callers. */
export const bufferLimitBytes = (memoryMb = DEFAULT_MEMORY_MB): number =>
  Math.floor(memoryMb * 1_000_000 * MEMORY_SHARE);

/** A caller's account in the budget. */
export class BufferAccount {
  /** Bytes counted in the budget, and the part that waits for the caller. */
  bytes = 0;
  pendingBytes = 0;
  movedAtMs: number;
  advancedAtMs: number;
  pausedAtMs: number | undefined;
  private movedBytes = 0;
  private advancedBytes = 0;
  /** Bytes of a request that is still being read. */
  receivingBytes = 0;

  constructor(
    readonly owner: BufferOwner,
    private readonly budget: BufferBudget,
    atMs: number,
  ) {
    this.movedAtMs = atMs;
    this.advancedAtMs = atMs;
  }

  /** Measures again; disconnects callers while the budget is exceeded. */
  refresh(at: Instant): void {
    this.budget.refresh(this, at);
  }

  close(): void {
    this.budget.close(this);
  }

  /** Measures the owner; returns the change in bytes. */
  update(atMs: number): number {
    const before = this.bytes;
    const usage = this.owner.measure();
    if (usage.movedBytes > this.movedBytes || usage.pendingBytes === 0) {
      this.movedAtMs = atMs;
    }
    this.movedBytes = usage.movedBytes;
    const receiving = usage.receiving ?? false;
    const advance = receiving ? ADVANCE_BYTES : 1;
    if (
      usage.movedBytes - this.advancedBytes >= advance ||
      usage.pendingBytes === 0
    ) {
      this.advancedAtMs = atMs;
      this.advancedBytes = usage.movedBytes;
    }
    this.pausedAtMs = usage.paused ? (this.pausedAtMs ?? atMs) : undefined;
    this.pendingBytes = usage.pendingBytes + (usage.paused ? PAUSED_BYTES : 0);
    this.bytes = this.pendingBytes + usage.requestBytes + usage.answerBytes;
    this.receivingBytes = receiving ? this.bytes : 0;
    return this.bytes - before;
  }

  /** Time without any progress, milliseconds. */
  stalledMs(atMs: number): number {
    return atMs - this.movedAtMs;
  }

  /** Time without progress that counts if memory is short, milliseconds. */
  idleMs(atMs: number): number {
    return atMs - this.advancedAtMs;
  }
}

/**
 * Bounds the memory that a host buffers for all its callers together. Guards
 * against hundreds of callers that read or send slowly, or not at all, on a
 * machine with little memory: each connection buffers little, but their sum
 * exhausts the memory. Above the budget, the caller with the largest product of
 * pending bytes and idle time is disconnected, so that all others are served on
 * time.
 */
export class BufferBudget {
  private readonly accounts = new Set<BufferAccount>();
  private total = 0;
  private receivingTotal = 0;
  private reviewedAtMs: number | undefined;

  constructor(
    /** The budget in force; settings may change it. */
    private readonly limitBytes: () => number,
  ) {}

  /** Bytes buffered now. */
  get bytes(): number {
    return this.total;
  }

  /** Whether answers may be buffered until they are complete. */
  get canBufferWholeAnswers(): boolean {
    return this.total <= this.limitBytes() * WHOLE_ANSWER_SHARE;
  }

  open(owner: BufferOwner, at: Instant): BufferAccount {
    const account = new BufferAccount(owner, this, at.monotonicMs);
    this.accounts.add(account);
    return account;
  }

  /**
   * Whether a request of that many bytes may be read; disconnects idle callers
   * to make room for it.
   */
  hasRoomFor(bytes: number, {monotonicMs}: Instant): boolean {
    const bound = this.limitBytes() * REQUEST_SHARE - bytes;
    if (bytes === 0) {
      return true;
    }
    const isFull = () =>
      this.total > bound ||
      (bytes > SMALL_REQUEST_BYTES && !this.mayReceive(bytes));
    this.disconnectWhile(isFull, monotonicMs, IDLE_MS);
    return !isFull();
  }

  /**
   * Disconnects stalled callers, and reads from paused servers before they
   * disconnect. To be called every `BUFFER_REVIEW_PERIOD_MS`.
   */
  review({monotonicMs}: Instant): void {
    const gapMs = monotonicMs - (this.reviewedAtMs ?? monotonicMs);
    this.reviewedAtMs = monotonicMs;
    for (const account of [...this.accounts]) {
      if (gapMs > SUSPENDED_MS) {
        // Progress of callers went unnoticed meanwhile.
        account.movedAtMs = monotonicMs;
        account.advancedAtMs = monotonicMs;
      }
      this.update(account, monotonicMs);
      if (account.stalledMs(monotonicMs) >= STALLED_MS) {
        this.disconnect(account, 'takes nothing');
      } else if (
        monotonicMs - (account.pausedAtMs ?? Infinity) >=
        MAX_PAUSE_MS
      ) {
        account.pausedAtMs = monotonicMs;
        account.owner.readMore();
      }
    }
    this.enforceLimit(monotonicMs);
  }

  refresh(account: BufferAccount, {monotonicMs}: Instant): void {
    if (this.accounts.has(account)) {
      this.update(account, monotonicMs);
      if (account.receivingBytes > SMALL_REQUEST_BYTES) {
        this.enforceReceivingShare(monotonicMs);
      }
      this.enforceLimit(monotonicMs);
    }
  }

  close(account: BufferAccount): void {
    if (this.accounts.delete(account)) {
      this.total -= account.bytes;
      this.receivingTotal -= account.receivingBytes;
    }
  }

  private update(account: BufferAccount, atMs: number): void {
    this.receivingTotal -= account.receivingBytes;
    this.total += account.update(atMs);
    this.receivingTotal += account.receivingBytes;
  }

  /** Whether requests that are being read leave room for another one. */
  private mayReceive(bytes: number): boolean {
    const bound = this.limitBytes() * RECEIVING_SHARE;
    return this.receivingTotal === 0 || this.receivingTotal + bytes <= bound;
  }

  /** Bounds requests whose length was not known when they were admitted. */
  private enforceReceivingShare(atMs: number): void {
    const isLarge = ({receivingBytes}: BufferAccount) =>
      receivingBytes > SMALL_REQUEST_BYTES;
    const isAlone = () =>
      [...this.accounts].filter(({receivingBytes}) => receivingBytes > 0)
        .length === 1;
    const isFull = () => !this.mayReceive(0) && !isAlone();
    this.disconnectWhile(isFull, atMs, 0, isLarge);
  }

  private enforceLimit(atMs: number): void {
    this.disconnectWhile(() => this.total > this.limitBytes(), atMs, 0);
  }

  private disconnectWhile(
    full: () => boolean,
    atMs: number,
    idleMs: number,
    mayDisconnect: (account: BufferAccount) => boolean = () => true,
  ): void {
    while (full()) {
      const candidate = this.disconnectCandidate(atMs, idleMs, mayDisconnect);
      if (candidate === undefined) {
        return;
      }
      // It may have made progress since the last measurement.
      this.update(candidate, atMs);
      if (candidate.pendingBytes > 0 && candidate.idleMs(atMs) >= idleMs) {
        this.disconnect(candidate, 'memory');
      }
    }
  }

  /** The caller with the largest product of pending bytes and idle time. */
  private disconnectCandidate(
    atMs: number,
    idleMs: number,
    mayDisconnect: (account: BufferAccount) => boolean,
  ): BufferAccount | undefined {
    const weight = (account: BufferAccount) =>
      account.pendingBytes * (1 + account.idleMs(atMs));
    let candidate: BufferAccount | undefined;
    for (const account of this.accounts) {
      if (
        account.pendingBytes > 0 &&
        account.idleMs(atMs) >= idleMs &&
        mayDisconnect(account) &&
        weight(account) > (candidate === undefined ? 0 : weight(candidate))
      ) {
        candidate = account;
      }
    }
    return candidate;
  }

  private disconnect(account: BufferAccount, reason: DisconnectReason): void {
    this.close(account);
    account.owner.disconnect(reason);
  }
}
