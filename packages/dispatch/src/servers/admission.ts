import type {Instant} from '@basilworks/core';

import {
  reportsSlowness,
  type ServerEstimate,
  ServiceEstimates,
} from './server-estimate.js';
import type {Server} from './server-table.js';

/** What admission knows of a request. */
export interface AdmissionRequest {
  /** Time left until the caller's deadline, milliseconds. */
  readonly remainingMs: number;
  /** Rank among the requests of the service; 0 is first. */
  readonly priority: number;
  /** Number of prompt tokens, if declared. */
  readonly promptTokens?: number | undefined;
  /**
   * Longest gap between two stream events that the caller accepts,
   * milliseconds.
   */
  readonly eventGapMs?: number | undefined;
}

/** Whether a request is admitted, or else when the caller should retry. */
export type Admission =
  | {readonly admitted: true}
  | {
      readonly admitted: false;
      readonly retryAfterMs: number;
      /** The estimate with the shortest time to wait, where estimates exist. */
      readonly best?: ServerEstimate;
    };

/** Share of the remaining time that may be spent in a server's queue. */
const QUEUE_SHARE = 0.5;

/** Reduction of that share for each priority rank below the first. */
const SHARE_PER_RANK = 0.1;

/** Service time assumed until one has been measured, milliseconds. */
const ASSUMED_SERVICE_MS = 500;

/**
 * Rejects a request only when all slots of every server are in use and the wait
 * for one would exceed its share of the caller's remaining time.
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
 * Share of the remaining time that the expected time to the first event may
 * take. Below 1, as queue lengths reported a second ago have grown since when
 * load is high.
 */
const TIME_SHARE = 0.8;

/** Reduction of that share for each priority rank below the first. */
const TIME_SHARE_PER_RANK = 0.15;
const MIN_TIME_SHARE = 0.4;

/** Time within which the requests of a batch complete, milliseconds. */
const BATCH_MS = 1_000;

/**
 * Rejects a request when no server is expected to send its first event in the
 * caller's remaining time, or when all batches are too slow for its stream.
 *
 * Designed for bursts of twice the capacity of a few plain servers, and for
 * batches on machines that become slow. Requests that can't be answered in time
 * are rejected at once instead of expiring in a server's queue.
 */
const admitByEstimate = (
  servers: readonly Server[],
  {remainingMs, priority, promptTokens, eventGapMs}: AdmissionRequest,
  at: Instant,
): Admission => {
  const estimates = new ServiceEstimates(servers, at);
  const share = Math.max(
    MIN_TIME_SHARE,
    TIME_SHARE - TIME_SHARE_PER_RANK * priority,
  );
  let best: {estimate: ServerEstimate; untilMs: number} | undefined;
  for (const server of servers) {
    const estimate = estimates.of(server, promptTokens);
    const {firstMs, queuedMs, gapMs} = estimate;
    const gapRatio = (gapMs ?? 0) / (eventGapMs ?? Infinity);
    if (firstMs <= remainingMs * share && gapRatio <= 1) {
      return {admitted: true};
    }
    const untilMs = queuedMs + BATCH_MS * Math.max(0, 1 - 1 / gapRatio);
    if (best === undefined || untilMs < best.untilMs) {
      best = {estimate, untilMs};
    }
  }
  return best === undefined
    ? {admitted: true}
    : {admitted: false, retryAfterMs: best.untilMs, best: best.estimate};
};
