import type {Instant} from '@basilworks/core';
import {
  instantBefore,
  OutlierDetector,
  type FairShares,
  type ServiceLoad,
} from '@basilworks/dispatch';
import type {fleet} from '@basilworks/protocol';

import type {EntryHostContext} from '../context.js';
import {
  decodeSuspects,
  decodeTallies,
  encodeSuspects,
  encodeTallies,
  takeSuspicion,
} from './tally-codec.js';

/** Where figures of this host come from. */
export interface GroupNewsSources {
  /** Load of the servers whose orders this host issues. */
  issuedLoads(): readonly ServiceLoad[];
  /** What tenants use of services, where there are tenants. */
  readonly fairShares?: FairShares;
}

/** What a host tells a reader of its group. */
type Told = Pick<fleet.ExchangeRequest, 'loads' | 'uses' | 'tallies'>;

/** What a host answers to any other. */
type Known = Pick<fleet.ExchangeResponse, 'loads' | 'uses' | 'suspects'>;

const NOTHING_TOLD: Told = {loads: [], uses: [], tallies: []};

/**
 * Figures that hosts tell the readers of their group, and what these make of
 * them for all: load of servers, use by tenants, servers that fail requests.
 * All are absolute, so that a message that is lost or doubled changes nothing.
 */
export class GroupNews {
  private readonly judge = new OutlierDetector();

  constructor(
    private readonly context: EntryHostContext,
    private readonly sources: GroupNewsSources,
  ) {}

  /** What to tell with an exchange; only readers are told. */
  toTell(isReader: boolean, at: Instant): Told {
    if (!isReader) {
      return NOTHING_TOLD;
    }
    const own = {group: '', ageMs: 0};
    const {fairShares} = this.sources;
    return {
      loads: this.sources.issuedLoads().map((load) => ({...load, ...own})),
      uses: (fairShares?.report(at) ?? []).map((use) => ({...use, ...own})),
      tallies: encodeTallies(this.context.tallies.snapshot(at)),
    };
  }

  /** A host tells its figures. */
  takeTold(host: string, {loads, uses, tallies}: Told, at: Instant): void {
    if (loads.length > 0) {
      this.context.fleetLoad.applyHostLoads(host, loads, at);
    }
    if (uses.length > 0) {
      this.sources.fairShares?.applyReport(host, uses, at);
    }
    if (tallies.length > 0) {
      this.judge.applyTallies(host, decodeTallies(tallies), at);
    }
  }

  /** What is known of all groups, and for this group's hosts its suspects. */
  known(isOfGroup: boolean, at: Instant): Known {
    const {fleetLoad, outliers} = this.context;
    const {fairShares} = this.sources;
    return {
      loads: fleetLoad.groupLoads(at).map(withWholeAge),
      uses: (fairShares?.known(at) ?? []).map(withWholeAge),
      suspects: isOfGroup ? encodeSuspects(outliers.list(at)) : [],
    };
  }

  /** Takes over what a host knew that was asked at `askedAt`. */
  takeKnown(
    host: string | undefined,
    {loads, uses, suspects}: Known,
    askedAt: Instant,
    at: Instant,
  ): void {
    for (const {ageMs, ...load} of loads) {
      this.context.fleetLoad.applyGroupLoad(
        load,
        instantBefore(askedAt, ageMs),
      );
    }
    for (const {ageMs, ...use} of uses) {
      this.sources.fairShares?.applyGroup(use, instantBefore(askedAt, ageMs));
    }
    for (const suspicion of decodeSuspects(suspects)) {
      takeSuspicion(this.context, suspicion, host, at);
    }
  }

  /** Sums up what the hosts of the group told, as its reader. */
  sumUp(group: string, at: Instant): void {
    const {fleetLoad, settings} = this.context;
    fleetLoad.applyHostLoads(settings.host, this.sources.issuedLoads(), at);
    fleetLoad.aggregate(group, at);
    const {fairShares} = this.sources;
    fairShares?.applyReport(settings.host, fairShares.report(at), at);
    fairShares?.aggregate(group, at);
    this.judgeServers(at);
  }

  private judgeServers(at: Instant): void {
    const {settings, servers, tallies} = this.context;
    this.judge.applyTallies(settings.host, tallies.snapshot(at), at);
    const judged = servers
      .all()
      .map(({key, entry}) => ({key, service: entry.service}));
    for (const suspicion of this.judge.detect(judged, at)) {
      takeSuspicion(this.context, suspicion, settings.host, at);
    }
  }
}

const withWholeAge = <Aged extends {readonly ageMs: number}>(
  aged: Aged,
): Aged => ({...aged, ageMs: Math.ceil(aged.ageMs)});
