import type {Tenant, TenantQuota} from '@basilworks/dispatch';
import type {fleet} from '@basilworks/protocol';

import {VirtualTime} from '../views/virtual-time.js';
import {ADDRESSES, SimulatedHost} from './simulated-host.js';

/** Time until all hosts go by a newer configuration, milliseconds. */
const APPLY_MS = 2_000;

/** Longest wait for the answer of a peer, milliseconds. */
const ANSWER_MS = 120;

export const TOLERANCE = {windowS: 8, share: 0.1, extra: 110_000};

interface Run {
  readonly tenant: string;
  readonly atMs: number;
  readonly tokens: number;
}

/** How messages fare. */
export interface Network {
  /** Shares of messages that are lost, or come twice. */
  readonly lost: number;
  readonly doubled: number;
  /** Longest time on the way, milliseconds. */
  readonly slowMs: number;
}

const CALM: Network = {lost: 0, doubled: 0, slowMs: 3};

/** Hosts that keep tenants to their quotas, on virtual time. */
export class QuotaSimulation {
  readonly time = new VirtualTime();
  readonly hosts = new Map<string, SimulatedHost>();
  readonly runs: Run[] = [];
  readonly counts = {asked: 0, served: 0, waited: 0, messages: 0};
  records: object[] | undefined;
  network = CALM;
  /** Part of the requests that run at a server. */
  ranShare = 1;
  private readonly quotas = new Map<string, TenantQuota>();
  private readonly changes: {
    tenant: string;
    atMs: number;
    quota: TenantQuota;
  }[] = [];

  private apart = false;
  private splitMs = -1e6;
  private requests = 0;
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

  /** Place of the host that meters a tenant, as the first one sees it. */
  meterOf(tenant: string): number {
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

  /** Hosts learn of a changed quota one after the other. */
  change(tenant: string, perSecond: number): void {
    const {time, random} = this;
    const quota = {...QUOTA, perSecond, burst: perSecond};
    this.quotas.set(tenant, quota);
    this.changes.push({tenant, atMs: time.nowMs, quota});
    this.version += 1;
    const configuration = this.configuration();
    for (const host of this.hosts.values()) {
      const {quotas} = host;
      time.after(random() * APPLY_MS, () => {
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

  /** Hosts that one takes for live, later than they come and go. */
  believedLive(by: SimulatedHost): readonly string[] {
    return [...this.hosts.values()]
      .filter((host) => {
        const reached = host.running && this.connected(host, by);
        const changedMs = Math.max(
          host.changedMs,
          host.side === by.side ? -1e6 : this.splitMs,
          by.isolated || by.changedMs > host.changedMs ? by.changedMs : -1e6,
        );
        const known = this.time.nowMs - changedMs > by.lagMs;
        return host === by || (known ? reached : !reached || host.lagMs < 700);
      })
      .map(({name}) => name);
  }

  /** Sends requests of a tenant to a host, evenly, from now on. */
  send(tenant: string, host: SimulatedHost, tokensPerSecond: number): void {
    if (tokensPerSecond <= 0) {
      return;
    }
    const {time, random} = this;
    const next = () => {
      const tokens = drawTokens(random);
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
    const askedMs = time.nowMs;
    counts.asked += 1;
    const admission = await host.quotas.admit({
      requestId: `${(this.requests += 1)}`,
      caller: {type: 'tenant', tenant: tenantOf(tenant), digest: ''},
      usage: `${tokens}`,
    });
    counts.waited += time.nowMs > askedMs ? 1 : 0;
    if (admission.type === 'refused') {
      return admission;
    }
    counts.served += 1;
    const ran = random() < this.ranShare;
    if (ran) {
      this.runs.push({tenant, atMs: time.nowMs, tokens});
    }
    time.after(random() * 600, () => {
      if (host.running) {
        admission.end(ran);
        admission.end(ran);
      }
    });
    return admission;
  }

  /** Carries a request to a host and its answer back, as the network does. */
  carry(
    from: SimulatedHost,
    to: string,
    request: fleet.QuotaRequest,
    whenRunning: (callback: () => void) => void,
  ): Promise<fleet.QuotaResponse | undefined> {
    const {time, hosts} = this;
    this.counts.messages += 2;
    return new Promise((resolve) => {
      time.after(ANSWER_MS, () => {
        whenRunning(() => {
          resolve(undefined);
        });
      });
      this.pass(() => {
        const peer = hosts.get(to);
        if (peer?.running !== true || !this.connected(peer, from)) {
          return;
        }
        const response = peer.quotas.grant(request);
        this.pass(() => {
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
  broken(): readonly string[] {
    return [...this.quotas.keys()].flatMap((tenant) => {
      const runs = this.runs.filter((run) => run.tenant === tenant);
      runs.sort((first, second) => first.atMs - second.atMs);
      let [start, used] = [0, 0];
      return runs.flatMap(({atMs, tokens}) => {
        used += tokens;
        for (; (runs[start]?.atMs ?? atMs) <= atMs - WINDOW_MS; start += 1) {
          used -= runs[start]?.tokens ?? 0;
        }
        const allowed = this.allowed(tenant, atMs);
        return used > allowed
          ? [`${tenant} at ${Math.round(atMs)}: ${used} of ${allowed}`]
          : [];
      });
    });
  }

  /** Tokens of a tenant that ran in the latest milliseconds, a second. */
  rate(tenant: string, forMs: number): number {
    const sinceMs = this.time.nowMs - forMs;
    const tokens = this.runs
      .filter((run) => run.tenant === tenant && run.atMs > sinceMs)
      .reduce((sum, run) => sum + run.tokens, 0);
    return (tokens / forMs) * 1_000;
  }

  /** Parts the hosts into two sides, or joins them again. */
  split(apart: boolean, sideOf: (index: number) => number): void {
    this.apart = apart;
    this.splitMs = this.time.nowMs;
    for (const [index, host] of [...this.hosts.values()].entries()) {
      host.side = sideOf(index);
    }
  }

  private connected(one: SimulatedHost, other: SimulatedHost): boolean {
    const sameSide = !this.apart || one.side === other.side;
    return sameSide && !one.isolated && !other.isolated;
  }

  private pass(deliver: () => void): void {
    const {random, network} = this;
    const copies = random() < network.doubled ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      if (random() >= network.lost) {
        this.time.after(0.5 + random() * network.slowMs, deliver);
      }
    }
  }

  /** A lower quota binds a window after all hosts have it. */
  private allowed(tenant: string, endMs: number): number {
    const {windowS, share, extra} = this.tolerance;
    const sinceMs = endMs - 2 * WINDOW_MS - APPLY_MS;
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

/** Sizes of requests with their shares. */
const SIZES = [
  [0.9, 600],
  [0.09, 2_000],
  [0.0095, 9_200],
  [0.0005, 46_000],
] as const;

const MEAN_TOKENS = SIZES.reduce((sum, [share, size]) => sum + share * size, 0);

const drawTokens = (random: () => number): number => {
  let left = random();
  for (const [share, size] of SIZES) {
    left -= share;
    if (left < 0) {
      return size;
    }
  }
  return SIZES[0][1];
};
