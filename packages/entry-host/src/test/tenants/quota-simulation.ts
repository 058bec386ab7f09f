import type {Tenant, TenantQuota} from '@basilworks/dispatch';
import type {fleet} from '@basilworks/protocol';

import {VirtualTime} from '../views/virtual-time.js';
import {ADDRESSES, SimulatedHost} from './simulated-host.js';

/** Longest time until all hosts have applied a newer configuration. */
const CONFIGURATION_DELAY_MS = 2_000;

/** Longest wait for the answer of a peer. */
const PEER_TIMEOUT_MS = 120;

export const TOLERANCE = {windowS: 8, share: 0.1, extra: 110_000};

interface ExecutedRequest {
  readonly tenant: string;
  readonly atMs: number;
  readonly tokens: number;
}

/** How messages between hosts are lost, duplicated and delayed. */
export interface Network {
  /** Shares of messages that are lost, or delivered twice. */
  readonly lostShare: number;
  readonly duplicatedShare: number;
  /** Longest delay of a message. */
  readonly maxDelayMs: number;
}

const RELIABLE_NETWORK: Network = {
  lostShare: 0,
  duplicatedShare: 0,
  maxDelayMs: 3,
};

/** Hosts that enforce tenants' quotas, in virtual time. */
export class QuotaSimulation {
  readonly time = new VirtualTime();
  readonly hosts = new Map<string, SimulatedHost>();
  readonly executedRequests: ExecutedRequest[] = [];
  readonly counts = {received: 0, served: 0, waited: 0, messages: 0};
  records: object[] | undefined;
  network = RELIABLE_NETWORK;
  /** Share of the requests that a server executes. */
  executedShare = 1;
  private readonly quotas = new Map<string, TenantQuota>();
  private readonly changes: {
    tenant: string;
    atMs: number;
    quota: TenantQuota;
  }[] = [];

  private partitioned = false;
  private partitionChangedMs = -1e6;
  private requestCount = 0;
  private version = 0;

  constructor(
    count: number,
    quotas: ReadonlyMap<string, TenantQuota>,
    readonly random: () => number,
    readonly tolerance = TOLERANCE,
  ) {
    for (const [tenant, quota] of quotas) {
      this.quotas.set(tenant, quota);
      this.changes.push({tenant, atMs: -1e6, quota});
    }
    for (let index = 0; index < count; index += 1) {
      const name = `h${index}`;
      this.hosts.set(
        name,
        new SimulatedHost(name, this, 300 + 1_200 * random()),
      );
    }
    this.records = [...this.hosts.keys()].map((host) => ({
      value: {type: 'host', host, zone: 'z', ...ADDRESSES},
    }));
  }

  host(index: number): SimulatedHost {
    const host = this.hosts.get(`h${index % this.hosts.size}`);
    if (host === undefined) {
      throw new Error('no such host');
    }
    return host;
  }

  /** Index of the primary meter host of a tenant, as seen by the first host. */
  primaryMeterOf(tenant: string): number {
    const {meters} = this.host(0).quotas as unknown as {
      readonly meters: {
        readonly meterHostsOf: (tenant: string) => {primary: string};
      };
    };
    return Number(meters.meterHostsOf(tenant).primary.slice(1));
  }

  advance(forMs: number): Promise<void> {
    return this.time.advance(this.time.nowMs + forMs);
  }

  /** Changes a quota; each host applies it after a random delay. */
  changeQuota(tenant: string, perSecond: number): void {
    const {time, random} = this;
    const quota = {...QUOTA, perSecond, burst: perSecond};
    this.quotas.set(tenant, quota);
    this.changes.push({tenant, atMs: time.nowMs, quota});
    this.version += 1;
    const configuration = this.configuration();
    for (const host of this.hosts.values()) {
      const {quotas} = host;
      time.after(random() * CONFIGURATION_DELAY_MS, () => {
        quotas.use(configuration);
      });
    }
  }

  configuration() {
    return {
      version: this.version,
      routes: [],
      services: [],
      limits: NO_LIMITS,
      tenants: [...this.quotas].map(([name, quota]) => tenantOf(name, quota)),
    };
  }

  /** Hosts that one considers live; it learns of changes with its own lag. */
  liveAsSeenBy(by: SimulatedHost): readonly string[] {
    return [...this.hosts.values()]
      .filter((host) => {
        const reached = host.running && this.connected(host, by);
        const changedMs = Math.max(
          host.changedMs,
          host.side === by.side ? -1e6 : this.partitionChangedMs,
          by.isolated || by.changedMs > host.changedMs ? by.changedMs : -1e6,
        );
        const known = this.time.nowMs - changedMs > by.membershipLagMs;
        return (
          host === by ||
          (known ? reached : !reached || host.membershipLagMs < 700)
        );
      })
      .map(({name}) => name);
  }

  /** Sends requests of a tenant to a host at random times from now on. */
  send(tenant: string, host: SimulatedHost, tokensPerSecond: number): void {
    if (tokensPerSecond <= 0) {
      return;
    }
    const {time, random} = this;
    const next = () => {
      const tokens = randomTokens(random);
      const gapMs = (MEAN_TOKENS / tokensPerSecond) * 1_000;
      time.after(-Math.log(1 - random()) * gapMs, next);
      if (host.running) {
        void this.request(tenant, host, tokens);
      }
    };
    time.after((random() * MEAN_TOKENS * 1_000) / tokensPerSecond, next);
  }

