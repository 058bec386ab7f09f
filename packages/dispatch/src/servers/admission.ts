import type {Instant} from '@basilworks/core';

import {
  type ServerEstimate,
  ServiceEstimates,
  reportsSlowness,
} from './server-estimate.js';
import type {Server} from './server-table.js';

/** What admission knows of a request. */
export interface AdmissionRequest {
  /** Milliseconds that the caller still waits. */
  readonly remainingMs: number;
  /** Rank among the requests of the service; 0 is first. */
  readonly priority: number;
  /** Tokens of its prompt, if it tells. */
  readonly promptTokens?: number | undefined;
  /** Longest pause between two pieces that its caller is owed, milliseconds. */
  readonly eventGapMs?: number | undefined;
}

/** Whether a request is taken now or told when to come back. */
export type Admission =
  | {readonly admitted: true}
  | {
      readonly admitted: false;
      readonly retryAfterMs: number;
      /** The least wait for a first piece, where it was estimated. */
      readonly best?: ServerEstimate;
    };

/** Share of the remaining time that may be spent in a server's queue. */
const QUEUE_SHARE = 0.5;

/** Each rank below the first may use this much less of the queue. */
const SHARE_PER_RANK = 0.1;

/** Service time that is assumed before any has been seen, milliseconds. */
const ASSUMED_SERVICE_MS = 500;

/**
 * Refuses a request only when every server has all its places taken and the
 * wait for one would use up the caller's time.
 */
export const admit = (
  servers: readonly Server[],
  request: AdmissionRequest,
  serviceMs: number | undefined,
  at: Instant,
): Admission => {
  if (reportsSlowness(servers, at)) {
    return admitByEstimate(servers, request, at);
  }
  const {remainingMs, priority} = request;
  const shortestWaitMs = Math.min(
    ...servers.map(({entry, health}) => {
      const waiting = health.load(at) - entry.slots;
      return waiting < 0
        ? 0
        : ((waiting + 1) / entry.slots) * (serviceMs ?? ASSUMED_SERVICE_MS);
    }),
  );
  const share = Math.max(0.1, QUEUE_SHARE - SHARE_PER_RANK * priority);
  return servers.length === 0 || shortestWaitMs <= remainingMs * share
    ? {admitted: true}
    : {admitted: false, retryAfterMs: shortestWaitMs};
};

/**
 * Share of the remaining time that the wait for a first piece may be expected
 * to take: queues that hosts heard of a second ago have grown since where it
 * matters.
 */
const TIME_SHARE = 0.8;

/** Each rank below the first may wait for this much less. */
const TIME_SHARE_PER_RANK = 0.15;
const LEAST_TIME_SHARE = 0.4;

/** Time in which the requests of a batch have ended, milliseconds. */
const BATCH_MS = 1_000;

/**
 * Refuses a request where no server could give its first piece in the time
 * that its caller has, or where all batches are too slow for its stream.
 *
 * The load that it answers: bursts of twice what a few plain servers can do,
 * and batches on machines that turn slow. What can't be answered in time is
 * told so at once, and does not wait at a server until it is of no use.
 */
const admitByEstimate = (
  servers: readonly Server[],
  {remainingMs, priority, promptTokens, eventGapMs}: AdmissionRequest,
  at: Instant,
): Admission => {
  const estimates = new ServiceEstimates(servers, at);
  const share = Math.max(
    LEAST_TIME_SHARE,
    TIME_SHARE - TIME_SHARE_PER_RANK * priority,
  );
  let best: {estimate: ServerEstimate; untilMs: number} | undefined;
  for (const server of servers) {
    const estimate = estimates.of(server, promptTokens);
    const {firstMs, queuedMs, gapMs} = estimate;
    const pause = (gapMs ?? 0) / (eventGapMs ?? Infinity);
    if (firstMs <= remainingMs * share && pause <= 1) {
      return {admitted: true};
    }
    const untilMs = queuedMs + BATCH_MS * Math.max(0, 1 - 1 / pause);
    if (best === undefined || untilMs < best.untilMs) {
      best = {estimate, untilMs};
    }
  }
  return best === undefined
    ? {admitted: true}
    : {admitted: false, retryAfterMs: best.untilMs, best: best.estimate};
};
