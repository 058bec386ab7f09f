import {elapsedMs, type Instant} from '@basilworks/core';

import {adapterKey, type AdapterName} from './adapter-key.js';
import type {LoadSource, LoadTimes} from './load-times.js';
import type {ResidencyReport, PrepareAnswer} from './adapter-slots-events.js';

/** Adapters that may be on their way to one server at a time. */
export const MAXIMUM_IN_TRANSIT = 4;

/** Share of the expected load time after which a load is asked about. */
const FIRST_CHECK_SHARE = 0.95;

/** Between two questions about a load or unload, milliseconds: a few trips. */
const CHECK_PERIOD_MS = 12;

/** Half-life of the rate at which an adapter is used, milliseconds. */
const RATE_HALF_LIFE_MS = 6_000;

/**
 * Bounds of a promise, milliseconds: one request's way to the server, as places
 * are scarce, up to a second and more for an adapter in steady use.
 */
const SHORTEST_PROMISE_MS = 30;
const LONGEST_PROMISE_MS = 1_500;

/** Uses a second from which an adapter gets the longest promise. */
const STEADY_USES_PER_S = 4;

/** A host that has not released an adapter for this long is gone, ms. */
const LONGEST_HOLD_MS = 12_000;

/** Copies of adapters that a server keeps at hand, until that is known. */
const COPIES_AT_HAND = 100;

/** An adapter at a version. */
export type AdapterAt = AdapterName & {readonly version: number};

/** What the server is doing with an adapter. */
export type SlotState = 'resident' | 'loading' | 'unloading';

/** A place on the server that is taken, or may be. */
export interface AdapterSlot extends AdapterName {
  state: SlotState;
  version: number;
  /** An order for it got no answer and may still be carried out. */
  unsettled: boolean;
  /** Count of accepted orders at which the order for it is carried out. */
  expectedOrders: number;
  orderedAt: Instant;
  checkAfterMs: number;
  source: LoadSource;
  /** Decayed count of uses. */
  rate: number;
  usedAt: Instant;
  /** Hosts that may have requests on it, and since when. */
  readonly holders: Map<string, Instant>;
}

/** The places of one server, and which adapters it has copies of. */
export class SlotTable {
  /** Adapters that fit. */
  capacity = 0;
  private readonly places = new Map<string, AdapterSlot>();
  private readonly copies = new Set<string>();

  constructor(private readonly loadTimes: LoadTimes) {}

  get size(): number {
    return this.places.size;
  }

  all(): readonly AdapterSlot[] {
    return [...this.places.values()];
  }

  get(name: AdapterName): AdapterSlot | undefined {
    return this.places.get(adapterKey(name));
  }

  remove(name: AdapterName): void {
    this.places.delete(adapterKey(name));
  }

  inTransit(): number {
    return this.all().filter(({state}) => state === 'loading').length;
  }

  /** Resident adapters that hosts have not released. */
  held(at: Instant): number {
    return this.all().filter(
      (place) => place.state === 'resident' && isHeld(place, at),
    ).length;
  }

  /** Whether an adapter can be loaded now, if need be after an unload. */
  hasRoom(at: Instant): boolean {
    return this.size < this.capacity || this.victim(at) !== undefined;
  }

  /** The resident adapter that will be missed least, if one may go. */
  victim(at: Instant): AdapterSlot | undefined {
    return this.all()
      .filter((place) => place.state === 'resident' && !isHeld(place, at))
      .reduce<AdapterSlot | undefined>(
        (least, place) =>
          least === undefined || rateAt(place, at) < rateAt(least, at)
            ? place
            : least,
        undefined,
      );
  }

  /** Records that the server carries out, or may carry out, an order. */
  begin(
    order: AdapterName & {
      readonly operation: 'load' | 'unload';
      readonly version: number | undefined;
      readonly expectedOrders: number;
    },
    unsettled: boolean,
    at: Instant,
  ): void {
    const {model, adapter, operation, version, expectedOrders} = order;
    const known = this.get(order);
    const source = this.sourceOf(order);
    const loading = operation === 'load';
    this.places.set(adapterKey(order), {
      model,
      adapter,
      state: loading ? 'loading' : 'unloading',
      version: version ?? known?.version ?? 1,
      unsettled,
      expectedOrders,
      orderedAt: at,
      checkAfterMs: loading
        ? this.loadTimes.expectedMs(source) * FIRST_CHECK_SHARE
        : CHECK_PERIOD_MS,
      source,
      rate: known?.rate ?? 0,
      usedAt: known?.usedAt ?? at,
      holders: new Map(),
    });
  }

