import {chooseByRendezvous, type Instant} from '@basilworks/core';
import {
  type Permit,
  type RateLimiterCapacity,
  rendezvousWeight,
  RequestRateLimiter,
  type RouteTable,
  type Server,
} from '@basilworks/dispatch';
import type {fleet} from '@basilworks/protocol';

import type {EntryHostContext} from '../context.js';
import type {ClaimManager} from '../orders/index.js';
import {
  applyServerStatus,
  encodeServerStatus,
  type PeerConnection,
  type PermitGranter,
  requestReadWindow,
  responseReadWindow,
} from '../peers/index.js';

/** Delay before the next try after the limiting host was unreachable. */
const UNREACHABLE_RETRY_MS = 250;

/** Longest time for which a denial is cached. */
const MAX_DENIAL_CACHE_MS = 1_000;

const GRANTED: Permit = {granted: true};

/** Denial if the limiting host is unknown, unreachable or another host. */
const LIMITER_UNREACHABLE: Permit = {
  granted: false,
  nextMs: UNREACHABLE_RETRY_MS,
  retryAfterMs: UNREACHABLE_RETRY_MS,
};

interface CachedDenial {
  readonly permit: Permit & {granted: false};
  readonly at: Instant;
}

/**
 * Enforces the rate limits of servers over the requests of all hosts. Each
 * limited server has one limiting host, whose permit every request needs: the
 * issuer of the server's orders, since orders count towards the limit, or, for
 * a server without orders, the home host of the server's key.
 */
export class SendPermits implements PermitGranter {
  private readonly limiters = new Map<string, RequestRateLimiter>();
  private readonly denials = new Map<string, CachedDenial>();

  constructor(
    private readonly context: EntryHostContext,
    private readonly claims: ClaimManager,
    private readonly routes: () => RouteTable | undefined,
    private readonly linkTo: (host: string) => PeerConnection | undefined,
  ) {}

  /** Requests a permit to send one request to a server now. */
  async acquire(server: Server, priority: number): Promise<Permit> {
    const {metrics, clock} = this.context;
    const {service} = server.entry;
    if (server.notices.requestsPerSecond === undefined) {
      return GRANTED;
    }
    const known = this.denial(server);
    if (known !== undefined) {
      return known;
    }
    const permit = await this.requestPermit(server, priority);
    const outcome = permit.granted ? 'granted' : 'denied';
    metrics.permits.inc({service, outcome});
    if (!permit.granted) {
      this.denials.set(server.key, {permit, at: clock.now()});
    }
    return permit;
  }

  /** The cached denial for a server, with the times that remain, if any. */
  denial(server: Server): (Permit & {granted: false}) | undefined {
    const denial = this.denials.get(server.key);
    if (denial === undefined) {
      return undefined;
    }
    const {permit, at} = denial;
    const {notices, key} = server;
    const passedMs = this.context.clock.now().monotonicMs - at.monotonicMs;
    const leftMs = Math.min(permit.nextMs, MAX_DENIAL_CACHE_MS) - passedMs;
    if (leftMs <= 0 || notices.requestsPerSecond === undefined) {
      this.denials.delete(key);
      return undefined;
    }
    const retryAfterMs = Math.max(leftMs, permit.retryAfterMs - passedMs);
    return {granted: false, nextMs: leftMs, retryAfterMs};
  }

  /** Answers a host that considers this one the limiting host of a server. */
  grant({
    serverRun,
    priority,
    word,
  }: fleet.PermitRequest): fleet.PermitResponse {
    const {servers, clock} = this.context;
    const at = clock.now();
    if (word !== undefined) {
      applyServerStatus(this.context, word, requestReadWindow(at));
    }
    const server = servers.get(serverRun);
    const permit =
      server === undefined
        ? LIMITER_UNREACHABLE
        : this.tryAcquire(server, priority, at);
    return {
      granted: permit.granted,
      nextMs: permit.granted ? 0 : Math.ceil(permit.nextMs),
      retryAfterMs: permit.granted ? 0 : Math.ceil(permit.retryAfterMs),
      word: server && this.encodeStatus(server, at),
    };
  }

