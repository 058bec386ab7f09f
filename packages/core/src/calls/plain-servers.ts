import type {ServerId} from '../identifiers.js';
import {elapsedMs, type Instant} from '../instant.js';
import {serversOfPool} from '../membership/selectors.js';
import type {ServerDescription} from '../server.js';
import type {CoreState} from '../state.js';

/** Calls of this host on a server, as a multiple of what it runs at once. */
const MAXIMUM_LOAD = 2;
/** Load that a server of another zone must save to be chosen. */
const OTHER_ZONE_LOAD = 0.25;
/** Time for which a server that failed is chosen last. */
const FAILURE_AVOIDANCE_MS = 2_000;

/** The calls of this host that run on each plain server. */
export class PlainServers {
  private readonly running = new Map<ServerId, number>();
  private readonly failedAt = new Map<ServerId, Instant>();
  private rotation = 0;

  /**
   * Chooses the least loaded live server of a pool, near ones first and those
   * that failed lately last. Undefined when none has room.
   */
  choose(
    state: CoreState,
    pool: string,
    excluded: ReadonlySet<ServerId>,
    at: Instant,
  ): ServerDescription | undefined {
    const candidates = serversOfPool(state, pool).filter(
      (server) =>
        !excluded.has(server.server) && this.load(server) < MAXIMUM_LOAD,
    );
    const costs = candidates.map((server) => this.cost(state, server, at));
    const lowest = Math.min(...costs);
    const cheapest = candidates.filter((_, index) => costs[index] === lowest);
    return cheapest[this.rotation++ % Math.max(1, cheapest.length)];
  }

  started(server: ServerId): void {
    this.running.set(server, this.count(server) + 1);
  }

  finished(server: ServerId): void {
    const left = this.count(server) - 1;
    if (left > 0) {
      this.running.set(server, left);
    } else {
      this.running.delete(server);
    }
  }

  failed(server: ServerId, at: Instant): void {
    this.failedAt.set(server, at);
  }

  /** Forgets a server that leaves. Calls that run on it end as usual. */
  forget(server: ServerId): void {
    this.failedAt.delete(server);
  }

  count(server: ServerId): number {
    return this.running.get(server) ?? 0;
  }

  private load({server, batchPositions}: ServerDescription): number {
    return this.count(server) / batchPositions;
  }

  private cost(
    state: CoreState,
    server: ServerDescription,
    at: Instant,
  ): number {
    const failedAt = this.failedAt.get(server.server);
    const avoided =
      failedAt !== undefined && elapsedMs(failedAt, at) < FAILURE_AVOIDANCE_MS;
    return (
      this.load(server) +
      (server.zone === state.settings.zone ? 0 : OTHER_ZONE_LOAD) +
      (avoided ? MAXIMUM_LOAD : 0)
    );
  }
}
