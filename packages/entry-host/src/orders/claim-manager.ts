import {elapsedMs, type Instant} from '@basilworks/core';
import {
  CLAIM_VALIDITY_MS,
  type ClaimChange,
  type ClaimRecord,
  claimRecordName,
  type ClaimState,
  decodeFleetRecord,
  eraOf,
  type FleetRecord,
  type HeldClaim,
  type HostRecord,
  hostRecordName,
  isOfEra,
  isTakeoverComplete,
  mayIssueOrders,
  rendezvousWeight,
  reviewClaims,
  type RouteTable,
  type StoredClaim,
  type StoredItem,
  UNKNOWN_HOLDER,
} from '@basilworks/dispatch';

import type {EntryHostContext} from '../context.js';

/** Interval between reviews of the claims. */
const REVIEW_PERIOD_MS = 500;

/** Greatest age of the view of the records on which a change may be based. */
const MAX_REVIEW_VIEW_AGE_MS = 4_500;

/** Time after the start during which hosts discover each other. */
const DISCOVERY_PERIOD_MS = 1_500;

/**
 * Time without new hosts after which a starting host may take claims. A host
 * that knows few others computes that most claims fall to itself.
 */
const MEMBERSHIP_STABLE_MS = 1_000;

/** Uptime from which claims are taken even if new hosts keep joining. */
const MAX_STABILIZATION_MS = 6_000;

/** Time for which the record of an unreachable host is kept. */
const HOST_RECORD_RETENTION_MS = 60_000;

/** Maintains this host's record and its claims in the metadata store. */
export class ClaimManager {
  private readonly claims = new Map<string, StoredClaim>();
  private readonly hosts = new Map<string, StoredItem>();
  private readonly held = new Map<string, HeldClaim>();
  private readonly pendingWrites = new Set<string>();
  /** Claims written by this host that the view does not contain yet. */
  private readonly ownWrites = new Map<string, StoredClaim>();
  /** Claims that this host held when the store was restored. */
  private heldBefore = new Map<string, HeldClaim>();
  private era = 0;
  /** When this host learned of the era. */
  private eraSince: Instant;
  /** Latest confirmation of the claims of the era. */
  private confirmedAt: Instant | undefined;
  private readonly startedAt: Instant;
  private minoritySince: Instant | undefined;
  private liveHostsIncreasedAt: Instant | undefined;
  private liveHostCount = 0;

  constructor(
    private readonly context: EntryHostContext,
    private readonly routes: () => RouteTable | undefined,
    /** Called when this host gains or loses a claim. */
    private readonly onChange: () => void,
  ) {
    this.startedAt = context.clock.now();
    this.eraSince = this.startedAt;
  }

  start(): void {
    const {timers, signal} = this.context;
    timers.every(
      'claims/review',
      REVIEW_PERIOD_MS,
      () => {
        this.review();
      },
      {signal},
    );
  }

  /** Applies the latest view of the records in the store. */
  applyRecords(): void {
    const snapshot = this.context.views.get('records')?.snapshot;
    const items = snapshot?.items ?? [];
    this.applyEra(eraOf(snapshot?.revision ?? 0));
    this.claims.clear();
    this.hosts.clear();
    for (const item of items) {
      const record = decodeFleetRecord(item);
      if (record === undefined) {
        this.context.logger.warn('skipping malformed record', {
          name: item.name,
        });
      } else if (record.type === 'claim') {
        this.claims.set(record.server, {record, revision: item.revision});
      } else if (record.type === 'host') {
        this.hosts.set(record.host, item);
      }
    }
    for (const [server, claim] of this.ownWrites) {
      if (claim.revision > (snapshot?.revision ?? 0)) {
        this.claims.set(server, claim);
      } else {
        this.ownWrites.delete(server);
      }
    }
    this.updateHeld();
  }

  /**
   * Remembers the claims that this host held when the store was restored, as it
   * may have forgotten them. A host that can't have held them until then, as it
   * stood still, does not write them again.
   */
  private applyEra(era: number): void {
    if (era === this.era) {
      return;
    }
    const at = this.context.clock.now();
    const {confirmedAt} = this;
    const mayHold =
      confirmedAt !== undefined &&
      elapsedMs(confirmedAt, at) < CLAIM_VALIDITY_MS;
    this.heldBefore = new Map(mayHold ? this.held : []);
    this.era = era;
    this.eraSince = at;
    if (confirmedAt !== undefined) {
      const claims = this.heldBefore.size;
      this.context.logger.info('store restored', {era, claims});
    }
  }