  async request(tenant: string, host: SimulatedHost, tokens: number) {
    const {time, random, counts} = this;
    const requestedMs = time.nowMs;
    counts.received += 1;
    const admission = await host.quotas.admit({
      requestId: `${(this.requestCount += 1)}`,
      caller: {type: 'tenant', tenant: tenantOf(tenant), digest: ''},
      usage: `${tokens}`,
    });
    counts.waited += time.nowMs > requestedMs ? 1 : 0;
    if (admission.type === 'refused') {
      return admission;
    }
    counts.served += 1;
    const ran = random() < this.executedShare;
    if (ran) {
      this.executedRequests.push({tenant, atMs: time.nowMs, tokens});
    }
    time.after(random() * 600, () => {
      if (host.running) {
        admission.end(ran);
        admission.end(ran);
      }
    });
    return admission;
  }

  /** Sends a request to a host and its answer back over the network. */
  exchange(
    from: SimulatedHost,
    to: string,
    request: fleet.QuotaRequest,
    whenRunning: (callback: () => void) => void,
  ): Promise<fleet.QuotaResponse | undefined> {
    const {time, hosts} = this;
    this.counts.messages += 2;
    return new Promise((resolve) => {
      time.after(PEER_TIMEOUT_MS, () => {
        whenRunning(() => {
          resolve(undefined);
        });
      });
      this.transmit(() => {
        const peer = hosts.get(to);
        if (peer?.running !== true || !this.connected(peer, from)) {
          return;
        }
        const response = peer.quotas.grant(request);
        this.transmit(() => {
          if (this.connected(peer, from)) {
            whenRunning(() => {
              resolve(response);
            });
          }
        });
      });
    });
  }

  /** Returns windows in which a tenant used more than its quota allows. */
  violations(): readonly string[] {
    return [...this.quotas.keys()].flatMap((tenant) => {
      const executed = this.executedRequests.filter(
        (run) => run.tenant === tenant,
      );
      executed.sort((first, second) => first.atMs - second.atMs);
      let [start, used] = [0, 0];
      return executed.flatMap(({atMs, tokens}) => {
        used += tokens;
        for (
          ;
          (executed[start]?.atMs ?? atMs) <= atMs - WINDOW_MS;
          start += 1
        ) {
          used -= executed[start]?.tokens ?? 0;
        }
        const allowed = this.allowedTokens(tenant, atMs);
        return used > allowed
          ? [`${tenant} at ${Math.round(atMs)}: ${used} of ${allowed}`]
          : [];
      });
    });
  }

  /** Executed tokens of a tenant per second over the latest `forMs`. */
  rate(tenant: string, forMs: number): number {
    const sinceMs = this.time.nowMs - forMs;
    const tokens = this.executedRequests
      .filter((run) => run.tenant === tenant && run.atMs > sinceMs)
      .reduce((sum, run) => sum + run.tokens, 0);
    return (tokens / forMs) * 1_000;
  }

  /** Partitions the network into two sides, or heals it. */
  setPartitioned(
    partitioned: boolean,
    sideOf: (index: number) => number,
  ): void {
    this.partitioned = partitioned;
    this.partitionChangedMs = this.time.nowMs;
    for (const [index, host] of [...this.hosts.values()].entries()) {
      host.side = sideOf(index);
    }
  }

  private connected(one: SimulatedHost, other: SimulatedHost): boolean {
    const sameSide = !this.partitioned || one.side === other.side;
    return sameSide && !one.isolated && !other.isolated;
  }

  private transmit(deliver: () => void): void {
    const {random, network} = this;
    const copies = random() < network.duplicatedShare ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      if (random() >= network.lostShare) {
        this.time.after(0.5 + random() * network.maxDelayMs, deliver);
      }
    }
  }

  /** Tokens allowed in a window; a lower quota binds once all hosts have it. */
  private allowedTokens(tenant: string, endMs: number): number {
    const {windowS, share, extra} = this.tolerance;
    const sinceMs = endMs - 2 * WINDOW_MS - CONFIGURATION_DELAY_MS;
    const own = this.changes.filter((change) => change.tenant === tenant);
    const inForce = own.filter(
      ({atMs}, index) =>
        atMs <= endMs && (own[index + 1]?.atMs ?? Infinity) > sinceMs,
    );
    const bounds = inForce.map(
      ({quota: {perSecond, burst}}) =>
        (perSecond * windowS + burst) * (1 + share) + extra,
    );
    return Math.max(...bounds);
  }
}

const WINDOW_MS = TOLERANCE.windowS * 1_000;

const NO_LIMITS = {
  maximumHeaderBytes: 1,
  maximumBodyBytes: 1,
  headerTimeoutMs: 1,
  idleTimeoutMs: 1,
};

export const QUOTA: TenantQuota = {
  unit: 'tokens',
  perSecond: 29_000,
  burst: 29_000,
  plainTokens: 700,
};

export const quotaOf = (perSecond: number): TenantQuota => ({
  ...QUOTA,
  perSecond,
  burst: perSecond,
});

const tenantOf = (name: string, quota?: TenantQuota): Tenant => ({
  name,
  keyDigests: [],
  ...(quota === undefined ? {} : {quota}),
});

/** Shares of request sizes, and the sizes in tokens. */
const SIZES = [
  [0.9, 600],
  [0.09, 2_000],
  [0.0095, 9_200],
  [0.0005, 46_000],
] as const;

const MEAN_TOKENS = SIZES.reduce((sum, [share, size]) => sum + share * size, 0);

const randomTokens = (random: () => number): number => {
  let left = random();
  for (const [share, size] of SIZES) {
    left -= share;
    if (left < 0) {
      return size;
    }
  }
  return SIZES[0][1];
};
