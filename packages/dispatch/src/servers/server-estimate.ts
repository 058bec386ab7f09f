import type {Instant} from '@basilworks/core';

import {addWork, NO_WORK, type WorkSums} from './server-speed.js';
import type {Server} from './server-table.js';

/** Expected timing of a request at a server, and the inputs to it. */
export interface ServerEstimate {
  /** Expected time to the first event of the answer, milliseconds. */
  readonly firstMs: number;
  /** Part of `firstMs` that the request waits for a slot, milliseconds. */
  readonly queuedMs: number;
  /** Gap between two events, milliseconds; undefined where unknown. */
  readonly gapMs: number | undefined;
  /** Current service time relative to the mean of its service at rest. */
  readonly slowness: number;
  /** Long-term service time relative to the same mean. */
  readonly lastingSlowness: number;
  /**
   * Age of the server's report of its slowness, milliseconds; undefined where
   * unknown.
   */
  readonly slownessAgeMs: number | undefined;
  /** Requests of all hosts at the server. */
  readonly requests: number;
  /** Age of the report of `requests`, milliseconds; undefined where assumed. */
  readonly requestsAgeMs: number | undefined;
}

/**
 * Time to the first event assumed until one has been measured, milliseconds.
 */
const ASSUMED_WORK_MS = 50;

/**
 * Number of answers at which a server's own speed has the same weight as the
 * mean.
 */
const PRIOR_ANSWERS = 2;

/** Minimum number of answers for fitting time against prompt tokens. */
const MIN_FIT_ANSWERS = 20;

/** Whether any of the servers reports its slowness. */
export const reportsSlowness = (
  servers: readonly Server[],
  at: Instant,
): boolean => servers.some(({health}) => health.speed.isKnown(at));

/**
 * Estimates for the servers of one service, for a deployment of heterogeneous
 * servers on shared machines: some are permanently slower, any may be slower
 * for a while, and many hosts send to each, so that a host's last report of a
 * server is often old. Unknown values of a server default to the mean of all.
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
      const typical = health.speed.typicalSlowness(at);
      if (typical !== undefined) {
        slowness.add(typical);
        work = addWork(work, health.speed.work(at));
      }
      if (health.loadAgeMs(at) !== undefined) {
        occupancy.add(health.load(at) / entry.slots);
      }
      const serverGapMs = health.meanGapMs(at);
      if (serverGapMs !== undefined) {
        gapMs.add(serverGapMs);
      }
    }
    this.meanSlowness = slowness.value ?? 1;
    this.meanOccupancy = occupancy.value ?? 0;
    this.meanGapMs = gapMs.value;
    this.line = fitLine(work);
    this.meanWorkMs =
      work.answers === 0 ? ASSUMED_WORK_MS : work.ms / work.answers;
  }

  /** Returns the estimate for a request with `promptTokens` tokens. */
  of(server: Server, promptTokens = 0): ServerEstimate {
    const {health, entry} = server;
    const {at, meanSlowness} = this;
    const ownRatio = this.ownRatio(health.speed.work(at));
    const typical = health.speed.typicalSlowness(at) ?? meanSlowness;
    const current = health.speed.currentSlowness(at) ?? typical;
    const requests = this.requests(server);
    const queuedShare = Math.max(0, requests + 1 - entry.slots) / entry.slots;
    const serviceMs = this.workMs(promptTokens) * ownRatio * current;
    // Requests ahead in the queue are assumed to have prompts of mean size.
    const queuedMs = this.meanWorkMs * ownRatio * current * queuedShare;
    const lastingSlowness = ownRatio * typical;
    const serverGapMs = health.meanGapMs(at) ?? this.meanGapMs;
    return {
      firstMs: serviceMs + queuedMs,
      queuedMs,
      gapMs:
        serverGapMs === undefined
          ? undefined
          : (serverGapMs * current) / typical,
      slowness: ownRatio * current,
      lastingSlowness,
      slownessAgeMs: health.speed.ageMs(at),
      requests,
      requestsAgeMs: health.loadAgeMs(at),
    };
  }

  /** Time to the first event at a server without slowdown or queue. */
  private workMs(promptTokens: number): number {
    return this.line.startMs + this.line.tokenMs * promptTokens;
  }

  /**
   * Ratio of measured to expected time of a server, shrunk towards 1 while few
   * answers have been measured.
   */
  private ownRatio({answers, ms, tokens}: WorkSums): number {
    if (answers === 0) {
      return 1;
    }
    const expectedMs = this.workMs(tokens / answers);
    const measured = ms / answers / Math.max(0.1, expectedMs);
    return (measured * answers + PRIOR_ANSWERS) / (answers + PRIOR_ANSWERS);
  }

  private requests({health, entry}: Server): number {
    return health.loadAgeMs(this.at) === undefined
      ? Math.max(health.inFlight, this.meanOccupancy * entry.slots)
      : health.load(this.at);
  }
}

const fitLine = ({
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
    answers < MIN_FIT_ANSWERS || variance < 1
      ? 0
      : (tokensMs / answers - meanTokens * meanMs) / variance;
  // Keeps both the slope and the time for an empty prompt non-negative.
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