  /** The host that issues orders to a server, if known. */
  holder(server: string): string | undefined {
    return this.claims.get(server)?.record.host;
  }

  /** Fence of this host's claim if the host may issue an order now. */
  fenceFor(server: string): number | undefined {
    const held = this.held.get(server);
    if (held === undefined) {
      return undefined;
    }
    const {views, clock, settings} = this.context;
    const at = clock.now();
    const conditions = {
      claimsAgeMs: views.ageMs('records', at),
      orderLeaseMs: settings.orderLeaseMs,
      at,
    };
    return mayIssueOrders(held, conditions) ? held.record.fence : undefined;
  }

  /** State of this host's claim on a server. */
  stateOf(server: string): ClaimState {
    if (!this.held.has(server)) {
      return 'none';
    }
    return this.fenceFor(server) === undefined ? 'waiting' : 'issuing';
  }

  /** Reviews all claims and writes the changes that are due. */
  review(): void {
    const {membership, servers, clock, views, settings} = this.context;
    const at = clock.now();
    const upMs = at.monotonicMs - this.startedAt.monotonicMs;
    const viewAgeMs = views.ageMs('records', at);
    this.confirmedAt = views.get('records')?.freshAt;
    // Also during discovery, so that a takeover continues after a restart.
    this.recordYields(at);
    if (upMs < DISCOVERY_PERIOD_MS || viewAgeMs > MAX_REVIEW_VIEW_AGE_MS) {
      return;
    }
    this.ensureHostRecord();
    this.removeUnreachableHosts(at);
    const live = membership.live();
    if (live.length > this.liveHostCount) {
      this.liveHostsIncreasedAt = at;
    }
    this.liveHostCount = live.length;
    if (!this.isMembershipStable(upMs, at)) {
      return;
    }
    const minority = live.length * 2 <= this.hosts.size;
    this.minoritySince = minority ? (this.minoritySince ?? at) : undefined;
    const engines = servers
      .all()
      .filter(
        ({entry}) =>
          !entry.leaving &&
          this.routes()?.service(entry.service)?.engine !== undefined,
      );
    const changes = reviewClaims({
      at,
      self: settings.host,
      live: live.map(({host, capacity}) => ({
        name: host,
        weight: rendezvousWeight(capacity),
      })),
      cutMs: (host, server) => membership.cutMs(host, server, at),
      servers: engines.map(({entry}) => entry.id),
      claims: this.claims,
      era: this.era,
      eraMs: elapsedMs(this.eraSince, at),
      heldBefore: new Map(
        [...this.heldBefore].map(([server, {record}]) => [server, record]),
      ),
      completedTakeovers: new Set(
        [...this.held]
          .filter(([, held]) =>
            isTakeoverComplete(held, settings.orderLeaseMs, at),
          )
          .map(([server]) => server),
      ),
      minorityMs:
        this.minoritySince === undefined
          ? 0
          : Math.max(1, at.monotonicMs - this.minoritySince.monotonicMs),
      unreachableMs: (host) =>
        Math.min(upMs, membership.unreachableMs(host, at)),
    });
    for (const change of changes) {
      void this.writeClaim(change);
    }
  }

  /** Hosts that lost a claim to this host and have not confirmed it yet. */
  awaitedHosts(): readonly string[] {
    return [
      ...new Set(
        [...this.held.values()].flatMap(({record, yieldConfirmedAt}) =>
          record.takenFrom === undefined ||
          record.takenFrom === UNKNOWN_HOLDER ||
          yieldConfirmedAt !== undefined
            ? []
            : [record.takenFrom],
        ),
      ),
    ];
  }

  /** Whether hosts that start together have had time to discover each other. */
  private isMembershipStable(upMs: number, at: Instant): boolean {
    return (
      upMs > MAX_STABILIZATION_MS ||
      this.liveHostsIncreasedAt === undefined ||
      elapsedMs(this.liveHostsIncreasedAt, at) > MEMBERSHIP_STABLE_MS
    );
  }

  /** Records which former holders know by now that they lost their claims. */
  private recordYields(at: Instant): void {
    const {membership} = this.context;
    for (const [server, held] of this.held) {
      const {takenFrom} = held.record;
      const revision = this.claims.get(server)?.revision;
      if (
        takenFrom !== undefined &&
        revision !== undefined &&
        held.yieldConfirmedAt === undefined &&
        membership.recordsRevisionOf(takenFrom) >= revision
      ) {
        this.held.set(server, {...held, yieldConfirmedAt: at});
      }
    }
  }

