import {elapsedMs, type Instant} from '@basilworks/core';

import {adapterKey} from './adapter-key.js';
import type {PrepareRequest} from './adapter-slots-events.js';

/**
 * Delay added to the due time of a load per priority level below the first, ms.
 * It is a fraction of the time of an answer, so that priority decides only
 * between loads that are due at about the same time.
 */
const PRIORITY_PENALTY_MS = 50;

interface WaitingRequest {
  readonly request: PrepareRequest;
  readonly since: Instant;
}

/** Sort key of a load: by due time if on time, else by priority first. */
interface Urgency {
  readonly onTime: boolean;
  readonly dueMs: number;
  readonly priority: number;
}

/** Returns the expected load time of a request's adapter, ms. */
export type LoadEstimate = (request: PrepareRequest) => number;

/**
 * Requests of hosts that wait for adapters to become resident. Requests that
 * can still be answered on time go first, by earliest due time: once demand
 * exceeds the load rate of a server, serving in order of arrival would make
 * every answer late.
 */
export class WaitingRequests {
  private readonly requests = new Map<string, WaitingRequest>();

  add(request: PrepareRequest, since: Instant): void {
    this.requests.set(request.requestId, {request, since});
  }

  remove(requestId: string): void {
    this.requests.delete(requestId);
  }

  /** Removes and returns the requests that match. */
  removeMatching(
    matches: (request: PrepareRequest) => boolean,
  ): readonly PrepareRequest[] {
    const removed = [...this.requests.values()]
      .map(({request}) => request)
      .filter(matches);
    for (const {requestId} of removed) {
      this.requests.delete(requestId);
    }
    return removed;
  }

  /**
   * Returns the most urgent request for each awaited adapter, with the newest
   * version that any request for it needs, ordered by urgency.
   */
  byUrgency(at: Instant, loadMs: LoadEstimate): readonly PrepareRequest[] {
    return this.rankAdapters(at, loadMs).map(({request}) => request);
  }

  /** Returns the requests that go before one that arrives now. */
  aheadOf(
    request: PrepareRequest,
    at: Instant,
    loadMs: LoadEstimate,
  ): readonly PrepareRequest[] {
    const own = urgencyOf({request, since: at}, at, loadMs);
    return this.rankAdapters(at, loadMs)
      .filter(({urgency}) => compareUrgency(urgency, own) <= 0)
      .map(({request: other}) => other);
  }

  private rankAdapters(
    at: Instant,
    loadMs: LoadEstimate,
  ): readonly {request: PrepareRequest; urgency: Urgency}[] {
    const byKey = new Map<
      string,
      {request: PrepareRequest; urgency: Urgency}
    >();
    for (const waiting of this.requests.values()) {
      const {request} = waiting;
      const key = adapterKey(request);
      const urgency = urgencyOf(waiting, at, loadMs);
      const known = byKey.get(key);
      if (known === undefined) {
        byKey.set(key, {request, urgency});
        continue;
      }
      const first =
        compareUrgency(urgency, known.urgency) < 0 ? request : known.request;
      const version = Math.max(request.version, known.request.version);
      byKey.set(key, {
        request: {...first, version},
        urgency: first === request ? urgency : known.urgency,
      });
    }
    return [...byKey.values()].sort((first, second) =>
      compareUrgency(first.urgency, second.urgency),
    );
  }
}

const urgencyOf = (
  {request, since}: WaitingRequest,
  at: Instant,
  loadMs: LoadEstimate,
): Urgency => {
  const {onTimeWithinMs, priority} = request;
  const dueMs = onTimeWithinMs - elapsedMs(since, at) - loadMs(request);
  return {
    onTime: dueMs >= 0,
    dueMs: dueMs + PRIORITY_PENALTY_MS * priority,
    priority,
  };
};

/** Late requests go last, ordered by priority and then by due time. */
const compareUrgency = (first: Urgency, second: Urgency): number => {
  if (first.onTime !== second.onTime) {
    return first.onTime ? -1 : 1;
  }
  return first.onTime
    ? first.dueMs - second.dueMs
    : first.priority - second.priority || first.dueMs - second.dueMs;
};
