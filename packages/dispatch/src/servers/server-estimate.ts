import type {Instant} from '@basilworks/core';

import {addWork, NO_WORK, type WorkSums} from './server-speed.js';
import type {Server} from './server-table.js';

/** What a server is expected to do for a request, and what that goes by. */
export interface ServerEstimate {
  /** Time to the first piece of the answer, milliseconds. */
  readonly firstMs: number;
  /** Part of it that the request waits for a place, milliseconds. */
  readonly queuedMs: number;
  /** Pause between two pieces, milliseconds; undefined where unknown. */
  readonly gapMs: number | undefined;
  /** How long work takes there, against the mean of its service at rest. */
  readonly slowness: number;
  /** The same as a rule. */
  readonly lastingSlowness: number;
  /** Age of the server's word on its slowness; undefined where it is unknown. */
  readonly slownessAgeMs: number | undefined;
  /** Requests there, of all hosts. */
  readonly requests: number;
  /** Age of the word on them; undefined where they are assumed. */
  readonly requestsAgeMs: number | undefined;
}

/** Time to the first piece until some were seen, milliseconds. */
const ASSUMED_WORK_MS = 50;

/** Answers of a server after which its own pace counts as much as the mean. */
const DOUBT_ANSWERS = 2;

/** A line through time by prompt tokens needs this many answers. */
const LINE_ANSWERS = 20;

/** Whether any of the servers tells how slow it is. */
export const reportsSlowness = (
  servers: readonly Server[],
  at: Instant,
): boolean => servers.some(({health}) => health.speed.isKnown(at));

/**
 * What the servers of one service are expected to do now, for a deployment of
 * unlike servers on shared machines: some are slower for good, any is slower
 * for a while, and many hosts send to each, so that what one host last heard of
 * a server is often old. What is not known of a server is the mean of all.
 */
export class ServiceEstimates {
  private readonly meanSlowness: number;
  private readonly meanOccupancy: number;
  private readonly meanGapMs: number | undefined;
  private readonly meanWorkMs: number;
  private readonly line: {startMs: number; tokenMs: number};

  constructor(
    servers: readonly Server[],
    private readonly at: Instant,
  ) {
    const slowness = new Mean();
    const occupancy = new Mean();
    const gapMs = new Mean();
    let work = NO_WORK;
    for (const {health, entry} of servers) {
      const rule = health.speed.typicalSlowness(at);
      if (rule !== undefined) {
        slowness.add(rule);
        work = addWork(work, health.speed.work(at));
      }
      if (health.loadAgeMs(at) !== undefined) {
        occupancy.add(health.load(at) / entry.slots);
      }
      const pace = health.meanGapMs(at);
      if (pace !== undefined) {
        gapMs.add(pace);
      }
    }
    this.meanSlowness = slowness.value ?? 1;
    this.meanOccupancy = occupancy.value ?? 0;
    this.meanGapMs = gapMs.value;
    this.line = lineThrough(work);
    this.meanWorkMs =
      work.answers === 0 ? ASSUMED_WORK_MS : work.ms / work.answers;
  }

  /** The estimate for a request with so many tokens in its prompt. */
  of(server: Server, promptTokens = 0): ServerEstimate {
    const {health, entry} = server;
    const {at, meanSlowness} = this;
    const own = this.ownShare(health.speed.work(at));
    const rule = health.speed.typicalSlowness(at) ?? meanSlowness;
    const now = health.speed.currentSlowness(at) ?? rule;
    const requests = this.requests(server);
    const queuedShare = Math.max(0, requests + 1 - entry.slots) / entry.slots;
    const runMs = this.workMs(promptTokens) * own * now;
    // Those ahead have prompts of the usual size.
    const queuedMs = this.meanWorkMs * own * now * queuedShare;
    const lastingSlowness = own * rule;
    const pace = health.meanGapMs(at) ?? this.meanGapMs;
    return {
      firstMs: runMs + queuedMs,
      queuedMs,
      gapMs: pace === undefined ? undefined : (pace * now) / rule,
      slowness: own * now,
      lastingSlowness,
      slownessAgeMs: health.speed.ageMs(at),
      requests,
      requestsAgeMs: health.loadAgeMs(at),
    };
  }

  /** Time to the first piece at a server that is not slow and has room. */
  private workMs(promptTokens: number): number {
    return this.line.startMs + this.line.tokenMs * promptTokens;
  }

  /** How much slower a server is than it tells, the less sure the nearer 1. */
  private ownShare({answers, ms, tokens}: WorkSums): number {
    if (answers === 0) {
      return 1;
    }
    const expectedMs = this.workMs(tokens / answers);
    const seen = ms / answers / Math.max(0.1, expectedMs);
    return (seen * answers + DOUBT_ANSWERS) / (answers + DOUBT_ANSWERS);
  }

  private requests({health, entry}: Server): number {
    return health.loadAgeMs(this.at) === undefined
      ? Math.max(health.inFlight, this.meanOccupancy * entry.slots)
      : health.load(this.at);
  }
}

const lineThrough = ({
  answers,
  tokens,
  ms,
  tokensSquared,
  tokensMs,
}: WorkSums): {startMs: number; tokenMs: number} => {
  if (answers === 0) {
    return {startMs: ASSUMED_WORK_MS, tokenMs: 0};
  }
  const meanMs = ms / answers;
  const meanTokens = tokens / answers;
  const variance = tokensSquared / answers - meanTokens ** 2;
  const slope =
    answers < LINE_ANSWERS || variance < 1
      ? 0
      : (tokensMs / answers - meanTokens * meanMs) / variance;
  // Neither a longer prompt nor an empty one takes less than no time.
  const tokenMs = Math.min(
    Math.max(0, slope),
    meanMs / Math.max(1, meanTokens),
  );
  return {startMs: meanMs - tokenMs * meanTokens, tokenMs};
};

class Mean {
  private sum = 0;
  private count = 0;

  get value(): number | undefined {
    return this.count === 0 ? undefined : this.sum / this.count;
  }

  add(value: number): void {
    this.sum += value;
    this.count += 1;
  }
}
