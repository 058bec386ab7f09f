import type {Server, ServerNotice} from '@basilworks/dispatch';

import {
  FleetSimulation,
  type SimulatedHost,
} from '../views/fleet-simulation.js';

/** One-way latency between a host and the server, and its service time. */
const LATENCY_MS = 1;
const SERVICE_TIME_MS = 20;

/** Length of a checked window, and the delay of the first after a limit. */
const WINDOW_MS = 4_000;
const FIRST_WINDOW_DELAY_MS = 3_000;

/** Time after its first notice of a limit from which a host must keep it. */
const NOTICE_GRACE_MS = 500;

const SERVER = 's';

interface Arrival {
  readonly atMs: number;
  readonly host: string;
}

/** The hosts and the load that they put on one server. */
export interface RateLimitScenario {
  readonly hosts: number;
  /** Whether an issuer limits the server; else its home host does. */
  readonly engine: boolean;
  /** Requests per second, summed over all hosts. */
  readonly demand: number;
}

/** Hosts that send to one server with rate limits, in virtual time. */
export class RateLimitSimulation {
  readonly fleet: FleetSimulation;
  readonly arrivals: Arrival[] = [];
  /** Hosts that had a fault; their requests are not checked. */
  readonly faultyHosts = new Set<string>();
  private readonly informedAtMs = new Map<string, number>();
  private readonly limitHistory: {atMs: number; requestsPerSecond: number}[] =
    [];
  private currentLimit: number | undefined;

  constructor(private readonly scenario: RateLimitScenario) {
    this.fleet = new FleetSimulation(scenario.hosts);
    if (scenario.engine) {
      this.fleet.issuers.set(SERVER, 'h0');
    }
  }

  async start(): Promise<void> {
    const {fleet, scenario} = this;
    fleet.putServer(SERVER);
    await fleet.start();
    const periodMs = (scenario.hosts / scenario.demand) * 1_000;
    for (const [index, name] of fleet.names.entries()) {
      const send = () => {
        void this.send(name);
        fleet.time.after(periodMs, send);
      };
      fleet.time.after((index / scenario.hosts) * periodMs, send);
    }
    await this.advance(500);
  }

  advance(forMs: number): Promise<void> {
    return this.fleet.time.advance(this.fleet.time.nowMs + forMs);
  }

  /** Makes the server announce a limit from now on; undefined for none. */
  setLimit(requestsPerSecond: number | undefined): void {
    this.currentLimit = requestsPerSecond;
    this.limitHistory.push({
      atMs: this.fleet.time.nowMs,
      requestsPerSecond: requestsPerSecond ?? Infinity,
    });
  }

  /** Arrivals per second over the latest `forMs`. */
  rateOverLast(forMs: number): number {
    const {nowMs} = this.fleet.time;
    const count = this.arrivals.filter(({atMs}) => atMs > nowMs - forMs).length;
    return (count / forMs) * 1_000;
  }

  /** Returns the windows with more requests than the limits allow. */
  violations(): readonly string[] {
    const firstMs = this.limitHistory[0]?.atMs ?? Infinity;
    const counted = this.arrivals.filter(
      ({atMs, host}) =>
        !this.faultyHosts.has(host) &&
        atMs >= (this.informedAtMs.get(host) ?? Infinity) + NOTICE_GRACE_MS,
    );
    return counted
      .filter(({atMs}) => atMs >= firstMs + FIRST_WINDOW_DELAY_MS)
      .flatMap(({atMs: endMs}) => {
        const count = counted.filter(
          ({atMs}) => atMs > endMs - WINDOW_MS && atMs <= endMs,
        ).length;
        const allowed =
          1.5 * this.allowedRequests(endMs - WINDOW_MS, endMs) + 5;
        return count > allowed
          ? [`${count} requests until ${endMs} ms, allowed ${allowed}`]
          : [];
      });
  }

  /** Number of requests that the limits in force allow in an interval. */
  private allowedRequests(fromMs: number, toMs: number): number {
    return this.limitHistory.reduce((sum, {atMs, requestsPerSecond}, index) => {
      const begin = index === 0 ? fromMs : Math.max(fromMs, atMs);
      const end = Math.min(toMs, this.limitHistory[index + 1]?.atMs ?? toMs);
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
    const wasLimited = isLimited();
    const permit = await host.permits.acquire(server, 0);
    if (permit.granted && (wasLimited || !isLimited())) {
      this.deliver(host, server);
    }
  }

  private deliver(host: SimulatedHost, server: Server): void {
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
        requestsPerSecond: this.currentLimit,
      };
      time.after(SERVICE_TIME_MS + LATENCY_MS, () => {
        if (!host.running) {
          return;
        }
        server.notices.apply(notice, sentAt, host.context.clock.now());
        if (notice.requestsPerSecond !== undefined) {
          this.informedAtMs.set(
            host.name,
            this.informedAtMs.get(host.name) ?? time.nowMs,
          );
        }
      });
    });
  }
}
