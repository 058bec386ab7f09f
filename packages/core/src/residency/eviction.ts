import type {CoreState} from '../state.js';
import {demandOf} from './demand.js';
import type {OwnedServer, Slot} from './state.js';

/** Time for which an offer is not worked out again. */
const OFFER_VALIDITY_MS = 100;

/** What a load on a server would take away. */
export interface EvictionOffer {
  /** Monotonic time at which it was worked out. */
  readonly atMs: number;
  /** Slots that are free or can be made free. */
  readonly usableSlots: number;
  /** Expected cost per second of the cheapest eviction; 0 for a free slot. */
  readonly costRate: number;
}

/** Returns what a load on a server would cost its other adapters. */
export const offerEviction = (
  state: CoreState,
  owned: OwnedServer,
  totalSlots: number,
  nowMs: number,
): EvictionOffer => {
  if (nowMs >= owned.offer.atMs + OFFER_VALIDITY_MS) {
    owned.offer = workOutOffer(state, owned, totalSlots, nowMs);
  }
  return owned.offer;
};

const workOutOffer = (
  state: CoreState,
  owned: OwnedServer,
  totalSlots: number,
  nowMs: number,
): EvictionOffer => {
  const free = totalSlots - owned.slots.size;
  let usable = free;
  let least = Infinity;
  for (const slot of owned.slots.values()) {
    if (isEvictable(owned, slot)) {
      usable += 1;
      if (free <= 0) {
        least = Math.min(least, stallCost(state, slot, nowMs));
      }
    }
  }
  return {
    atMs: nowMs,
    usableSlots: usable,
    costRate: free > 0 || least === Infinity ? 0 : least,
  };
};

/**
 * Returns the slot whose eviction costs least, or undefined when all are in
 * use. A slot that serves a request, or may serve one of a previous owner, or
 * has requests waiting for it, is never returned.
 */
export const chooseVictim = (
  state: CoreState,
  owned: OwnedServer,
  nowMs: number,
): Slot | undefined => {
  let victim: Slot | undefined;
  let least = Infinity;
  for (const slot of owned.slots.values()) {
    if (isEvictable(owned, slot)) {
      const cost = stallCost(state, slot, nowMs);
      if (cost < least) {
        victim = slot;
        least = cost;
      }
    }
  }
  return victim;
};

/** Whether a slot may be given to another adapter version now. */
export const isEvictable = (owned: OwnedServer, slot: Slot): boolean =>
  (slot.state === 'ready' || slot.state === 'unconfirmed') &&
  slot.running === 0 &&
  !slot.inherited &&
  slot.queued === 0 &&
  !owned.waiting.has(slot.key);

/** Slots of a server that are free or can be made free. */
export const usableSlots = (owned: OwnedServer, totalSlots: number): number => {
  let usable = totalSlots - owned.slots.size;
  for (const slot of owned.slots.values()) {
    if (isEvictable(owned, slot)) {
      usable += 1;
    }
  }
  return usable;
};

/**
 * Expected cost of the stall that an eviction causes: the weighted rate of
 * requests that will miss the adapter. The reload wait is the same for all
 * slots of a server, so it does not change the order.
 */
const stallCost = (state: CoreState, slot: Slot, nowMs: number): number =>
  state.settings.mechanisms.evictionCost
    ? demandOf(state.residency.demand, slot.key, nowMs)
    : 1 / (1 + nowMs - slot.lastUsedMs);
