import type {Server, ServerNotice} from '@basilworks/dispatch';

import {ViewFleet, type ViewHost} from '../views/view-fleet.js';

/** One way from a host to the server, and the time of an answer, ms. */
const LATENCY_MS = 1;
const ANSWER_MS = 20;

/** Time over which a limit is judged, and from when after its naming, ms. */
const WINDOW_MS = 4_000;
const FIRST_WINDOW_MS = 3_000;

/** A host that was told so long ago has to heed a limit, milliseconds. */
const TOLD_MS = 500;

const SERVER = 's';

interface Arrival {
  readonly atMs: number;
  readonly host: string;
}

/** How a fleet presses on one server. */
export interface RateLimitScenario {
  readonly hosts: number;
  /** Its orders have an issuer; else its meter follows from its identity. */
  readonly engine: boolean;
  /** Requests a second of all hosts. */
  readonly demand: number;
}

/** Hosts that send to one server which names limits, on virtual time. */
export class RateLimitSimulation {
  readonly fleet: ViewFleet;
  readonly arrivals: Arrival[] = [];
  /** Hosts that were in trouble, whose requests don't count. */
  readonly troubled = new Set<string>();
  private readonly told = new Map<string, number>();
  private readonly limits: {atMs: number; requestsPerSecond: number}[] = [];
  private limit: number | undefined;

  constructor(private readonly shape: RateLimitScenario) {
    this.fleet = new ViewFleet(shape.hosts);
    if (shape.engine) {
      this.fleet.issuers.set(SERVER, 'h0');
    }
  }

  async start(): Promise<void> {
    const {fleet, shape} = this;
    fleet.putServer(SERVER);
    await fleet.start();
    const periodMs = (shape.hosts / shape.demand) * 1_000;
    for (const [index, name] of fleet.names.entries()) {
      const send = () => {
        void this.send(name);
        fleet.time.after(periodMs, send);
      };
      fleet.time.after((index / shape.hosts) * periodMs, send);
    }
    await this.advance(500);
  }

  advance(forMs: number): Promise<void> {
    return this.fleet.time.advance(this.fleet.time.nowMs + forMs);
  }

  /** The server names a limit from now on, or none any more. */
  name(requestsPerSecond: number | undefined): void {
    this.limit = requestsPerSecond;
    this.limits.push({
      atMs: this.fleet.time.nowMs,
      requestsPerSecond: requestsPerSecond ?? Infinity,
    });
  }

  /** Arrivals of the latest milliseconds, a second. */
  rateOverLast(forMs: number): number {
    const {nowMs} = this.fleet.time;
    const count = this.arrivals.filter(({atMs}) => atMs > nowMs - forMs).length;
    return (count / forMs) * 1_000;
  }

  /** Returns the windows with more requests than the limit lets in. */
  broken(): readonly string[] {
    const firstMs = this.limits[0]?.atMs ?? Infinity;
    const counted = this.arrivals.filter(
      ({atMs, host}) =>
        !this.troubled.has(host) &&
        atMs >= (this.told.get(host) ?? Infinity) + TOLD_MS,
    );
    return counted
      .filter(({atMs}) => atMs >= firstMs + FIRST_WINDOW_MS)
      .flatMap(({atMs: endMs}) => {
        const got = counted.filter(
          ({atMs}) => atMs > endMs - WINDOW_MS && atMs <= endMs,
        ).length;
        const allowed = 1.5 * this.allowance(endMs - WINDOW_MS, endMs) + 5;
        return got > allowed
          ? [`${got} requests until ${endMs} ms, allowed ${allowed}`]
          : [];
      });
  }

  /** Requests that the limits in force allow from one moment to another. */
  private allowance(fromMs: number, toMs: number): number {
    return this.limits.reduce((sum, {atMs, requestsPerSecond}, index) => {
      const begin = index === 0 ? fromMs : Math.max(fromMs, atMs);
      const end = Math.min(toMs, this.limits[index + 1]?.atMs ?? toMs);
      return end > begin
        ? sum + (requestsPerSecond * (end - begin)) / 1_000
        : sum;
    }, 0);
  }

  private async send(name: string): Promise<void> {
    const host = this.fleet.host(name);
    const server = host.context.servers.byId(SERVER);
    if (!host.running || server === undefined) {
      return;
    }
    const isLimited = () => server.notices.requestsPerSecond !== undefined;
    const asked = isLimited();
    const permit = await host.permits.acquire(server, 0);
    if (permit.granted && (asked || !isLimited())) {
      this.arrive(host, server);
    }
  }

  private arrive(host: ViewHost, server: Server): void {
    if (!host.running) {
      return;
    }
    const {time} = this.fleet;
    const sentAt = host.context.clock.now();
    time.after(LATENCY_MS, () => {
      this.arrivals.push({atMs: time.nowMs, host: host.name});
      const notice: ServerNotice = {
        leaving: false,
        pauseMs: undefined,
        requestsPerSecond: this.limit,
      };
      time.after(ANSWER_MS + LATENCY_MS, () => {
        if (!host.running) {
          return;
        }
        server.notices.apply(notice, sentAt, host.context.clock.now());
        if (notice.requestsPerSecond !== undefined) {
          this.told.set(host.name, this.told.get(host.name) ?? time.nowMs);
        }
      });
    });
  }
}
