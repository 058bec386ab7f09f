import {elapsedMs, type Instant} from '@basilworks/core';

import {EXPLANATION_MS, type PrefillPace} from './prefill-pace.js';

/** A prompt that a server has to prefill. */
export interface Prompt {
  /** Identifies the request. */
  readonly id: string;
  readonly tokens: number;
  /** Priority level of its request; 0 is the highest. */
  readonly priority: number;
  /** Maximum wait with which the request can still be on time, milliseconds. */
  readonly onTimeWithinMs: number;
}

interface WaitingPrompt extends Prompt {
  readonly since: Instant;
}

/** A prompt that was released to the server. */
interface PendingPrompt {
  readonly tokens: number;
  readonly at: Instant;
  /** Estimated work that was pending before it, milliseconds. */
  readonly aheadMs: number;
}

/**
 * A prompt counts as pending until its first event is reported, but no longer
 * than this multiple of the estimated time, plus the allowance in milliseconds:
 * the report may be lost together with its host.
 */
const PENDING_RATIO = 2;
const PENDING_ALLOWANCE_MS = 50;

/**
 * Time without pending prompts that ends a busy period, milliseconds: the
 * steps in which the engine makes the events that were held up.
 */
const SETTLE_MS = 10;

/**
 * Releases prompts to one server so that the prefill work of each busy period
 * stays within the limit of its service. A prompt that exceeds the limit is
 * released alone. Requests that can still be on time go before those that
 * can't, then by priority, then by the time that they have left.
 */
export class PrefillQueue {
  private readonly pending = new Map<string, PendingPrompt>();
  private waiting: readonly WaitingPrompt[] = [];
  /** Prefill work released in the current busy period, milliseconds. */
  private busyMs = 0;
  private idleSince: Instant | undefined;
  /** Largest work of a recent busy period, milliseconds, and when. */
  private peak = {busyMs: 0, at: {monotonicMs: 0, wallMs: 0}};

  constructor(private readonly pace: PrefillPace) {}

  /** Adds a prompt that waits to be released. */
  add(prompt: Prompt, at: Instant): void {
    this.waiting = [...this.waiting, {...prompt, since: at}];
  }

  /** Returns the ids of the prompts that may be sent now. */
  release(at: Instant): readonly string[] {
    if (this.waiting.length === 0) {
      return [];
    }
    this.expire(at);
    const {limitMs = Infinity} = this.pace;
    const ordered = this.byUrgency(at);
    const released: string[] = [];
    if (this.idleSince !== undefined && this.settleMs(at) <= 0) {
      this.busyMs = 0;
    }
    let aheadMs = this.sumPendingMs();
    for (const {id, tokens} of ordered) {
      const prefillMs = this.pace.prefillMs(tokens);
      if (this.busyMs > 0 && this.busyMs + prefillMs > limitMs) {
        this.pace.recordWait(at);
        break;
      }
      this.pending.set(id, {tokens, at, aheadMs});
      aheadMs += prefillMs;
      this.busyMs += prefillMs;
      this.idleSince = undefined;
      released.push(id);
    }
    this.waiting = ordered.slice(released.length);
    this.recordPeak(at);
    return released;
  }

  /** Removes a prompt that is no longer to be sent. */
  withdraw(id: string, at: Instant): void {
    this.waiting = this.waiting.filter((prompt) => prompt.id !== id);
    this.endPending(id, at);
  }

  /**
   * Records that a prompt is no longer pending: its first event arrived
   * `prefillMs` after its send, or its request ended without one.
   */
  recordPrefilled(
    id: string,
    prefillMs: number | undefined,
    at: Instant,
  ): void {
    const prompt = this.pending.get(id);
    this.endPending(id, at);
    if (prompt?.aheadMs === 0 && prefillMs !== undefined) {
      this.pace.recordPrefill(prompt.tokens, prefillMs);
    }
  }

  /** Milliseconds until a waiting prompt may be released; undefined if none. */
  nextMs(at: Instant): number | undefined {
    if (this.waiting.length === 0) {
      return undefined;
    }
    const dueMs = [...this.pending.values()].map(
      (prompt) => this.maximumPendingMs(prompt) - elapsedMs(prompt.at, at),
    );
    return Math.max(
      1,
      this.idleSince === undefined ? Math.min(...dueMs) : this.settleMs(at),
    );
  }

  /**
   * Estimated wait of a prompt until its release, milliseconds: the work that
   * is pending or waits ahead of it, as far as it exceeds the limit.
   */
  expectedWaitMs({priority}: Pick<Prompt, 'priority'>, at: Instant): number {
    this.expire(at);
    const aheadMs = this.waiting
      .filter((prompt) => prompt.priority <= priority)
      .reduce(
        (sum, {tokens}) => sum + this.pace.prefillMs(tokens),
        this.sumPendingMs(),
      );
    return Math.max(0, aheadMs - (this.pace.limitMs ?? Infinity));
  }

  /** Prefill work that is pending or waits, milliseconds. */
  workMs(at: Instant): number {
    this.expire(at);
    return this.waiting.reduce(
      (sum, {tokens}) => sum + this.pace.prefillMs(tokens),
      this.sumPendingMs(),
    );
  }

  /** Largest work of a busy period in which a gap reported now may have begun. */
  recentBusyMs(at: Instant): number {
    if (elapsedMs(this.peak.at, at) <= EXPLANATION_MS) {
      return this.peak.busyMs;
    }
    return this.pending.size > 0 ? this.busyMs : 0;
  }

  private byUrgency(at: Instant): readonly WaitingPrompt[] {
    const leftMs = ({onTimeWithinMs, since}: WaitingPrompt) =>
      onTimeWithinMs - elapsedMs(since, at);
    const isLate = (prompt: WaitingPrompt) => (leftMs(prompt) < 0 ? 1 : 0);
    return [...this.waiting].sort(
      (first, second) =>
        isLate(first) - isLate(second) ||
        first.priority - second.priority ||
        leftMs(first) - leftMs(second),
    );
  }

  private sumPendingMs(): number {
    let sum = 0;
    for (const {tokens} of this.pending.values()) {
      sum += this.pace.prefillMs(tokens);
    }
    return sum;
  }

  private maximumPendingMs({tokens, aheadMs}: PendingPrompt): number {
    const estimatedMs = aheadMs + this.pace.prefillMs(tokens);
    return estimatedMs * PENDING_RATIO + PENDING_ALLOWANCE_MS;
  }

  private expire(at: Instant): void {
    for (const [id, prompt] of this.pending) {
      if (elapsedMs(prompt.at, at) >= this.maximumPendingMs(prompt)) {
        this.endPending(id, at);
      }
    }
  }

  private endPending(id: string, at: Instant): void {
    if (this.pending.delete(id) && this.pending.size === 0) {
      this.idleSince = at;
    }
  }

  /** Time until the busy period ends, while no prompt is pending. */
  private settleMs(at: Instant): number {
    return this.idleSince === undefined
      ? 0
      : SETTLE_MS - elapsedMs(this.idleSince, at);
  }

  private recordPeak(at: Instant): void {
    const expired = elapsedMs(this.peak.at, at) > EXPLANATION_MS;
    if (expired || this.busyMs >= this.peak.busyMs) {
      this.peak = {busyMs: this.busyMs, at};
    }
  }
}
