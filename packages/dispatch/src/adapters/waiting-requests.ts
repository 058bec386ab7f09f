import {adapterKey} from './adapter-key.js';
import type {PrepareRequest} from './places-events.js';

/** Requests of hosts that wait for adapters to be resident. */
export class WaitingRequests {
  private readonly requests = new Map<string, PrepareRequest>();

  add(request: PrepareRequest): void {
    this.requests.set(request.requestId, request);
  }

  remove(requestId: string): void {
    this.requests.delete(requestId);
  }

  /** Removes and returns the requests that match. */
  take(
    matches: (request: PrepareRequest) => boolean,
  ): readonly PrepareRequest[] {
    const taken = [...this.requests.values()].filter(matches);
    for (const {requestId} of taken) {
      this.requests.delete(requestId);
    }
    return taken;
  }

  /**
   * One request for each adapter that is waited for, at the newest version that
   * any of them wants: the most urgent first, then the one that came first.
   */
  wanted(): readonly PrepareRequest[] {
    const byKey = new Map<string, PrepareRequest>();
    const ordered = [...this.requests.values()].sort(
      (first, second) => first.priority - second.priority,
    );
    for (const request of ordered) {
      const key = adapterKey(request);
      const known = byKey.get(key);
      if (known === undefined) {
        byKey.set(key, request);
      } else if (known.version < request.version) {
        byKey.set(key, {...known, version: request.version});
      }
    }
    return [...byKey.values()];
  }
}
