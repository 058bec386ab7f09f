import {chooseByRendezvous, elapsedMs, type Instant} from '@basilworks/core';
import {
  rendezvousWeight,
  hostRecordSchema,
  type QuotaAnswer,
  type QuotaAsk,
  type QuotaBounds,
  QuotaMeter,
  type Snapshot,
} from '@basilworks/dispatch';

import type {EntryHostContext} from '../context.js';
import type {QuotaTable} from './quota-table.js';

/** Time without a review after which this host counts as frozen, ms. */
const FROZEN_MS = 1_000;

/** Time for which a host that asked is counted, milliseconds: two asks. */
const ASKER_MS = 2_000;

/** A host that sees fewer of the recorded ones gives out just their part. */
const MAJORITY = 1 / 2;

/** Hosts by their rank for a tenant. */
export interface MeterHosts {
  readonly primary: string | undefined;
  readonly standby: string | undefined;
}

interface KnownMeter {
  readonly meter: QuotaMeter;
  /** This host comes first for the tenant; else it stands in for the first. */
  readonly first: boolean;
  /** When hosts asked last. */
  readonly askers: Map<string, Instant>;
}

/** What the meters need of their host. */
export type TenantMetersContext = Pick<
  EntryHostContext,
  'settings' | 'clock' | 'membership' | 'views'
>;

/**
 * The meters of tenants that fall to this host: those that it comes first for
 * among all live hosts, and those whose first host others don't reach.
 */
export class TenantMeters {
  private readonly meters = new Map<string, KnownMeter>();
  /** Since when no meter of another host can have fallen to this one. */
  private since: Instant;
  private reviewedAt: Instant;
  private live: ReadonlySet<string> = new Set();
  /** By tenant, for the live hosts of the latest look. */
  private readonly ranks = new Map<string, MeterHosts>();
  private ranksFor: string | undefined;
  private seenShare = 1;
  private recordedHosts = 1;
  /** Names in the records, and the snapshot that they were read from. */
  private recorded: readonly string[] = [];
  private countedIn: Snapshot | undefined;

  constructor(
    private readonly context: TenantMetersContext,
    private readonly book: QuotaTable,
  ) {
    this.since = context.clock.now();
    this.reviewedAt = this.since;
  }

  /** The host that meters a tenant, and the one that stands in for it. */
  meterHostsOf(tenant: string): MeterHosts {
    const live = this.context.membership.live();
    const names = live.map(({host}) => host).join(' ');
    if (this.ranksFor !== names) {
      this.ranksFor = names;
      this.ranks.clear();
    }
    const known = this.ranks.get(tenant);
    if (known !== undefined) {
      return known;
    }
    const candidates = live.map(({host, capacity}) => ({
      name: host,
      weight: rendezvousWeight(capacity),
    }));
    const primary = chooseByRendezvous(tenant, candidates);
    const others = candidates.filter(({name}) => name !== primary);
    const ranks = {primary, standby: chooseByRendezvous(tenant, others)};
    this.ranks.set(tenant, ranks);
    return ranks;
  }

  /** Answers for a tenant; undefined where it has no quota, as far as known. */
  answer(
    host: string,
    incarnation: string,
    tenant: string,
    ask: QuotaAsk,
    at: Instant,
  ): QuotaAnswer | undefined {
    if (elapsedMs(this.reviewedAt, at) > FROZEN_MS) {
      this.review(at);
    }
    const bounds = this.book.boundsOf(tenant);
    if (bounds === undefined) {
      return undefined;
    }
    const {meter, askers, first} = this.meterOf(tenant, bounds);
    askers.set(host, at);
    meter.setBounds(bounds, this.scaleOf(first, bounds, askers.size), at);
    return meter.answer(`${host}/${incarnation}`, ask, at);
  }

  /** Looks at who lives, and forgets what is not needed any more. */
  review(at: Instant): void {
    const frozen = elapsedMs(this.reviewedAt, at) > FROZEN_MS;
    this.reviewedAt = at;
    const live = new Set(this.context.membership.live().map(({host}) => host));
    if (frozen || [...this.live].some((host) => !live.has(host))) {
      this.since = at;
    }
    if (frozen) {
      this.meters.clear();
    }
    this.live = live;
    this.countRecorded();
    const {host: self} = this.context.settings;
    for (const [tenant, {meter, first, askers}] of this.meters) {
      for (const [host, askedAt] of askers) {
        if (elapsedMs(askedAt, at) > ASKER_MS) {
          askers.delete(host);
        }
      }
      if (
        first !== (this.meterHostsOf(tenant).primary === self) ||
        (askers.size === 0 && (!first || meter.isIdle(at)))
      ) {
        this.meters.delete(tenant);
      }
    }
  }

  private meterOf(tenant: string, bounds: QuotaBounds): KnownMeter {
    const known = this.meters.get(tenant);
    const first =
      this.meterHostsOf(tenant).primary === this.context.settings.host;
    if (known?.first === first) {
      return known;
    }
    const scale = this.scaleOf(first, bounds, 1);
    const since = first ? this.since : this.context.clock.now();
    const meter = new QuotaMeter(bounds, since, scale, !first);
    const made = {meter, first, askers: new Map<string, Instant>()};
    this.meters.set(tenant, made);
    return made;
  }

  /**
   * The part of a quota that this host gives out, so that parts of a fleet that
   * don't see each other give out no more than the whole.
   */
  private scaleOf(
    first: boolean,
    {unseenShare, standInShare}: QuotaBounds,
    askers: number,
  ): number {
    const seen =
      this.seenShare < MAJORITY
        ? this.seenShare
        : Math.min(1, this.seenShare + unseenShare);
    return first
      ? seen
      : Math.min(seen, standInShare, askers / this.recordedHosts);
  }

  private countRecorded(): void {
    const {views, settings} = this.context;
    const snapshot = views.get('records')?.snapshot;
    if (snapshot !== this.countedIn) {
      this.countedIn = snapshot;
      this.recorded = (snapshot?.items ?? []).flatMap(
        ({value}) => hostRecordSchema.safeParse(value).data?.host ?? [],
      );
    }
    const hosts = new Set([...this.recorded, settings.host]);
    this.recordedHosts = Math.max(hosts.size, this.live.size);
    const seen = [...hosts].filter((host) => this.live.has(host)).length;
    this.seenShare = seen / hosts.size;
  }
}
