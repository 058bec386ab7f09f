import {
  expectedLoadWaitMs,
  loadBudgetHolder,
} from '../load-budget/selectors.js';
import {ownerOf} from '../ownership/selectors.js';
import {offerEviction} from '../residency/eviction.js';
import {ownedServer} from '../residency/selectors.js';
import {
  initialServiceTimes,
  type ServiceTimes,
} from '../residency/service-time.js';
import type {OwnedServer} from '../residency/state.js';
import type {ServerDescription} from '../server.js';
import type {CoreState} from '../state.js';
import type {KnownServer} from './state.js';

const ASSUMED_SERVICE_TIMES = initialServiceTimes();

/** A server as a home sees it: exact when it is its own, else as told. */
export interface ServerView {
  readonly description: ServerDescription;
  readonly owner: string;
  /** Requests that run or wait, with the home's own grants counted. */
  readonly busy: number;
  /** Requests that wait, by class, urgent first. */
  readonly waiting: readonly number[];
  readonly serviceMs: number;
  readonly serviceTimes: Readonly<ServiceTimes>;
  readonly usableSlots: number;
  /** Expected cost per second of the eviction that a load needs. */
  readonly evictionRate: number;
  readonly slot: 'ready' | 'loading' | 'absent';
  /** Expected time of a load on this server, wish to end. */
  readonly loadWaitMs: number;
}

/** What a view depends on besides the server and the adapter. */
export interface ViewContext {
  readonly nowMs: number;
  /** Weight that a load for the request would have in the load budget. */
  readonly loadWeight: number;
}

/** Returns what is known of a server for an adapter version. */
export const viewServer = (
  state: CoreState,
  description: ServerDescription,
  key: string,
  context: ViewContext,
): ServerView | undefined => {
  const owner = ownerOf(state, description.server);
  if (owner === undefined) {
    return undefined;
  }
  const owned = ownedServer(state, description.server);
  return owned && owner === state.settings.host
    ? viewOwned(state, description, owned, key, context)
    : viewKnown(state, description, owner, key);
};

const viewOwned = (
  state: CoreState,
  description: ServerDescription,
  owned: OwnedServer,
  key: string,
  {nowMs, loadWeight}: ViewContext,
): ServerView => {
  const offer = offerEviction(state, owned, description.slots, nowMs);
  const {urgent, standard, deferrable} = owned.waitingByClass;
  return {
    description,
    owner: state.settings.host,
    busy: owned.running + urgent + standard + deferrable,
    waiting: [urgent, standard, deferrable],
    serviceMs: owned.serviceMs,
    serviceTimes: owned.serviceTimes,
    usableSlots: offer.usableSlots,
    evictionRate: offer.costRate,
    slot: ownedSlot(owned, key),
    loadWaitMs: loadWaitOf(state, loadWeight),
  };
};

const ownedSlot = (owned: OwnedServer, key: string): ServerView['slot'] => {
  const slot = owned.slots.get(key);
  if (slot?.state === 'ready') {
    return 'ready';
  }
  const isComing = slot && slot.state !== 'unloading';
  return isComing || owned.wants.has(key) ? 'loading' : 'absent';
};

const loadWaitOf = (state: CoreState, loadWeight: number): number =>
  loadBudgetHolder(state) === state.settings.host
    ? expectedLoadWaitMs(state, loadWeight)
    : state.residency.loadWaitMs;

const viewKnown = (
  state: CoreState,
  description: ServerDescription,
  owner: string,
  key: string,
): ServerView => {
  const known = state.routing.knownServers.get(description.server);
  const granted = state.routing.inFlight.get(description.server) ?? 0;
  const isCurrent = known?.owner === owner;
  const summary = isCurrent ? known.summary : undefined;
  const waiting = summary?.waiting ?? [0, 0, 0];
  const told = waiting.reduce((sum, count) => sum + count, 0);
  return {
    description,
    owner,
    busy: Math.max(granted, (summary?.running ?? 0) + told),
    waiting,
    serviceMs: summary?.serviceMs ?? 0,
    serviceTimes: summary?.serviceTimes ?? ASSUMED_SERVICE_TIMES,
    usableSlots: summary?.usableSlots ?? description.slots,
    evictionRate: summary?.evictionRate ?? 0,
    slot: isCurrent ? knownSlot(known, key) : 'absent',
    loadWaitMs: summary?.loadWaitMs ?? state.settings.weightStore.loadMs,
  };
};

const knownSlot = (known: KnownServer, key: string): ServerView['slot'] =>
  known.slots.get(key) ?? 'absent';
