import {elapsedMs, type Instant} from '@basilworks/core';
import {
  claimRecordName,
  rendezvousWeight,
  type ClaimChange,
  type ClaimRecord,
  type ClaimState,
  type FleetRecord,
  fleetRecordSchema,
  type HeldClaim,
  type HostRecord,
  hostRecordName,
  mayIssueOrders,
  reviewClaims,
  type RouteTable,
  type StoredClaim,
  type StoredItem,
  isTakeoverComplete,
} from '@basilworks/dispatch';

import type {EntryHostContext} from '../context.js';

/** Between two reviews of the claims, milliseconds. */
const REVIEW_PERIOD_MS = 500;

/** Oldest view of the records that a change may be based on, milliseconds. */
const REVIEW_VIEW_AGE_MS = 4_500;

/** Time after the start in which hosts find each other, milliseconds. */
const START_PAUSE_MS = 1_500;

/**
 * A starting host takes no claim while it hears of new hosts, milliseconds:
 * whoever knows few hosts takes itself for the one to hold most claims.
 */
const SETTLED_MS = 1_000;

/** Start after which claims are taken however many hosts come, ms. */
const LONGEST_SETTLING_MS = 6_000;

/** A host that was not heard for this long loses its record, milliseconds. */
const FORGET_HOST_MS = 60_000;

/** Keeps this host's record and its claims in the metadata store. */
export class ClaimManager {
  private readonly claims = new Map<string, StoredClaim>();
  private readonly hosts = new Map<string, StoredItem>();
  private readonly held = new Map<string, HeldClaim>();
  private readonly writing = new Set<string>();
  /** Claims written here that the view does not show yet. */
  private readonly ownWrites = new Map<string, StoredClaim>();
  private readonly startedAt: Instant;
  private minoritySince: Instant | undefined;
  private grewAt: Instant | undefined;
  private liveHosts = 0;

  constructor(
    private readonly context: EntryHostContext,
    private readonly routes: () => RouteTable | undefined,
    /** Called when a claim of this host came or went. */
    private readonly onChange: () => void,
  ) {
    this.startedAt = context.clock.now();
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

  /** Takes over what the store holds. */
  applyRecords(): void {
    const snapshot = this.context.views.get('records')?.snapshot;
    const items = snapshot?.items ?? [];
    this.claims.clear();
    this.hosts.clear();
    for (const item of items) {
      const record = fleetRecordSchema.safeParse(item.value).data;
      if (record === undefined) {
        this.context.logger.warn('a record is malformed', {name: item.name});
      } else if (record.type === 'claim') {
        this.claims.set(record.server, {record, revision: item.revision});
      } else {
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

  /** The host that issues orders to a server, as far as known. */
  holder(server: string): string | undefined {
    return this.claims.get(server)?.record.host;
  }

  /** Fence of this host's claim, if it may issue an order right now. */
  fenceFor(server: string): number | undefined {
    const held = this.held.get(server);
    if (held === undefined) {
      return undefined;
    }
    const {views, clock, settings} = this.context;
    const at = clock.now();
    const proof = {
      claimsAgeMs: views.ageMs('records', at),
      orderLeaseMs: settings.orderLeaseMs,
      at,
    };
    return mayIssueOrders(held, proof) ? held.record.fence : undefined;
  }

  /** What this host may do for a server by its claim. */
  stateOf(server: string): ClaimState {
    if (!this.held.has(server)) {
      return 'none';
    }
    return this.fenceFor(server) === undefined ? 'waiting' : 'issuing';
  }

  /** Reviews the claims once; called on a timer. */
  review(): void {
    const {membership, servers, clock, views, settings} = this.context;
    const at = clock.now();
    const upMs = at.monotonicMs - this.startedAt.monotonicMs;
    const viewAgeMs = views.ageMs('records', at);
    // Also right after a start: a taking goes on where it was.
    this.noteYields(at);
    if (upMs < START_PAUSE_MS || viewAgeMs > REVIEW_VIEW_AGE_MS) {
      return;
    }
    this.keepHostRecord();
    this.forgetHosts(at);
    const live = membership.live();
    if (live.length > this.liveHosts) {
      this.grewAt = at;
    }
    this.liveHosts = live.length;
    if (!this.isSettled(upMs, at)) {
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
      servers: engines.map(({entry}) => entry.id),
      claims: this.claims,
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

  /** Hosts whose own word is waited for: they may not know of a lost claim. */
  awaitedHosts(): readonly string[] {
    return [
      ...new Set(
        [...this.held.values()].flatMap(({record, yieldConfirmedAt}) =>
          record.takenFrom === undefined || yieldConfirmedAt !== undefined
            ? []
            : [record.takenFrom],
        ),
      ),
    ];
  }

  /** Whether the hosts that started with this one have found each other. */
  private isSettled(upMs: number, at: Instant): boolean {
    return (
      upMs > LONGEST_SETTLING_MS ||
      this.grewAt === undefined ||
      elapsedMs(this.grewAt, at) > SETTLED_MS
    );
  }

  /** Notes which hosts know by now that they lost their claims. */
  private noteYields(at: Instant): void {
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

  private keepHostRecord(): void {
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

  /** The first of the live hosts removes records of hosts that are gone. */
  private forgetHosts(at: Instant): void {
    const {membership, settings, platform, logger} = this.context;
    const upMs = at.monotonicMs - this.startedAt.monotonicMs;
    const names = membership.live().map(({host}) => host);
    if (upMs < FORGET_HOST_MS || [...names].sort()[0] !== settings.host) {
      return;
    }
    for (const [host, {name, revision}] of this.hosts) {
      if (
        host !== settings.host &&
        membership.unreachableMs(host, at) > FORGET_HOST_MS &&
        !this.writing.has(name)
      ) {
        logger.info('host forgotten', {peer: host});
        this.writing.add(name);
        void platform.store.remove(name, revision).then((result) => {
          this.writing.delete(name);
          if (result.isErr()) {
            logger.warn('a host record stays', {
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
    replaces: number | undefined,
  ): Promise<StoredItem | undefined> {
    const {platform, logger, metrics} = this.context;
    if (this.writing.has(name)) {
      return undefined;
    }
    this.writing.add(name);
    const result = await platform.store.write(name, record, replaces);
    this.writing.delete(name);
    const operation = replaces === undefined ? 'create' : 'replace';
    if (result.isErr()) {
      // The next review decides again, by what the store then shows.
      const {failure, message: detail} = result.error;
      metrics.storeCalls.inc({operation, end: failure});
      logger.warn('a record was not written', {name, failure, detail});
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
    const mine = new Map<string, ClaimRecord>(
      [...this.claims].flatMap(([server, {record}]) =>
        record.host === settings.host ? [[server, record]] : [],
      ),
    );
    let changed = false;
    for (const server of [...this.held.keys()]) {
      if (!mine.has(server)) {
        this.held.delete(server);
        changed = true;
      }
    }
    for (const [server, record] of mine) {
      const held = this.held.get(server);
      if (held?.record.fence !== record.fence) {
        const heldSince = clock.now();
        this.held.set(server, {record, heldSince, yieldConfirmedAt: undefined});
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