  private async writeClaim({
    record,
    expectedRevision,
  }: ClaimChange): Promise<void> {
    const written = await this.write(
      claimRecordName(record.server),
      record,
      expectedRevision,
    );
    if (written !== undefined) {
      const claim = {record, revision: written.revision};
      this.claims.set(record.server, claim);
      this.ownWrites.set(record.server, claim);
      this.context.logger.info('claim written', {
        server: record.server,
        fence: record.fence,
        takenFrom: record.takenFrom,
      });
      this.updateHeld();
    }
  }

  private ensureHostRecord(): void {
    const {settings} = this.context;
    const known = this.hosts.get(settings.host);
    const record: HostRecord = {
      type: 'host',
      host: settings.host,
      zone: settings.zone,
      peerAddress: settings.peerAddress,
      callerAddress: settings.callerAddress,
    };
    if (
      known === undefined ||
      JSON.stringify(known.value) !== JSON.stringify(record)
    ) {
      const name = hostRecordName(settings.host);
      void this.write(name, record, known?.revision);
    }
  }

  /**
   * Removes the records of hosts that have been unreachable for long. Only the
   * live host whose name sorts first does so.
   */
  private removeUnreachableHosts(at: Instant): void {
    const {membership, settings, platform, logger} = this.context;
    const upMs = at.monotonicMs - this.startedAt.monotonicMs;
    const names = membership.live().map(({host}) => host);
    if (
      upMs < HOST_RECORD_RETENTION_MS ||
      [...names].sort()[0] !== settings.host
    ) {
      return;
    }
    for (const [host, {name, revision}] of this.hosts) {
      if (
        host !== settings.host &&
        membership.unreachableMs(host, at) > HOST_RECORD_RETENTION_MS &&
        !this.pendingWrites.has(name)
      ) {
        logger.info('removing record of unreachable host', {peer: host});
        this.pendingWrites.add(name);
        void platform.store.remove(name, revision).then((result) => {
          this.pendingWrites.delete(name);
          if (result.isErr()) {
            logger.warn('failed to remove host record', {
              peer: host,
              failure: result.error.failure,
            });
          } else {
            this.hosts.delete(host);
            membership.remove(host);
          }
        });
      }
    }
  }

  private async write(
    name: string,
    record: FleetRecord,
    expectedRevision: number | undefined,
  ): Promise<StoredItem | undefined> {
    const {platform, logger, metrics} = this.context;
    if (this.pendingWrites.has(name)) {
      return undefined;
    }
    this.pendingWrites.add(name);
    const result = await platform.store.write(name, record, expectedRevision);
    this.pendingWrites.delete(name);
    const operation = expectedRevision === undefined ? 'create' : 'replace';
    if (result.isErr()) {
      // The next review decides again from the state of the store at that time.
      const {failure, message: detail} = result.error;
      metrics.storeCalls.inc({operation, end: failure});
      logger.warn('failed to write record', {name, failure, detail});
      return undefined;
    }
    metrics.storeCalls.inc({operation, end: result.value.type});
    const {item, type} = result.value;
    if (type === 'conflict') {
      return item !== undefined &&
        JSON.stringify(item.value) === JSON.stringify(record)
        ? item
        : undefined;
    }
    return item;
  }

  private updateHeld(): void {
    const {settings, clock} = this.context;
    const ownRecords = new Map<string, ClaimRecord>(
      [...this.claims].flatMap(([server, {record}]) =>
        record.host === settings.host && isOfEra(record, this.era)
          ? [[server, record]]
          : [],
      ),
    );
    for (const server of this.heldBefore.keys()) {
      const written = this.claims.get(server)?.record;
      if (isOfEra(written, this.era) && written?.host !== settings.host) {
        this.heldBefore.delete(server);
      }
    }
    let changed = false;
    for (const server of [...this.held.keys()]) {
      if (!ownRecords.has(server)) {
        this.held.delete(server);
        changed = true;
      }
    }
    for (const [server, record] of ownRecords) {
      const held = this.held.get(server);
      if (held?.record.fence !== record.fence) {
        const before = this.heldBefore.get(server);
        this.heldBefore.delete(server);
        this.held.set(server, {
          record,
          heldSince: before?.heldSince ?? clock.now(),
          yieldConfirmedAt: before?.yieldConfirmedAt,
        });
        changed = true;
      } else {
        this.held.set(server, {...held, record});
      }
    }
    if (changed) {
      this.onChange();
    }
  }
}
