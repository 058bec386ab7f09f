import {describeServer, homeOf} from '../membership/selectors.js';
import type {CoreState} from '../state.js';
import type {Turn} from '../turn.js';
import {offerEviction} from './eviction.js';
import type {ServerSummary, SlotSummary} from './messages.js';
import type {OwnedServer, Slot} from './state.js';

/** Time for which a home gets summaries after it asked. */
const SUBSCRIPTION_MS = 15_000;

/** Least time between two summaries of a server to one home. */
const SUMMARY_INTERVAL_MS = 500;

/** Sends a home the state of a server, now and while it changes. */
export const subscribeHome = (
  state: CoreState,
  server: string,
  home: string,
  turn: Turn,
): void => {
  const owned = state.residency.servers.get(server);
  if (owned && home !== state.settings.host) {
    owned.subscribers.set(home, turn.at.monotonicMs + SUBSCRIPTION_MS);
    sendSummary(state, owned, home, slotsOf(state, owned, home), turn);
  }
};

/** Sends the subscribed homes a summary, unless one was sent just now. */
export const announceServer = (
  state: CoreState,
  owned: OwnedServer,
  turn: Turn,
): void => {
  const nowMs = turn.at.monotonicMs;
  if (
    owned.subscribers.size === 0 ||
    nowMs < owned.announcedMs + SUMMARY_INTERVAL_MS
  ) {
    return;
  }
  owned.announcedMs = nowMs;
  for (const [home, untilMs] of owned.subscribers) {
    if (untilMs <= nowMs) {
      owned.subscribers.delete(home);
    } else {
      sendSummary(state, owned, home, slotsOf(state, owned, home), turn);
    }
  }
};

/** Tells the home of an adapter at once that its slot changed. */
export const announceSlot = (
  state: CoreState,
  owned: OwnedServer,
  slot: Slot,
  turn: Turn,
): void => {
  const home = homeOf(state, slot.adapter);
  if (home !== state.settings.host && owned.subscribers.has(home)) {
    sendSummary(state, owned, home, [toSummary(owned, slot)], turn);
  }
};

const sendSummary = (
  state: CoreState,
  owned: OwnedServer,
  home: string,
  slots: readonly SlotSummary[],
  turn: Turn,
): void => {
  state.residency.sequence += 1;
  const {waitingByClass: waiting} = owned;
  const total = describeServer(state, owned.server)?.slots ?? 0;
  const offer = offerEviction(state, owned, total, turn.at.monotonicMs);
  const message: ServerSummary = {
    type: 'server-summary',
    server: owned.server,
    sequence: state.residency.sequence,
    running: owned.running,
    waiting: [waiting.urgent, waiting.standard, waiting.deferrable],
    serviceMs: owned.serviceMs,
    serviceTimes: owned.serviceTimes,
    loadWaitMs: state.residency.loadWaitMs,
    usableSlots: offer.usableSlots,
    evictionRate: offer.costRate,
    slots: [...slots],
  };
  turn.perform({type: 'send-peer-message', to: home, message});
};

const slotsOf = (
  state: CoreState,
  owned: OwnedServer,
  home: string,
): readonly SlotSummary[] =>
  [...owned.slots.values()]
    .filter(({adapter}) => homeOf(state, adapter) === home)
    .map((slot) => toSummary(owned, slot));

const toSummary = (owned: OwnedServer, slot: Slot): SlotSummary => ({
  adapter: slot.adapter,
  version: slot.version,
  state: owned.slots.get(slot.key) === slot ? summaryState(slot) : 'absent',
});

const summaryState = (slot: Slot): SlotSummary['state'] => {
  if (slot.state === 'ready') {
    return 'ready';
  }
  return slot.state === 'unloading' ? 'absent' : 'loading';
};
