import {elapsedMs, type Instant} from '@basilworks/core';

import {adapterKey, type AdapterName} from './adapter-key.js';
import type {PrepareAnswer, ResidencyReport} from './adapter-slots-events.js';
import type {LoadSource, LoadTimes} from './load-times.js';

/** Maximum number of concurrent adapter loads per server. */
export const MAXIMUM_IN_TRANSIT = 4;

/** Fraction of the expected load time after which a load is first queried. */
const FIRST_CHECK_FRACTION = 0.95;

/** Interval between queries of a load or unload, ms: a few round trips. */
const CHECK_PERIOD_MS = 12;

/**
 * Share of the time that an order has taken after which it is queried again: a
 * replacement waits for the requests that run on the version before.
 */
const CHECK_PERIOD_SHARE = 1 / 16;

/** Half-life of the use count of an adapter, ms. */
const USE_HALF_LIFE_MS = 6_000;

/**
 * Bounds of a lease, ms. As slots are scarce, the shortest covers only the trip
 * of one request to the server; the longest is for adapters in steady use.
 */
const SHORTEST_LEASE_MS = 30;
const LONGEST_LEASE_MS = 1_500;

/** Uses per second from which an adapter gets the longest lease. */
const STEADY_USES_PER_S = 4;

/** Age at which a reference expires, as its host must have failed, ms. */
const REFERENCE_TIMEOUT_MS = 12_000;

/** Assumed number of local adapter copies that a server keeps. */
const MAXIMUM_COPIES = 100;

/** An adapter at a version. */
export type AdapterAt = AdapterName & {readonly version: number};

/** State of an adapter on a server. */
export type SlotState = 'resident' | 'loading' | 'unloading';

/** A slot on the server that is, or may be, taken. */
export interface AdapterSlot extends AdapterName {
  state: SlotState;
  version: number;
  /** An order for it was not answered and may still be executed. */
  unconfirmed: boolean;
  /** The order is executed only if this many orders were accepted before. */
  expectedOrders: number;
  orderedAt: Instant;
  checkAfterMs: number;
  source: LoadSource;
  /** Decayed use count, as of `lastUsedAt`. */
  decayedUses: number;
  lastUsedAt: Instant;
  /** Hosts with a reference, and when it was last renewed. */
  readonly holders: Map<string, Instant>;
}

/** The adapter slots of one server, and the adapters it has copies of. */
export class SlotTable {
  /** Number of adapter slots. */
  capacity = 0;
  private readonly slots = new Map<string, AdapterSlot>();
  private readonly copies = new Set<string>();

  constructor(private readonly loadTimes: LoadTimes) {}

  get size(): number {
    return this.slots.size;
  }

  all(): readonly AdapterSlot[] {
    return [...this.slots.values()];
  }

  get(name: AdapterName): AdapterSlot | undefined {
    return this.slots.get(adapterKey(name));
  }

  remove(name: AdapterName): void {
    this.slots.delete(adapterKey(name));
  }

  inTransit(): number {
    return this.all().filter(({state}) => state === 'loading').length;
  }

  /** Number of resident adapters that are referenced by a host. */
  referenced(at: Instant): number {
    return this.all().filter(
      (slot) => slot.state === 'resident' && isReferenced(slot, at),
    ).length;
  }

  /** Whether an adapter can be loaded now, possibly after an eviction. */
  hasRoom(at: Instant): boolean {
    return (
      this.size < this.capacity || this.evictionCandidate(at) !== undefined
    );
  }

  /** The least used resident adapter without references, if any. */
  evictionCandidate(at: Instant): AdapterSlot | undefined {
    return this.all()
      .filter((slot) => slot.state === 'resident' && !isReferenced(slot, at))
      .reduce<AdapterSlot | undefined>(
        (leastUsed, slot) =>
          leastUsed === undefined ||
          decayedUsesAt(slot, at) < decayedUsesAt(leastUsed, at)
            ? slot
            : leastUsed,
        undefined,
      );
  }

  /** Records an order that the server executes, or may execute. */
  beginOrder(
    order: AdapterName & {
      readonly operation: 'load' | 'unload';
      readonly version: number | undefined;
      readonly expectedOrders: number;
    },
    unconfirmed: boolean,
    at: Instant,
  ): void {
    const {model, adapter, operation, version, expectedOrders} = order;
    const previous = this.get(order);
    const source = this.sourceOf(order);
    const loading = operation === 'load';
    this.slots.set(adapterKey(order), {
      model,
      adapter,
      state: loading ? 'loading' : 'unloading',
      version: version ?? previous?.version ?? 1,
      unconfirmed,
      expectedOrders,
      orderedAt: at,
      checkAfterMs: loading
        ? this.loadTimes.expectedMs(source) * FIRST_CHECK_FRACTION
        : CHECK_PERIOD_MS,
      source,
      decayedUses: previous?.decayedUses ?? 0,
      lastUsedAt: previous?.lastUsedAt ?? at,
      holders: new Map(),
    });
  }

