import {FairShares} from '../../index.js';

/** Places of the service; each serves one token per millisecond. */
const PLACES = 60;
const MEAN_TOKENS = 600;
const HOSTS = 6;
const STEP_MS = 5;
const EXCHANGE_MS = 1_000;

/** Requests that would wait longer are refused, as in admission. */
const LONGEST_WAIT_MS = 2_500;

/** Usual load of each tenant, as a share of the service's capacity. */
const SHARES = [0.25, 0.2, 0.1, 0.07, 0.05, 0.03, 0.02, 0.02];

export interface SimulationOptions {
  readonly random: () => number;
  readonly fair: boolean;
  /** Multiple of its usual load that the first tenant sends at a time. */
  readonly factor: (ms: number) => number;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** Demand, throughput and wait of each tenant between two times. */
export interface SimulationResult {
  readonly asked: readonly number[];
  readonly served: readonly number[];
  /** Mean wait for a place, milliseconds. */
  readonly waitMs: readonly number[];
}

/** Simulates tenants, hosts and one service in virtual time. */
export const runSimulation = (options: SimulationOptions): SimulationResult => {
  const {random, fair, factor, fromMs, untilMs} = options;
  let nowMs = 0;
  let reportedOccupancy = 0;
  const at = () => ({monotonicMs: nowMs, wallMs: nowMs});
  const hosts = Array.from(
    {length: HOSTS},
    () => new FairShares(() => reportedOccupancy, random),
  );
  const zeros = () => SHARES.map(() => 0);
  const [asked, served, waited] = [zeros(), zeros(), zeros()];
  const running: Request[] = [];
  const waiting: Request[] = [];
  const arrive = (tenant: number) => {
    const tokens = Math.ceil(MEAN_TOKENS * (0.5 + random()));
    const host = hosts[Math.floor(random() * HOSTS)];
    const counts = nowMs >= fromMs;
    asked[tenant] = (asked[tenant] ?? 0) + (counts ? tokens : 0);
    const decision = host?.admit('s', `t${tenant}`, tokens, at());
    const waitMs = (waiting.length * MEAN_TOKENS) / PLACES;
    if ((!fair || decision?.admitted === true) && waitMs < LONGEST_WAIT_MS) {
      waiting.push({tenant, tokens, host, counts, endMs: 0, sinceMs: nowMs});
    }
  };
  for (; nowMs < untilMs; nowMs += STEP_MS) {
    for (const [tenant, share] of SHARES.entries()) {
      const mean =
        (share * PLACES * STEP_MS * (tenant === 0 ? factor(nowMs) : 1)) /
        MEAN_TOKENS;
      const count = Math.floor(mean) + (random() < mean % 1 ? 1 : 0);
      for (let index = 0; index < count; index += 1) {
        arrive(tenant);
      }
    }
    for (let index = running.length - 1; index >= 0; index -= 1) {
      const request = running[index];
      if (request !== undefined && request.endMs <= nowMs) {
        running.splice(index, 1);
        const {tenant, tokens, host, counts} = request;
        host?.recordServed('s', `t${tenant}`, tokens, at());
        served[tenant] = (served[tenant] ?? 0) + (counts ? tokens : 0);
      }
    }
    while (running.length < PLACES && waiting.length > 0) {
      const request = waiting.shift();
      if (request !== undefined) {
        const {tenant, tokens, counts, sinceMs} = request;
        const waitMs = counts ? (nowMs - sinceMs) * tokens : 0;
        waited[tenant] = (waited[tenant] ?? 0) + waitMs;
        running.push({...request, endMs: nowMs + tokens});
      }
    }
    if (nowMs % EXCHANGE_MS === 0) {
      reportedOccupancy = (running.length + waiting.length) / PLACES;
      exchange(hosts, at());
    }
  }
  const waitMs = waited.map((sum, index) => sum / (served[index] ?? 1));
  return {asked, served, waitMs};
};

interface Request {
  readonly tenant: number;
  readonly tokens: number;
  readonly host: FairShares | undefined;
  readonly counts: boolean;
  readonly endMs: number;
  readonly sinceMs: number;
}

/** Aggregates two groups of hosts and distributes both sums to all hosts. */
const exchange = (
  hosts: readonly FairShares[],
  at: {monotonicMs: number; wallMs: number},
): void => {
  const half = hosts.length / 2;
  for (const group of [hosts.slice(0, half), hosts.slice(half)]) {
    const [leader] = group;
    for (const [index, host] of group.entries()) {
      leader?.applyReport(`h${index}`, host.report(at), at);
    }
    const name = leader === hosts[0] ? 'g0' : 'g1';
    leader?.aggregate(name, at);
    for (const use of leader?.known(at) ?? []) {
      for (const host of hosts) {
        if (host !== leader && use.group === name) {
          host.applyGroup(use, at);
        }
      }
    }
  }
};
