import {elapsedMs, type Instant} from '@basilworks/core';

import {GroupSums} from '../servers/index.js';
import {type TenantUse, UseRates} from './use-rates.js';

/** Occupancy from which a service counts as overloaded. */
const OVERLOAD_OCCUPANCY = 0.9;

/** Occupancy from which hosts report use, to have it known at overload. */
const REPORT_OCCUPANCY = 0.7;

/** Most tenants of a service that a host reports: those with most demand. */
const MAX_REPORTED_TENANTS = 64;

/**
 * Target number of requests per place: some wait, so that a place that becomes
 * free is used at once.
 */
const TARGET_OCCUPANCY = 1.2;

/**
 * Bounds of the ratio of assumed capacity to current throughput: higher while
 * places are free, lower while too many requests wait.
 */
const LEAST_CORRECTION = 0.8;
const MOST_CORRECTION = 1.25;

/**
 * A tenant whose demand is below this share of the mean demand is not refused,
 * whatever the assumed capacity: throughput is not well known in the first
 * seconds of a load.
 */
const SMALL_SHARE = 0.5;

/** Bounds of the retry time of refused callers, milliseconds. */
const SHORTEST_WAIT_MS = 500;
const LONGEST_WAIT_MS = 4_000;

/** Time for which limits are reused, ms: new figures come with exchanges. */
const LIMITS_VALIDITY_MS = 100;

/** Stands for requests without a tenant, which count and are never refused. */
const NO_TENANT = '';

/** Whether a request is admitted, or refused in favour of other tenants. */
export type FairShareDecision =
  | {readonly admitted: true}
  | {readonly admitted: false; readonly retryAfterMs: number};

const ADMITTED: FairShareDecision = {admitted: true};

/** Demand of each tenant for a service, and the limit of each. */
interface ServiceLimits {
  readonly at: Instant;
  readonly level: number;
  /** Demand up to which a tenant is not refused. */
  readonly exemptDemand: number;
  readonly demand: ReadonlyMap<string, number>;
}

/**
 * Max-min fair shares of an overloaded service, which protect other tenants
 * from one that sends many times its usual load. One level limits all tenants;
 * a tenant above it is refused in proportion to its demand over all hosts, so
 * that late figures cause no oscillation. Nobody is refused while the service
 * has room or no demand exceeds the level.
 */
export class FairShares {
  private readonly own = new UseRates();
  private readonly limits = new Map<string, ServiceLimits>();
  private readonly sums = new GroupSums<TenantUse>(
    ({service, tenant}) => `${service} ${tenant}`,
    (sum, {offered, served}) => ({
      ...sum,
      offered: sum.offered + offered,
      served: sum.served + served,
    }),
  );

  constructor(
    /** Requests per place of a service; undefined if not known. */
    private readonly occupancy: (
      service: string,
      at: Instant,
    ) => number | undefined,
    private readonly random: () => number,
  ) {}

  /** Counts an arriving request and decides whether to admit it. */
  admit(
    service: string,
    tenant: string | undefined,
    amount: number,
    at: Instant,
  ): FairShareDecision {
    this.own.recordOffered(service, tenant ?? NO_TENANT, amount, at);
    return tenant === undefined ? ADMITTED : this.decide(service, tenant, at);
  }

  /** Counts a request that a server ran. */
  recordServed(
    service: string,
    tenant: string | undefined,
    amount: number,
    at: Instant,
  ): void {
    this.own.recordServed(service, tenant ?? NO_TENANT, amount, at);
  }

  /** Report to the group's leader; omits services that have room. */
  report(at: Instant): readonly TenantUse[] {
    const byService = new Map<string, TenantUse[]>();
    for (const use of this.own.rates(at)) {
      byService.set(use.service, [...(byService.get(use.service) ?? []), use]);
    }
    return [...byService].flatMap(([service, uses]) =>
      (this.occupancy(service, at) ?? 0) < REPORT_OCCUPANCY
        ? []
        : uses
            .sort((first, second) => second.offered - first.offered)
            .slice(0, MAX_REPORTED_TENANTS),
    );
  }

  applyReport(host: string, uses: readonly TenantUse[], at: Instant): void {
    this.sums.applyHostFigures(host, uses, at);
  }

  applyGroup(use: TenantUse & {readonly group: string}, at: Instant): void {
    this.sums.applyGroupFigure(use, at);
  }

  aggregate(group: string, at: Instant): void {
    this.sums.aggregate(group, at);
  }

  known(at: Instant) {
    return this.sums.groupFigures(at);
  }

  private decide(
    service: string,
    tenant: string,
    at: Instant,
  ): FairShareDecision {
    const {level, exemptDemand, demand} = this.limitsOf(service, at);
    const own = demand.get(tenant) ?? 0;
    if (own <= Math.max(level, exemptDemand) || this.random() < level / own) {
      return ADMITTED;
    }
    const waitMs = SHORTEST_WAIT_MS * (own / Math.max(level, Number.MIN_VALUE));
    return {admitted: false, retryAfterMs: Math.min(LONGEST_WAIT_MS, waitMs)};
  }

  private limitsOf(service: string, at: Instant): ServiceLimits {
    const known = this.limits.get(service);
    if (known !== undefined && elapsedMs(known.at, at) < LIMITS_VALIDITY_MS) {
      return known;
    }
    const occupancy = this.occupancy(service, at) ?? 0;
    const uses =
      occupancy < OVERLOAD_OCCUPANCY
        ? []
        : this.known(at).filter((use) => use.service === service);
    const demand = sumByTenant(uses);
    const served = uses.reduce((sum, use) => sum + use.served, 0);
    const capacity = served * capacityCorrection(occupancy);
    const amounts = [...demand.values()];
    const total = amounts.reduce((sum, amount) => sum + amount, 0);
    const exemptDemand = (SMALL_SHARE * total) / Math.max(1, amounts.length);
    const limits = {
      at,
      demand,
      level: maxMinFairLevel(amounts, capacity),
      exemptDemand,
    };
    this.limits.set(service, limits);
    return limits;
  }
}

/**
 * Returns the level at which the sum of min(demand, level) equals the capacity;
 * infinite where the whole demand fits.
 */
export const maxMinFairLevel = (
  asked: readonly number[],
  capacity: number,
): number => {
  let left = capacity;
  const ascending = [...asked].sort((first, second) => first - second);
  for (const [index, amount] of ascending.entries()) {
    const level = left / (ascending.length - index);
    if (amount > level) {
      return level;
    }
    left -= amount;
  }
  return Infinity;
};

const capacityCorrection = (occupancy: number): number =>
  Math.min(
    MOST_CORRECTION,
    Math.max(LEAST_CORRECTION, TARGET_OCCUPANCY / occupancy),
  );

const sumByTenant = (
  uses: readonly TenantUse[],
): ReadonlyMap<string, number> => {
  const sums = new Map<string, number>();
  for (const {tenant, offered} of uses) {
    sums.set(tenant, (sums.get(tenant) ?? 0) + offered);
  }
  return sums;
};
