import {elapsedMs, type Instant} from '@basilworks/core';

import {adapterKey} from './adapter-key.js';
import type {PrepareRequest} from './adapter-slots-events.js';

/**
 * How much later a load is due for each rank below the first, milliseconds: a
 * fraction of an answer's time, so that rank decides between near equals only.
 */
const RANK_HANDICAP_MS = 50;

interface Waiting {
  readonly request: PrepareRequest;
  readonly since: Instant;
}

/** When a load has to begin, and whom it goes before otherwise. */
interface Urgency {
  readonly onTime: boolean;
  readonly dueMs: number;
  readonly priority: number;
}

/** Expected time of an adapter's load, milliseconds. */
export type LoadMs = (request: PrepareRequest) => number;

/**
 * Requests of hosts that wait for adapters to be resident. Those whose answers
 * can still be on time go first, the one that is due soonest in front: once
 * more is asked for than a server can load, serving in the order of arrival
 * makes every answer late.
 */
export class WaitingRequests {
  private readonly requests = new Map<string, Waiting>();

  add(request: PrepareRequest, since: Instant): void {
    this.requests.set(request.requestId, {request, since});
  }

  remove(requestId: string): void {
    this.requests.delete(requestId);
  }

  /** Removes and returns the requests that match. */
  take(
    matches: (request: PrepareRequest) => boolean,
  ): readonly PrepareRequest[] {
    const taken = [...this.requests.values()]
      .map(({request}) => request)
      .filter(matches);
    for (const {requestId} of taken) {
      this.requests.delete(requestId);
    }
    return taken;
  }

  /**
   * One request for each adapter that is waited for, the most urgent, at the
   * newest version that any of them wants; the most urgent adapter first.
   */
  wanted(at: Instant, loadMs: LoadMs): readonly PrepareRequest[] {
    return this.ordered(at, loadMs).map(({request}) => request);
  }

  /** What is wanted before a request that would come now. */
  before(
    request: PrepareRequest,
    at: Instant,
    loadMs: LoadMs,
  ): readonly PrepareRequest[] {
    const own = urgencyOf({request, since: at}, at, loadMs);
    return this.ordered(at, loadMs)
      .filter(({urgency}) => compare(urgency, own) <= 0)
      .map(({request: other}) => other);
  }

  private ordered(
    at: Instant,
    loadMs: LoadMs,
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
        compare(urgency, known.urgency) < 0 ? request : known.request;
      const version = Math.max(request.version, known.request.version);
      byKey.set(key, {
        request: {...first, version},
        urgency: first === request ? urgency : known.urgency,
      });
    }
    return [...byKey.values()].sort((first, second) =>
      compare(first.urgency, second.urgency),
    );
  }
}

const urgencyOf = (
  {request, since}: Waiting,
  at: Instant,
  loadMs: LoadMs,
): Urgency => {
  const {onTimeWithinMs, priority} = request;
  const dueMs = onTimeWithinMs - elapsedMs(since, at) - loadMs(request);
  return {
    onTime: dueMs >= 0,
    dueMs: dueMs + RANK_HANDICAP_MS * priority,
    priority,
  };
};

/** Late requests wait behind all others, by rank and then as they came. */
const compare = (first: Urgency, second: Urgency): number => {
  if (first.onTime !== second.onTime) {
    return first.onTime ? -1 : 1;
  }
  return first.onTime
    ? first.dueMs - second.dueMs
    : first.priority - second.priority || first.dueMs - second.dueMs;
};
