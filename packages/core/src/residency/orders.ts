import type {CoreState} from '../state.js';
import type {Turn} from '../turn.js';
import {confirmSlot, refuseStalled} from './dispatch.js';
import type {AdapterOrderFinishedEvent} from './events.js';
import {
  findWant,
  orderLoad,
  pursueLoads,
  readReport,
  releaseGrant,
} from './loads.js';
import type {AdapterOrder, OwnedServer, Slot, Want} from './state.js';
import {announceSlot} from './summaries.js';

/** First delay before a failed load is tried again; doubles each time. */
const LOAD_BACKOFF_MS = 500;

/** Longest delay before a failed load is tried again. */
const MAXIMUM_LOAD_BACKOFF_MS = 30_000;

/** Failed loads after which waiting requests are sent elsewhere. */
const LOAD_ATTEMPTS = 2;

type Outcome = AdapterOrderFinishedEvent['outcome'];

interface FinishedOrder {
  readonly owned: OwnedServer;
  readonly order: AdapterOrder;
  readonly slot: Slot;
  /** The load that the order served, unless it was dropped. */
  readonly want: Want | undefined;
}

type OutcomeHandler = (
  state: CoreState,
  finished: FinishedOrder,
  turn: Turn,
) => void;

/** Books how a load or an unload ended. */
export const finishOrder = (
  state: CoreState,
  {orderId, outcome}: AdapterOrderFinishedEvent,
  turn: Turn,
): void => {
  const {residency} = state;
  const order = residency.orders.get(orderId);
  residency.orders.delete(orderId);
  const owned = order && residency.servers.get(order.server);
  const slot = order && owned?.slots.get(order.key);
  if (!order || !owned || slot?.orderId !== orderId) {
    if (order) {
      releaseGrant(state, order.loadId, order.order === 'load', turn);
    }
    return;
  }
  const want = findWant(owned, order.loadId);
  const handlers = order.order === 'load' ? loadHandlers : unloadHandlers;
  handlers[outcome](state, {owned, order, slot, want}, turn);
  announceSlot(state, owned, slot, turn);
  pursueLoads(state, owned, turn);
};

const loadDone: OutcomeHandler = (state, {owned, order, slot, want}, turn) => {
  releaseGrant(state, order.loadId, true, turn);
  if (want) {
    owned.wants.delete(want.key);
  }
  owned.failures.delete(slot.key);
  countLoad('done', turn);
  confirmSlot(state, owned, slot, turn);
};

/** The engine says that the adapter is not there: back off and try again. */
const loadFailed: OutcomeHandler = (state, finished, turn) => {
  const {owned, order, slot, want} = finished;
  releaseGrant(state, order.loadId, true, turn);
  owned.slots.delete(slot.key);
  const failures = (owned.failures.get(slot.key) ?? 0) + 1;
  owned.failures.set(slot.key, failures);
  countLoad('failed', turn);
  if (failures >= LOAD_ATTEMPTS) {
    refuseStalled(state, owned, slot.key, 'load-failed', turn);
  }
  if (want) {
    retryLater(want, backoffMs(failures), turn);
  }
};

/** Nothing was loaded for a reason that is not the adapter's. */
const loadNotStarted: OutcomeHandler = (state, finished, turn) => {
  const {owned, order, slot, want} = finished;
  releaseGrant(state, order.loadId, false, turn);
  owned.slots.delete(slot.key);
  if (want) {
    retryLater(want, LOAD_BACKOFF_MS, turn);
  }
  readReport(owned.server, turn);
};

/** The slot may or may not hold the adapter, until a report tells. */
const orderUnknown: OutcomeHandler = (state, finished, turn) => {
  const {owned, order, slot, want} = finished;
  releaseGrant(state, order.loadId, order.order === 'load', turn);
  slot.state = 'unknown';
  slot.changedMs = turn.at.monotonicMs;
  if (want) {
    retryLater(want, LOAD_BACKOFF_MS, turn);
  }
  readReport(owned.server, turn);
};

const unloadDone: OutcomeHandler = (state, finished, turn) => {
  const {owned, order, slot, want} = finished;
  owned.slots.delete(slot.key);
  owned.evictedMs.set(slot.key, turn.at.monotonicMs);
  turn.perform({
    type: 'observe-metric',
    metric: 'adapter_evictions_total',
    value: 1,
    labels: {},
  });
  if (want?.state === 'evicting') {
    orderLoad(state, owned, want, turn);
  } else {
    releaseGrant(state, order.loadId, false, turn);
  }
};

/** The slot still holds its adapter. */
const unloadRefused: OutcomeHandler = (state, finished, turn) => {
  const {owned, order, slot, want} = finished;
  releaseGrant(state, order.loadId, false, turn);
  if (want) {
    retryLater(want, LOAD_BACKOFF_MS, turn);
  }
  confirmSlot(state, owned, slot, turn);
};

const loadHandlers: Readonly<Record<Outcome, OutcomeHandler>> = {
  done: loadDone,
  failed: loadFailed,
  'no-free-slot': loadNotStarted,
  'in-use': loadNotStarted,
  'stale-fencing': loadNotStarted,
  'not-sent': loadNotStarted,
  unknown: orderUnknown,
};

const unloadHandlers: Readonly<Record<Outcome, OutcomeHandler>> = {
  done: unloadDone,
  failed: orderUnknown,
  'no-free-slot': orderUnknown,
  'in-use': orderUnknown,
  'stale-fencing': orderUnknown,
  'not-sent': unloadRefused,
  unknown: orderUnknown,
};

const backoffMs = (failures: number): number =>
  Math.min(MAXIMUM_LOAD_BACKOFF_MS, LOAD_BACKOFF_MS * 2 ** (failures - 1));

const retryLater = (want: Want, delayMs: number, turn: Turn): void => {
  want.state = 'waiting';
  want.notBeforeMs = turn.at.monotonicMs + delayMs;
};

const countLoad = (result: string, turn: Turn): void => {
  turn.perform({
    type: 'observe-metric',
    metric: 'adapter_loads_total',
    value: 1,
    labels: {result},
  });
};
