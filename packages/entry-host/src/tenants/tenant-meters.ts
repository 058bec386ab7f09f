import {chooseByRendezvous, elapsedMs, type Instant} from '@basilworks/core';
import {
  decodeFleetRecord,
  type QuotaAnswer,
  type QuotaAsk,
  type QuotaBounds,
  QuotaMeter,
  rendezvousWeight,
  type Snapshot,
} from '@basilworks/dispatch';

import type {EntryHostContext} from '../context.js';
import type {QuotaTable} from './quota-table.js';

/** Time without a review after which this host counts as frozen. */
const FREEZE_THRESHOLD_MS = 1_000;

/** Time for which a requester is counted: two periods between asks. */
const REQUESTER_TIMEOUT_MS = 2_000;

/** A host that sees a smaller share of the hosts grants only that share. */
const MAJORITY = 1 / 2;

/** The hosts that may meter a tenant. */
export interface MeterHosts {
  readonly primary: string | undefined;
  readonly standby: string | undefined;
}

interface MeterEntry {
  readonly meter: QuotaMeter;
  /** Whether this host is the primary meter host; else it is the standby. */
  readonly isPrimary: boolean;
  /** Time of the latest ask of each host. */
  readonly requesters: Map<string, Instant>;
}

/** The parts of the context that meters use. */
export type TenantMetersContext = Pick<
  EntryHostContext,
  'settings' | 'clock' | 'membership' | 'views'
>;

/**
 * The meters of the tenants that this host meters: those for which it is the
 * primary among all live hosts, and those whose primary other hosts can't
 * reach.
 */
export class TenantMeters {
  private readonly meters = new Map<string, MeterEntry>();
  /** Latest time at which meters of other hosts may have passed to this one. */
  private soleSince: Instant;
  private reviewedAt: Instant;
  private live: ReadonlySet<string> = new Set();
  /** By tenant, for the live hosts named in `meterHostsKey`. */
  private readonly meterHosts = new Map<string, MeterHosts>();
  private meterHostsKey: string | undefined;
  private liveShare = 1;
  private recordedHostCount = 1;
  /** Names of the recorded hosts, and the snapshot that they were read from. */
  private recordedNames: readonly string[] = [];
  private countedSnapshot: Snapshot | undefined;

  constructor(
    private readonly context: TenantMetersContext,
    private readonly quotas: QuotaTable,
  ) {
    this.soleSince = context.clock.now();
    this.reviewedAt = this.soleSince;
  }

  /** The primary and the standby meter host of a tenant. */
  meterHostsOf(tenant: string): MeterHosts {
    const live = this.context.membership.live();
    const names = live.map(({host}) => host).join(' ');
    if (this.meterHostsKey !== names) {
      this.meterHostsKey = names;
      this.meterHosts.clear();
    }
    const known = this.meterHosts.get(tenant);
    if (known !== undefined) {
      return known;
    }
    const candidates = live.map(({host, capacity}) => ({
      name: host,
      weight: rendezvousWeight(capacity),
    }));
    const primary = chooseByRendezvous(tenant, candidates);
    const others = candidates.filter(({name}) => name !== primary);
    const hosts = {primary, standby: chooseByRendezvous(tenant, others)};
    this.meterHosts.set(tenant, hosts);
    return hosts;
  }

  /** Answers an ask; undefined if the tenant has no known quota. */
  answer(
    host: string,
    incarnation: string,
    tenant: string,
    ask: QuotaAsk,
    at: Instant,
  ): QuotaAnswer | undefined {
    if (elapsedMs(this.reviewedAt, at) > FREEZE_THRESHOLD_MS) {
      this.review(at);
    }
    const bounds = this.quotas.boundsOf(tenant);
    if (bounds === undefined) {
      return undefined;
    }
    const {meter, requesters, isPrimary} = this.meterOf(tenant, bounds);
    requesters.set(host, at);
    meter.setBounds(
      bounds,
      this.scaleOf(isPrimary, bounds, requesters.size),
      at,
    );
    return meter.answer(`${host}/${incarnation}`, ask, at);
  }

  /** Updates the live hosts and drops meters that are no longer needed. */
  review(at: Instant): void {
    const frozen = elapsedMs(this.reviewedAt, at) > FREEZE_THRESHOLD_MS;
    this.reviewedAt = at;
    const live = new Set(this.context.membership.live().map(({host}) => host));
    if (frozen || [...this.live].some((host) => !live.has(host))) {
      this.soleSince = at;
    }
    if (frozen) {
      this.meters.clear();
    }
    this.live = live;
    this.countRecordedHosts();
    const {host: self} = this.context.settings;
    for (const [tenant, {meter, isPrimary, requesters}] of this.meters) {
      for (const [host, requestedAt] of requesters) {
        if (elapsedMs(requestedAt, at) > REQUESTER_TIMEOUT_MS) {
          requesters.delete(host);
        }
      }
      if (
        isPrimary !== (this.meterHostsOf(tenant).primary === self) ||
        (requesters.size === 0 && (!isPrimary || meter.isIdle(at)))
      ) {
        this.meters.delete(tenant);
      }
    }
  }

  private meterOf(tenant: string, bounds: QuotaBounds): MeterEntry {
    const known = this.meters.get(tenant);
    const isPrimary =
      this.meterHostsOf(tenant).primary === this.context.settings.host;
    if (known?.isPrimary === isPrimary) {
      return known;
    }
    const scale = this.scaleOf(isPrimary, bounds, 1);
    const since = isPrimary ? this.soleSince : this.context.clock.now();
    const meter = new QuotaMeter(bounds, since, scale, !isPrimary);
    const entry = {meter, isPrimary, requesters: new Map<string, Instant>()};
    this.meters.set(tenant, entry);
    return entry;
  }

  /**
   * The share of a quota that this host grants, such that the sides of a
   * network partition together grant no more than the whole.
   */
  private scaleOf(
    isPrimary: boolean,
    {unseenShare, standInShare}: QuotaBounds,
    requesters: number,
  ): number {
    const reachableShare =
      this.liveShare < MAJORITY
        ? this.liveShare
        : Math.min(1, this.liveShare + unseenShare);
    return isPrimary
      ? reachableShare
      : Math.min(
          reachableShare,
          standInShare,
          requesters / this.recordedHostCount,
        );
  }

  private countRecordedHosts(): void {
    const {views, settings} = this.context;
    const snapshot = views.get('records')?.snapshot;
    if (snapshot !== this.countedSnapshot) {
      this.countedSnapshot = snapshot;
      this.recordedNames = (snapshot?.items ?? []).flatMap((item) => {
        const record = decodeFleetRecord(item);
        return record?.type === 'host' ? [record.host] : [];
      });
    }
    const hosts = new Set([...this.recordedNames, settings.host]);
    this.recordedHostCount = Math.max(hosts.size, this.live.size);
    const liveCount = [...hosts].filter((host) => this.live.has(host)).length;
    this.liveShare = liveCount / hosts.size;
  }
}
