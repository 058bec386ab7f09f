import {chooseByRendezvous, type Instant} from '@basilworks/core';
import {
  rendezvousWeight,
  type RateLimiterCapacity,
  type Permit,
  RequestRateLimiter,
  type RouteTable,
  type Server,
} from '@basilworks/dispatch';
import type {fleet} from '@basilworks/protocol';

import type {EntryHostContext} from '../context.js';
import type {ClaimManager} from '../orders/index.js';
import {
  encodeWord,
  lookedBefore,
  lookedSince,
  type PeerConnection,
  type PermitGranter,
  takeWord,
} from '../peers/index.js';

/** Before a host that can't be asked is asked again, milliseconds. */
const UNHEARD_RETRY_MS = 250;

/** Longest time for which a denial is gone by, milliseconds. */
const LONGEST_DENIAL_MS = 1_000;

const GRANTED: Permit = {granted: true};

const UNHEARD: Permit = {
  granted: false,
  nextMs: UNHEARD_RETRY_MS,
  retryAfterMs: UNHEARD_RETRY_MS,
};

interface Denial {
  readonly permit: Permit & {granted: false};
  readonly at: Instant;
}

/**
 * Keeps the requests of all hosts to the limits that servers name. One host
 * meters each limited server and every request needs its permit: the issuer of
 * the server's orders, as these count too, or where it takes no orders the
 * host that its identity falls to.
 */
export class SendPermits implements PermitGranter {
  private readonly meters = new Map<string, RequestRateLimiter>();
  private readonly denials = new Map<string, Denial>();

  constructor(
    private readonly context: EntryHostContext,
    private readonly claims: ClaimManager,
    private readonly routes: () => RouteTable | undefined,
    private readonly linkTo: (host: string) => PeerConnection | undefined,
  ) {}

  /** Asks to let one request go to a server now. */
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
    const permit = await this.ask(server, priority);
    const outcome = permit.granted ? 'granted' : 'denied';
    metrics.permits.inc({service, outcome});
    if (!permit.granted) {
      this.denials.set(server.key, {permit, at: clock.now()});
    }
    return permit;
  }

  /** A denial that is still gone by, as of now. */
  denial(server: Server): (Permit & {granted: false}) | undefined {
    const denial = this.denials.get(server.key);
    if (denial === undefined) {
      return undefined;
    }
    const {permit, at} = denial;
    const {notices, key} = server;
    const passedMs = this.context.clock.now().monotonicMs - at.monotonicMs;
    const leftMs = Math.min(permit.nextMs, LONGEST_DENIAL_MS) - passedMs;
    if (leftMs <= 0 || notices.requestsPerSecond === undefined) {
      this.denials.delete(key);
      return undefined;
    }
    const retryAfterMs = Math.max(leftMs, permit.retryAfterMs - passedMs);
    return {granted: false, nextMs: leftMs, retryAfterMs};
  }

  /** Answers a host that takes this one for the meter of a server. */
  grant({
    serverRun,
    priority,
    word,
  }: fleet.PermitRequest): fleet.PermitResponse {
    const {servers, clock} = this.context;
    const at = clock.now();
    if (word !== undefined) {
      takeWord(this.context, word, lookedBefore(at));
    }
    const server = servers.get(serverRun);
    const permit =
      server === undefined ? UNHEARD : this.take(server, priority, at);
    return {
      granted: permit.granted,
      nextMs: permit.granted ? 0 : Math.ceil(permit.nextMs),
      retryAfterMs: permit.granted ? 0 : Math.ceil(permit.retryAfterMs),
      word: server && this.wordOn(server, at),
    };
  }

  /** What a limit leaves of a server metered here; undefined without one. */
  capacity(server: Server): RateLimiterCapacity | undefined {
    const at = this.context.clock.now();
    return this.meterOf(server, at)?.capacity(at);
  }

  /**
   * Counts a call of this host's own to a server that it meters; returns after
   * how many milliseconds it may go.
   */
  reserve(server: Server): number {
    const at = this.context.clock.now();
    const pauseMs = server.notices.pauseLeftMs(at);
    return Math.max(pauseMs, this.meterOf(server, at)?.reserve(at) ?? 0);
  }

  /** Forgets servers that are gone. */
  retain(keys: ReadonlySet<string>): void {
    for (const known of [this.meters, this.denials]) {
      for (const key of known.keys()) {
        if (!keys.has(key)) {
          known.delete(key);
        }
      }
    }
  }

  private async ask(server: Server, priority: number): Promise<Permit> {
    const {settings, clock} = this.context;
    const host = this.hostOf(server);
    const askedAt = clock.now();
    if (host === settings.host) {
      return this.take(server, priority, askedAt);
    }
    const link = host === undefined ? undefined : this.linkTo(host);
    if (link === undefined || link.doubtful) {
      return UNHEARD;
    }
    const answer = await link.permit({
      serverRun: server.key,
      priority,
      word: this.wordOn(server, askedAt),
    });
    if (answer?.word !== undefined) {
      const looked = lookedSince(askedAt, clock.now());
      takeWord(this.context, answer.word, looked);
    }
    return answer ?? UNHEARD;
  }

  private take(server: Server, priority: number, at: Instant): Permit {
    if (server.notices.requestsPerSecond === undefined) {
      return GRANTED;
    }
    return this.mayMeter(server)
      ? (this.meterOf(server, at)?.tryAcquire(priority, at) ?? GRANTED)
      : UNHEARD;
  }

  /** The meter of a limited server; undefined without a limit. */
  private meterOf(server: Server, at: Instant): RequestRateLimiter | undefined {
    const {requestsPerSecond} = server.notices;
    const known = this.meters.get(server.key);
    if (requestsPerSecond === undefined) {
      this.meters.delete(server.key);
      return undefined;
    }
    known?.setLimit(requestsPerSecond, at);
    const meter = known ?? new RequestRateLimiter(requestsPerSecond, at);
    this.meters.set(server.key, meter);
    return meter;
  }

  /** The host that meters a server, as far as this one knows. */
  private hostOf(server: Server): string | undefined {
    const {membership} = this.context;
    if (this.takesOrders(server)) {
      return this.claims.holder(server.entry.id);
    }
    const live = membership.live().map(({host, capacity}) => ({
      name: host,
      weight: rendezvousWeight(capacity),
    }));
    return chooseByRendezvous(server.key, live);
  }

  /** Whether this host is the only one that meters a server. */
  private mayMeter(server: Server): boolean {
    return this.takesOrders(server)
      ? this.claims.fenceFor(server.entry.id) !== undefined
      : this.hostOf(server) === this.context.settings.host;
  }

  private takesOrders({entry}: Server): boolean {
    return this.routes()?.service(entry.service)?.engine !== undefined;
  }

  private wordOn(server: Server, at: Instant): fleet.ServerWord | undefined {
    const {leaving, rateLimitReport: word} = server.notices;
    return encodeWord(server.key, {leaving, rateLimit: word}, at);
  }
}