  /** A load is done, or had been before. */
  arrived(place: AdapterSlot, version: number | undefined, at: Instant): void {
    if (place.state === 'loading') {
      if (!place.unsettled) {
        const tookMs = elapsedMs(place.orderedAt, at);
        this.loadTimes.observe(place.source, tookMs);
      }
      this.remember(place);
    }
    place.state = 'resident';
    place.unsettled = false;
    place.version = Math.max(place.version, version ?? 0);
  }

  /**
   * Takes over what the server reports; uses and holds are kept. An order
   * without an answer that the report does not count yet may still be carried
   * out, so that its place stays taken.
   */
  replace(
    {ordersAccepted, resident, loading}: ResidencyReport,
    at: Instant,
  ): void {
    const before = new Map(this.places);
    this.places.clear();
    const take = (held: AdapterAt, state: SlotState) => {
      const key = adapterKey(held);
      const known = before.get(key);
      this.remember(held);
      this.places.set(key, {
        model: held.model,
        adapter: held.adapter,
        state,
        version: held.version,
        unsettled: false,
        expectedOrders: ordersAccepted,
        orderedAt: at,
        checkAfterMs: CHECK_PERIOD_MS,
        source: 'store',
        rate: known?.rate ?? 0,
        usedAt: known?.usedAt ?? at,
        holders: known?.holders ?? new Map<string, Instant>(),
      });
    };
    for (const held of resident) {
      take(held, 'resident');
    }
    for (const held of loading) {
      take(held, 'loading');
    }
    for (const [key, known] of before) {
      if (known.unsettled && known.expectedOrders >= ordersAccepted) {
        this.places.set(key, known);
      }
    }
  }

  /** Counts uses of an adapter. */
  count(place: AdapterSlot, uses: number, at: Instant): void {
    place.rate = rateAt(place, at) + uses;
    place.usedAt = at;
  }

  /**
   * Promises a host that the adapter stays for its next requests; for one only
   * where that is not `firm`, as another host might still unload it.
   */
  promise(
    place: AdapterSlot,
    host: string,
    firm: boolean,
    at: Instant,
  ): PrepareAnswer {
    const perSecond =
      (rateAt(place, at) * Math.LN2 * 1_000) / RATE_HALF_LIFE_MS;
    const steadiness = perSecond / STEADY_USES_PER_S;
    const validMs = Math.min(
      LONGEST_PROMISE_MS,
      Math.max(SHORTEST_PROMISE_MS, firm ? steadiness * LONGEST_PROMISE_MS : 0),
    );
    place.holders.set(host, at);
    return {outcome: 'resident', version: place.version, validMs};
  }

  /** Expected time of a load, milliseconds. */
  loadMs(name: AdapterName): number {
    return this.loadTimes.expectedMs(this.sourceOf(name));
  }

  private sourceOf(name: AdapterName): LoadSource {
    return this.copies.has(adapterKey(name)) ? 'copy' : 'store';
  }

  /** Notes that the server has a copy at hand. */
  private remember(name: AdapterName): void {
    const key = adapterKey(name);
    this.copies.delete(key);
    this.copies.add(key);
    if (this.copies.size > COPIES_AT_HAND) {
      const [oldest] = this.copies;
      this.copies.delete(oldest ?? key);
    }
  }
}

/** Whether requests may be sent to the adapter. */
export const isUsable = (place: AdapterSlot, version: number): boolean =>
  place.state === 'resident' && place.version >= version;

/** Whether some host has not released the adapter. */
export const isHeld = ({holders}: AdapterSlot, at: Instant): boolean =>
  [...holders.values()].some((since) => elapsedMs(since, at) < LONGEST_HOLD_MS);

/** Milliseconds until an order under way should be asked about. */
export const checkDueMs = (place: AdapterSlot, at: Instant): number =>
  place.state === 'resident'
    ? Infinity
    : place.checkAfterMs - elapsedMs(place.orderedAt, at);

/** Puts the next question about an order under way off. */
export const checkLater = (
  place: AdapterSlot,
  at: Instant,
  delayMs = CHECK_PERIOD_MS,
): void => {
  place.checkAfterMs = elapsedMs(place.orderedAt, at) + delayMs;
};

const rateAt = (place: AdapterSlot, at: Instant): number =>
  place.rate *
  0.5 ** (Math.max(0, elapsedMs(place.usedAt, at)) / RATE_HALF_LIFE_MS);
