import type {Instant} from '@basilworks/core';

import type {Server} from './server-table.js';

/** What admission knows of a request. */
export interface AdmissionRequest {
  /** Milliseconds that the caller still waits. */
  readonly remainingMs: number;
  /** Rank among the requests of the service; 0 is first. */
  readonly priority: number;
}

/** Whether a request is taken now or told when to come back. */
export type Admission =
  | {readonly admitted: true}
  | {readonly admitted: false; readonly retryAfterMs: number};

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
  {remainingMs, priority}: AdmissionRequest,
  serviceMs: number | undefined,
  at: Instant,
): Admission => {
  const shortestWaitMs = Math.min(
    ...servers.map(({entry, evidence}) => {
      const waiting = evidence.load(at) - entry.slots;
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