  /** Records that a load is complete, now or some time before. */
  completeLoad(
    slot: AdapterSlot,
    version: number | undefined,
    at: Instant,
  ): void {
    if (slot.state === 'loading') {
      if (!slot.unconfirmed) {
        const tookMs = elapsedMs(slot.orderedAt, at);
        this.loadTimes.observe(slot.source, tookMs);
      }
      this.recordCopy(slot);
    }
    slot.state = 'resident';
    slot.unconfirmed = false;
    slot.version = Math.max(slot.version, version ?? 0);
  }

  /**
   * Applies the server's report; use counts and references are kept. An
   * unanswered order that is not in the report's count may still be executed,
   * so its slot stays taken.
   */
  applyReport(
    {ordersAccepted, resident, loading}: ResidencyReport,
    at: Instant,
  ): void {
    const before = new Map(this.slots);
    this.slots.clear();
    const occupy = (adapterAt: AdapterAt, state: SlotState) => {
      const key = adapterKey(adapterAt);
      const previous = before.get(key);
      this.recordCopy(adapterAt);
      this.slots.set(key, {
        model: adapterAt.model,
        adapter: adapterAt.adapter,
        state,
        version: adapterAt.version,
        unconfirmed: false,
        expectedOrders: ordersAccepted,
        orderedAt: at,
        checkAfterMs: CHECK_PERIOD_MS,
        source: 'store',
        decayedUses: previous?.decayedUses ?? 0,
        lastUsedAt: previous?.lastUsedAt ?? at,
        holders: previous?.holders ?? new Map<string, Instant>(),
      });
    };
    for (const adapterAt of resident) {
      occupy(adapterAt, 'resident');
    }
    for (const adapterAt of loading) {
      occupy(adapterAt, 'loading');
    }
    for (const [key, previous] of before) {
      if (previous.unconfirmed && previous.expectedOrders >= ordersAccepted) {
        this.slots.set(key, previous);
      }
    }
  }

  /** Adds to the use count of an adapter. */
  recordUses(slot: AdapterSlot, uses: number, at: Instant): void {
    slot.decayedUses = decayedUsesAt(slot, at) + uses;
    slot.lastUsedAt = at;
  }

  /**
   * Grants a host a lease on a resident adapter. Unless `firm`, it is the
   * shortest lease, as another host might still unload the adapter.
   */
  grantLease(
    slot: AdapterSlot,
    host: string,
    firm: boolean,
    at: Instant,
  ): PrepareAnswer {
    const perSecond =
      (decayedUsesAt(slot, at) * Math.LN2 * 1_000) / USE_HALF_LIFE_MS;
    const steadiness = perSecond / STEADY_USES_PER_S;
    const validMs = Math.min(
      LONGEST_LEASE_MS,
      Math.max(SHORTEST_LEASE_MS, firm ? steadiness * LONGEST_LEASE_MS : 0),
    );
    slot.holders.set(host, at);
    return {outcome: 'resident', version: slot.version, validMs};
  }

  /** Expected time of a load, milliseconds. */
  loadMs(name: AdapterName): number {
    return this.loadTimes.expectedMs(this.sourceOf(name));
  }

  private sourceOf(name: AdapterName): LoadSource {
    return this.copies.has(adapterKey(name)) ? 'copy' : 'store';
  }

  /** Records that the server has a local copy of the adapter. */
  private recordCopy(name: AdapterName): void {
    const key = adapterKey(name);
    this.copies.delete(key);
    this.copies.add(key);
    if (this.copies.size > MAXIMUM_COPIES) {
      const [oldest] = this.copies;
      this.copies.delete(oldest ?? key);
    }
  }
}

/** Whether requests may be sent to the adapter. */
export const isUsable = (slot: AdapterSlot, version: number): boolean =>
  slot.state === 'resident' && slot.version >= version;

/** Whether any host has an unexpired reference on the adapter. */
export const isReferenced = ({holders}: AdapterSlot, at: Instant): boolean =>
  [...holders.values()].some(
    (since) => elapsedMs(since, at) < REFERENCE_TIMEOUT_MS,
  );

/** Milliseconds until the order in progress should be queried. */
export const checkDueMs = (slot: AdapterSlot, at: Instant): number =>
  slot.state === 'resident'
    ? Infinity
    : slot.checkAfterMs - elapsedMs(slot.orderedAt, at);

/** Postpones the next query of the order in progress. */
export const postponeCheck = (slot: AdapterSlot, at: Instant): void => {
  const tookMs = elapsedMs(slot.orderedAt, at);
  const delayMs = Math.max(CHECK_PERIOD_MS, tookMs * CHECK_PERIOD_SHARE);
  slot.checkAfterMs = tookMs + delayMs;
};

const decayedUsesAt = (slot: AdapterSlot, at: Instant): number =>
  slot.decayedUses *
  0.5 ** (Math.max(0, elapsedMs(slot.lastUsedAt, at)) / USE_HALF_LIFE_MS);
