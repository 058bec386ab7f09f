import {elapsedMs, type Instant} from '@basilworks/core';

/** A request whose prompt a server has to read. */
export interface Prompt {
  readonly id: string;
  readonly tokens: number;
  /** Rank of the request; 0 is first. */
  readonly priority: number;
}

/**
 * Share of the longest pause between two events of a stream that may pass with
 * the reading of prompts. The speed is believed on the slow side, which leaves time
 * for the steps that make the next event.
 */
const GAP_SHARE = 0.9;

/**
 * Share of the bound that is kept free for a prompt that is larger: alone it
 * makes a pause of its own, whenever it goes.
 */
const LARGE_SHARE = 0.5;

/** Speed of reading until some was seen, tokens a millisecond. */
const ASSUMED_TOKENS_PER_MS = 20;

/** Bounds of what is believed of the speed, tokens a millisecond. */
const SLOWEST_TOKENS_PER_MS = 2;
const FASTEST_TOKENS_PER_MS = 200;

/**
 * Weights of the newest speed in the running mean: times on the way, of steps
 * that had begun and of other prompts make samples too slow, never too fast.
 */
const FASTER_WEIGHT = 0.3;
const SLOWER_WEIGHT = 0.02;

/** Prompts that are smaller tell more of the way than of the speed, tokens. */
const LEAST_SAMPLE_TOKENS = 500;

/** Longest time for which a prompt counts, milliseconds. */
const LONGEST_COUNT_MS = 2_000;

/** Finished prompts that are remembered. */
const MAXIMUM_FINISHED = 256;

interface Sent {
  readonly tokens: number;
  readonly at: Instant;
}

/**
 * Lets only so many prompts go to a server within the pause that its streams may
 * make. They stand still while it reads, so that prompts that arrive together
 * make every stream late, though each could have waited for its first event.
 */
export class PromptQueue {
  /** Prompts that should be being read, or were sent within one pause. */
  private readonly sent = new Map<string, Sent>();
  /** Prompts that do not count any more, until their speed is told. */
  private readonly finished = new Map<string, Sent>();
  private queue: readonly Prompt[] = [];
  private tokensPerMs = ASSUMED_TOKENS_PER_MS;
  private longestGapMs = Infinity;

  /** The smallest pause that the streams of the server are to keep, ms. */
  keepGap(eventGapMs: number): void {
    this.longestGapMs = Math.min(this.longestGapMs, eventGapMs);
  }

  /** A request is to go to the server. */
  add(prompt: Prompt): void {
    this.queue = [...this.queue, prompt].sort(
      (first, second) => first.priority - second.priority,
    );
  }

  /** Prompts that may go now. */
  take(at: Instant): readonly Prompt[] {
    this.expire(at);
    const taken: Prompt[] = [];
    for (const prompt of this.queue) {
      const sent = this.sentTokens();
      const {id, tokens} = prompt;
      // Waiting for more room than that helps neither it nor the streams.
      const room = Math.min(tokens, this.limit() * LARGE_SHARE);
      if (sent + room > this.limit()) {
        break;
      }
      this.sent.set(id, {tokens, at});
      taken.push(prompt);
    }
    this.queue = this.queue.slice(taken.length);
    return taken;
  }

  /** A request is over, or goes without waiting any longer. */
  withdraw(id: string): void {
    this.queue = this.queue.filter((prompt) => prompt.id !== id);
  }

  /** The first event came `tookMs` after the prompt `id` had been let go. */
  read(id: string, tookMs: number): void {
    const known = this.sent.get(id) ?? this.finished.get(id);
    this.finished.delete(id);
    if (known !== undefined && known.tokens >= LEAST_SAMPLE_TOKENS) {
      const speed = known.tokens / Math.max(1, tookMs);
      const believed = Math.min(
        FASTEST_TOKENS_PER_MS,
        Math.max(SLOWEST_TOKENS_PER_MS, speed),
      );
      const weight =
        believed > this.tokensPerMs ? FASTER_WEIGHT : SLOWER_WEIGHT;
      this.tokensPerMs += weight * (believed - this.tokensPerMs);
    }
  }

  /** Milliseconds until the next prompt may go; undefined if none waits. */
  nextMs(at: Instant): number | undefined {
    if (this.queue.length === 0) {
      return undefined;
    }
    const dueMs = [...this.sent.values()].map(
      (each) => this.countedMs(each) - elapsedMs(each.at, at),
    );
    return Math.max(1, Math.min(LONGEST_COUNT_MS, ...dueMs));
  }

  /** Expected time until a prompt of some rank could go, milliseconds. */
  expectedWaitMs(priority: number): number {
    const ahead = this.queue
      .filter((prompt) => prompt.priority <= priority)
      .reduce((sum, {tokens}) => sum + tokens, this.sentTokens());
    const beyond = Math.max(0, ahead - this.limit());
    return beyond / (this.tokensPerMs * GAP_SHARE);
  }

  private limit(): number {
    return this.tokensPerMs * this.longestGapMs * GAP_SHARE;
  }

  private sentTokens(): number {
    let sum = 0;
    for (const {tokens} of this.sent.values()) {
      sum += tokens;
    }
    return sum;
  }

  /** How long a prompt counts, milliseconds: one pause, or while it is read. */
  private countedMs({tokens}: Sent): number {
    const readingMs = tokens / this.tokensPerMs;
    return Math.min(LONGEST_COUNT_MS, Math.max(this.longestGapMs, readingMs));
  }

  private expire(at: Instant): void {
    for (const [id, each] of this.sent) {
      if (elapsedMs(each.at, at) >= this.countedMs(each)) {
        this.sent.delete(id);
        this.finished.set(id, each);
      }
    }
    // Some requests are never told of.
    for (const id of this.finished.keys()) {
      if (this.finished.size <= MAXIMUM_FINISHED) {
        break;
      }
      this.finished.delete(id);
    }
  }
}