  /** Capacity left by the rate limit of a server; undefined without a limit. */
  capacity(server: Server): RateLimiterCapacity | undefined {
    const at = this.context.clock.now();
    return this.limiterOf(server, at)?.capacity(at);
  }

  /**
   * Counts one of this host's own calls towards the limit of a server that it
   * limits. Returns after how many milliseconds the call may be sent.
   */
  reserve(server: Server): number {
    const at = this.context.clock.now();
    const pauseMs = server.notices.pauseLeftMs(at);
    return Math.max(pauseMs, this.limiterOf(server, at)?.reserve(at) ?? 0);
  }

  /** Drops the state of all servers but those with the given keys. */
  retain(keys: ReadonlySet<string>): void {
    for (const known of [this.limiters, this.denials]) {
      for (const key of known.keys()) {
        if (!keys.has(key)) {
          known.delete(key);
        }
      }
    }
  }

  private async requestPermit(
    server: Server,
    priority: number,
  ): Promise<Permit> {
    const {settings, clock} = this.context;
    const host = this.limiterHostOf(server);
    const requestedAt = clock.now();
    if (host === settings.host) {
      return this.tryAcquire(server, priority, requestedAt);
    }
    const link = host === undefined ? undefined : this.linkTo(host);
    if (link === undefined || link.isUnresponsive) {
      return LIMITER_UNREACHABLE;
    }
    const answer = await link.permit({
      serverRun: server.key,
      priority,
      word: this.encodeStatus(server, requestedAt),
    });
    if (answer?.word !== undefined) {
      const observedAt = responseReadWindow(requestedAt, clock.now());
      applyServerStatus(this.context, answer.word, observedAt);
    }
    return answer ?? LIMITER_UNREACHABLE;
  }

  private tryAcquire(server: Server, priority: number, at: Instant): Permit {
    if (server.notices.requestsPerSecond === undefined) {
      return GRANTED;
    }
    return this.mayLimit(server)
      ? (this.limiterOf(server, at)?.tryAcquire(priority, at) ?? GRANTED)
      : LIMITER_UNREACHABLE;
  }

  /** The rate limiter of a server; undefined without a limit. */
  private limiterOf(
    server: Server,
    at: Instant,
  ): RequestRateLimiter | undefined {
    const {requestsPerSecond} = server.notices;
    const known = this.limiters.get(server.key);
    if (requestsPerSecond === undefined) {
      this.limiters.delete(server.key);
      return undefined;
    }
    known?.setLimit(requestsPerSecond, at);
    const limiter = known ?? new RequestRateLimiter(requestsPerSecond, at);
    this.limiters.set(server.key, limiter);
    return limiter;
  }

  /** The limiting host of a server, as far as this host knows. */
  private limiterHostOf(server: Server): string | undefined {
    const {membership} = this.context;
    if (this.acceptsOrders(server)) {
      return this.claims.holder(server.entry.id);
    }
    const live = membership.live().map(({host, capacity}) => ({
      name: host,
      weight: rendezvousWeight(capacity),
    }));
    return chooseByRendezvous(server.key, live);
  }

  /** Whether this host is the only limiting host of a server. */
  private mayLimit(server: Server): boolean {
    return this.acceptsOrders(server)
      ? this.claims.fenceFor(server.entry.id) !== undefined
      : this.limiterHostOf(server) === this.context.settings.host;
  }

  private acceptsOrders({entry}: Server): boolean {
    return this.routes()?.service(entry.service)?.engine !== undefined;
  }

  private encodeStatus(
    server: Server,
    at: Instant,
  ): fleet.ServerWord | undefined {
    const {leaving, rateLimitReport: rateLimit} = server.notices;
    return encodeServerStatus(server.key, {leaving, rateLimit}, at);
  }
}
