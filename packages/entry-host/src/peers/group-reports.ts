import type {Instant} from '@basilworks/core';
import {
  type FairShares,
  instantBefore,
  OutlierDetector,
  type ServiceLoad,
} from '@basilworks/dispatch';
import type {fleet} from '@basilworks/protocol';

import type {EntryHostContext} from '../context.js';
import {
  applyOutlier,
  decodeOutliers,
  decodeTallies,
  encodeOutliers,
  encodeTallies,
} from './tally-codec.js';

/** Sources of this host's own figures. */
export interface GroupReportSources {
  /** Load of the servers whose orders this host issues, by service. */
  issuedLoads(): readonly ServiceLoad[];
  /** Tenants' use of services; absent where no tenants are configured. */
  readonly fairShares?: FairShares;
}

/** The figures that a host reports to a store reader of its group. */
type HostReport = Pick<fleet.ExchangeRequest, 'loads' | 'uses' | 'tallies'>;

/** The figures of all groups that a host returns to a peer. */
type GroupSummary = Pick<fleet.ExchangeResponse, 'loads' | 'uses' | 'suspects'>;

const EMPTY_REPORT: HostReport = {loads: [], uses: [], tallies: []};

/**
 * Aggregates server load, tenant use and outlier detection over the fleet.
 * Hosts report their figures to the store readers of their reader group, which
 * return the aggregates of all groups. Figures are absolute values, not
 * increments, so lost or duplicated messages do no harm.
 */
export class GroupReports {
  private readonly detector = new OutlierDetector();

  constructor(
    private readonly context: EntryHostContext,
    private readonly sources: GroupReportSources,
  ) {}

  /** Returns the report to send with an exchange; empty unless to a reader. */
  report(isReader: boolean, at: Instant): HostReport {
    if (!isReader) {
      return EMPTY_REPORT;
    }
    const own = {group: '', ageMs: 0};
    const {fairShares} = this.sources;
    return {
      loads: this.sources.issuedLoads().map((load) => ({...load, ...own})),
      uses: (fairShares?.report(at) ?? []).map((use) => ({...use, ...own})),
      tallies: encodeTallies(this.context.tallies.snapshot(at)),
    };
  }

  /** Applies the report of another host. */
  applyReport(
    host: string,
    {loads, uses, tallies}: HostReport,
    at: Instant,
  ): void {
    if (loads.length > 0) {
      this.context.fleetLoad.applyHostLoads(host, loads, at);
    }
    if (uses.length > 0) {
      this.sources.fairShares?.applyReport(host, uses, at);
    }
    if (tallies.length > 0) {
      this.detector.applyTallies(host, decodeTallies(tallies), at);
    }
  }

  /**
   * Returns the figures of all groups; hosts of this group also get outliers.
   */
  summary(isOfGroup: boolean, at: Instant): GroupSummary {
    const {fleetLoad, outliers} = this.context;
    const {fairShares} = this.sources;
    return {
      loads: fleetLoad.groupLoads(at).map(roundAgeUp),
      uses: (fairShares?.known(at) ?? []).map(roundAgeUp),
      suspects: isOfGroup ? encodeOutliers(outliers.list(at)) : [],
    };
  }

  /**
   * Applies the summary of `host` (undefined if not yet identified). Ages count
   * back from `requestedAt`, so that figures never appear newer than they are.
   */
  applySummary(
    host: string | undefined,
    {loads, uses, suspects}: GroupSummary,
    requestedAt: Instant,
    at: Instant,
  ): void {
    for (const {ageMs, ...load} of loads) {
      this.context.fleetLoad.applyGroupLoad(
        load,
        instantBefore(requestedAt, ageMs),
      );
    }
    for (const {ageMs, ...use} of uses) {
      this.sources.fairShares?.applyGroup(
        use,
        instantBefore(requestedAt, ageMs),
      );
    }
    for (const outlier of decodeOutliers(suspects)) {
      applyOutlier(this.context, outlier, host, at);
    }
  }

  /** Aggregates the reports of the group's hosts, as one of its readers. */
  aggregate(group: string, at: Instant): void {
    const {fleetLoad, settings} = this.context;
    fleetLoad.applyHostLoads(settings.host, this.sources.issuedLoads(), at);
    fleetLoad.aggregate(group, at);
    const {fairShares} = this.sources;
    fairShares?.applyReport(settings.host, fairShares.report(at), at);
    fairShares?.aggregate(group, at);
    this.detectOutliers(at);
  }

  private detectOutliers(at: Instant): void {
    const {settings, servers, tallies} = this.context;
    this.detector.applyTallies(settings.host, tallies.snapshot(at), at);
    const monitored = servers
      .all()
      .map(({key, entry}) => ({key, service: entry.service}));
    for (const outlier of this.detector.detect(monitored, at)) {
      applyOutlier(this.context, outlier, settings.host, at);
    }
  }
}

const roundAgeUp = <Aged extends {readonly ageMs: number}>(
  aged: Aged,
): Aged => ({...aged, ageMs: Math.ceil(aged.ageMs)});
