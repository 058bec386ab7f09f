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
import type {RemoteServer} from './state.js';

const DEFAULT_SERVICE_TIMES = initialServiceTimes();

/**
 * A home's view of a server: exact for a server of this host, and based on the
 * owner's last summary for any other.
 */
export interface ServerView {
  readonly description: ServerDescription;
  readonly owner: string;
  /**
   * Requests that run or wait. For a remote server at least this home's own
   * grants, which the last summary may not include yet.
   */
  readonly busy: number;
  /** Waiting requests by priority class, urgent first. */
  readonly waiting: readonly number[];
  /** Mean time for which one request holds a batch position. */
  readonly serviceMs: number;
  readonly serviceTimes: Readonly<ServiceTimes>;
  /** Slots that are free or can be made free. */
  readonly usableSlots: number;
  /** Expected cost per second of the eviction that a load needs. */
  readonly evictionRate: number;
  readonly slotState: 'ready' | 'loading' | 'absent';
  /** Expected time from the request for a load to its completion. */
  readonly loadWaitMs: number;
}

/** Inputs of a view besides the server and the adapter version. */
export interface ViewContext {
  readonly nowMs: number;
  /** Weight that a load for the request would have in the load budget. */
  readonly loadWeight: number;
}

/**
 * Returns the view of a server for an adapter version, or undefined if the
 * server has no known owner.
 */
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
    ? viewOwnedServer(state, description, owned, key, context)
    : viewRemoteServer(state, description, owner, key);
};

const viewOwnedServer = (
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
    slotState: ownedSlotState(owned, key),
    loadWaitMs: getLoadWaitMs(state, loadWeight),
  };
};

const ownedSlotState = (
  owned: OwnedServer,
  key: string,
): ServerView['slotState'] => {
  const slot = owned.slots.get(key);
  if (slot?.state === 'ready') {
    return 'ready';
  }
  const isPending = slot && slot.state !== 'unloading';
  return isPending || owned.wants.has(key) ? 'loading' : 'absent';
};

const getLoadWaitMs = (state: CoreState, loadWeight: number): number =>
  loadBudgetHolder(state) === state.settings.host
    ? expectedLoadWaitMs(state, loadWeight)
    : state.residency.loadWaitMs;

const viewRemoteServer = (
  state: CoreState,
  description: ServerDescription,
  owner: string,
  key: string,
): ServerView => {
  const remote = state.routing.remoteServers.get(description.server);
  const granted = state.routing.inFlight.get(description.server) ?? 0;
  const isCurrent = remote?.owner === owner;
  const summary = isCurrent ? remote.summary : undefined;
  const waiting = summary?.waiting ?? [0, 0, 0];
  const waitingCount = waiting.reduce((sum, count) => sum + count, 0);
  return {
    description,
    owner,
    busy: Math.max(granted, (summary?.running ?? 0) + waitingCount),
    waiting,
    serviceMs: summary?.serviceMs ?? 0,
    serviceTimes: summary?.serviceTimes ?? DEFAULT_SERVICE_TIMES,
    usableSlots: summary?.usableSlots ?? description.slots,
    evictionRate: summary?.evictionRate ?? 0,
    slotState: isCurrent ? remoteSlotState(remote, key) : 'absent',
    loadWaitMs: summary?.loadWaitMs ?? state.settings.weightStore.loadMs,
  };
};

const remoteSlotState = (
  remote: RemoteServer,
  key: string,
): ServerView['slotState'] => remote.slots.get(key) ?? 'absent';
