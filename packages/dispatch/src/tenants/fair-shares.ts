import {elapsedMs, type Instant} from '@basilworks/core';

import {GroupSums} from '../servers/index.js';
import {type TenantUse, UseRates} from './use-rates.js';

/** Share of a service's places from which on it counts as short. */
const SHORT_FROM = 0.9;

/** Hosts tell uses from here on, so that they are known once it is short. */
const TOLD_FROM = 0.7;

/** Most tenants of a service whose use a host tells: those that use most. */
const TENANTS_TOLD = 64;

/**
 * Requests for each place that are aimed at: some wait, so that a place that
 * becomes free is taken at once.
 */
const AIM = 1.2;

/**
 * How far the capacity may be taken for other than what is served now: more
 * where places are free, less where too many requests wait for them.
 */
const LEAST_CORRECTION = 0.8;
const MOST_CORRECTION = 1.25;

/**
 * A tenant that asks less than this of an equal part of all that is asked is
 * not refused, whatever the capacity is taken for: what is served is not known
 * well in the first seconds of a load.
 */
const SMALL_SHARE = 0.5;

/** Waits that refused callers are told, milliseconds. */
const SHORTEST_WAIT_MS = 500;
const LONGEST_WAIT_MS = 4_000;

/** Between two looks at a service, ms: figures come with each exchange. */
const LOOK_MS = 100;

/** Requests of no tenant: they count, and are never refused here. */
const NOBODY = '';

/** Whether a request is taken, or refused for the sake of other tenants. */
export type FairShareDecision =
  | {readonly admitted: true}
  | {readonly admitted: false; readonly retryAfterMs: number};

const ADMITTED: FairShareDecision = {admitted: true};

/** What each tenant asks of a service, and what it may have. */
interface Look {
  readonly at: Instant;
  readonly level: number;
  /** Who asks no more is not refused. */
  readonly small: number;
  readonly asked: ReadonlyMap<string, number>;
}

/**
 * Parts of a service that is short, for a tenant that asks many times its usual
 * while others ask theirs. Each tenant may have as much as the fleet can serve
 * under one level for all (max-min); one that asks for more is refused in
 * proportion, by what it asks over all hosts, so that late figures lead to no
 * swings. While a service has room, or nobody asks beyond the level, nobody is
 * refused.
 */
export class FairShares {
  private readonly own = new UseRates();
  private readonly looks = new Map<string, Look>();
  private readonly sums = new GroupSums<TenantUse>(
    ({service, tenant}) => `${service} ${tenant}`,
    (sum, {offered, served}) => ({
      ...sum,
      offered: sum.offered + offered,
      served: sum.served + served,
    }),
  );

  constructor(
    /** Share of a service's places that are taken; undefined if not known. */
    private readonly occupancy: (
      service: string,
      at: Instant,
    ) => number | undefined,
    private readonly random: () => number,
  ) {}

  /** Counts a request that arrives, and says whether it is taken. */
  admit(
    service: string,
    tenant: string | undefined,
    amount: number,
    at: Instant,
  ): FairShareDecision {
    this.own.recordOffered(service, tenant ?? NOBODY, amount, at);
    return tenant === undefined ? ADMITTED : this.judge(service, tenant, at);
  }

  /** Counts a request that a server ran. */
  recordServed(
    service: string,
    tenant: string | undefined,
    amount: number,
    at: Instant,
  ): void {
    this.own.recordServed(service, tenant ?? NOBODY, amount, at);
  }

  /** What to tell the leader of the group: nothing where there is room. */
  report(at: Instant): readonly TenantUse[] {
    const byService = new Map<string, TenantUse[]>();
    for (const use of this.own.rates(at)) {
      byService.set(use.service, [...(byService.get(use.service) ?? []), use]);
    }
    return [...byService].flatMap(([service, uses]) =>
      (this.occupancy(service, at) ?? 0) < TOLD_FROM
        ? []
        : uses
            .sort((first, second) => second.offered - first.offered)
            .slice(0, TENANTS_TOLD),
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

  private judge(
    service: string,
    tenant: string,
    at: Instant,
  ): FairShareDecision {
    const {level, small, asked} = this.look(service, at);
    const own = asked.get(tenant) ?? 0;
    if (own <= Math.max(level, small) || this.random() < level / own) {
      return ADMITTED;
    }
    const waitMs = SHORTEST_WAIT_MS * (own / Math.max(level, Number.MIN_VALUE));
    return {admitted: false, retryAfterMs: Math.min(LONGEST_WAIT_MS, waitMs)};
  }

  private look(service: string, at: Instant): Look {
    const known = this.looks.get(service);
    if (known !== undefined && elapsedMs(known.at, at) < LOOK_MS) {
      return known;
    }
    const occupancy = this.occupancy(service, at) ?? 0;
    const uses =
      occupancy < SHORT_FROM
        ? []
        : this.known(at).filter((use) => use.service === service);
    const asked = sumByTenant(uses);
    const served = uses.reduce((sum, use) => sum + use.served, 0);
    const capacity = served * capacityCorrection(occupancy);
    const amounts = [...asked.values()];
    const total = amounts.reduce((sum, amount) => sum + amount, 0);
    const small = (SMALL_SHARE * total) / Math.max(1, amounts.length);
    const look = {at, asked, level: maxMinFairLevel(amounts, capacity), small};
    this.looks.set(service, look);
    return look;
  }
}

/**
 * Returns the level under which all that is asked fits into the capacity when
 * each gets the smaller of what it asks and the level; infinite where it fits.
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
  Math.min(MOST_CORRECTION, Math.max(LEAST_CORRECTION, AIM / occupancy));

const sumByTenant = (
  uses: readonly TenantUse[],
): ReadonlyMap<string, number> => {
  const sums = new Map<string, number>();
  for (const {tenant, offered} of uses) {
    sums.set(tenant, (sums.get(tenant) ?? 0) + offered);
  }
  return sums;
};
