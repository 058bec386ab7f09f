import {adapterVersionKey, type AdapterVersion} from '../identifiers.js';
import {loadBudgetHolder} from '../load-budget/selectors.js';
import type {LoadGranted} from '../load-budget/messages.js';
import {describeServer} from '../membership/selectors.js';
import {fencingNumberOf, mayAct} from '../ownership/selectors.js';
import type {PeerMessage} from '../peer-message.js';
import type {CoreState} from '../state.js';
import type {Turn} from '../turn.js';
import {chooseVictim, usableSlots} from './eviction.js';
import {recordOrder} from './record-orders.js';
import type {Execution, OwnedServer, Slot, Want} from './state.js';
import {requestWeight} from './urgency.js';

/** Growth of a load's urgency that its holder is told of. */
const URGENCY_STEP = 1.25;

/** Urgency of a load that no request waits for. */
const BACKGROUND_URGENCY = 0.01;

/** Slack of a load that no request waits for. */
const BACKGROUND_SLACK_MS = 600_000;

/** Notes that an adapter version is to be loaded and asks for the load. */
export const wantAdapter = (
  state: CoreState,
  owned: OwnedServer,
  wanted: AdapterVersion,
  background: boolean,
  turn: Turn,
): void => {
  const key = adapterVersionKey(wanted);
  const want = owned.wants.get(key) ?? addWant(state, owned, wanted, turn);
  want.background &&= background;
  pursueWant(state, owned, want, turn);
};

/** Asks for the loads of a server that can now go on. */
export const pursueLoads = (
  state: CoreState,
  owned: OwnedServer,
  turn: Turn,
): void => {
  for (const want of owned.wants.values()) {
    if (want.state === 'waiting') {
      pursueWant(state, owned, want, turn);
    }
  }
};

/** Repeats what the load budget's holder may have missed or forgotten. */
export const repeatLoadRequests = (
  state: CoreState,
  owned: OwnedServer,
  turn: Turn,
): void => {
  for (const want of [...owned.wants.values()]) {
    if (!want.background && !owned.waiting.has(want.key)) {
      dropIdleWant(state, owned, want, turn);
    } else if (want.state === 'requested') {
      askHolder(state, owned, want, false, turn);
    } else if (want.state !== 'waiting') {
      askHolder(state, owned, want, true, turn);
    }
  }
};

/** Starts a granted load, evicting first where no slot is free. */
export const startGrantedLoad = (
  state: CoreState,
  message: LoadGranted,
  turn: Turn,
): void => {
  const owned = state.residency.servers.get(message.server);
  const want = owned && findWant(owned, message.loadId);
  if (!owned || !want) {
    releaseGrant(state, message.loadId, false, turn);
    return;
  }
  if (want.state !== 'requested' && want.state !== 'waiting') {
    return;
  }
  noteLoadWait(state, want, turn);
  if (!mayAct(state, owned.server, turn.at) || owned.slots.has(want.key)) {
    putBack(state, want, turn);
    return;
  }
  if (owned.slots.size < totalSlots(state, owned)) {
    orderLoad(state, owned, want, turn);
    return;
  }
  const victim = chooseVictim(state, owned, turn.at.monotonicMs);
  if (victim) {
    orderEviction(state, owned, victim, want, turn);
  } else {
    putBack(state, want, turn);
  }
};

/** Withdraws a load that nothing waits for any more. */
export const dropIdleWant = (
  state: CoreState,
  owned: OwnedServer,
  want: Want,
  turn: Turn,
): void => {
  if (want.state === 'waiting' || want.state === 'requested') {
    owned.wants.delete(want.key);
    if (want.state === 'requested') {
      releaseGrant(state, want.loadId, false, turn);
    }
  }
};

/** Orders the load of a want whose slot is free. */
export const orderLoad = (
  state: CoreState,
  owned: OwnedServer,
  want: Want,
  turn: Turn,
): void => {
  const slot = newSlot(want, turn.at.monotonicMs);
  want.state = 'loading';
  owned.slots.set(want.key, slot);
  sendOrder(state, owned, slot, 'load', want.loadId, turn);
  recordOrder(
    {
      server: owned.server,
      key: want.key,
      order: 'load',
      inputs: {
        waiting: owned.waiting.get(want.key)?.length ?? 0,
        urgency: want.toldUrgency,
        wantedForMs: Math.round(turn.at.monotonicMs - want.sinceMs),
      },
    },
    turn,
  );
};

/** Tells the holder that a load ended, or that its grant is not used. */
export const releaseGrant = (
  state: CoreState,
  loadId: string,
  used: boolean,
  turn: Turn,
): void => {
  tellHolder(state, {type: 'load-released', loadId, used}, turn);
};

/** Asks the engine for its report now. */
export const readReport = (server: string, turn: Turn): void => {
  turn.perform({type: 'read-server-report', server});
};

const addWant = (
  state: CoreState,
  owned: OwnedServer,
  wanted: AdapterVersion,
  turn: Turn,
): Want => {
  const {residency} = state;
  const key = adapterVersionKey(wanted);
  residency.sequence += 1;
  const want: Want = {
    loadId: `${state.identity.incarnation}/${residency.sequence}`,
    wanted: {adapter: wanted.adapter, version: wanted.version},
    key,
    background: true,
    state: 'waiting',
    toldUrgency: 0,
    notBeforeMs: 0,
    sinceMs: turn.at.monotonicMs,
  };
  owned.wants.set(key, want);
  return want;
};

const pursueWant = (
  state: CoreState,
  owned: OwnedServer,
  want: Want,
  turn: Turn,
): void => {
  if (want.state === 'requested') {
    if (urgencyOf(state, owned, want) >= want.toldUrgency * URGENCY_STEP) {
      askHolder(state, owned, want, false, turn);
    }
    return;
  }
  if (
    want.state !== 'waiting' ||
    want.notBeforeMs > turn.at.monotonicMs ||
    !owned.confirmed ||
    owned.slots.has(want.key) ||
    !hasRoomForLoad(state, owned)
  ) {
    return;
  }
  want.state = 'requested';
  askHolder(state, owned, want, false, turn);
};

/** Whether a slot can be had besides those that are already promised. */
const hasRoomForLoad = (state: CoreState, owned: OwnedServer): boolean => {
  let promised = 0;
  for (const {state: wantState} of owned.wants.values()) {
    if (wantState === 'requested') {
      promised += 1;
    }
  }
  return usableSlots(owned, totalSlots(state, owned)) > promised;
};

const askHolder = (
  state: CoreState,
  owned: OwnedServer,
  want: Want,
  inTransit: boolean,
  turn: Turn,
): void => {
  want.toldUrgency = urgencyOf(state, owned, want);
  const waiting = owned.waiting.get(want.key) ?? [];
  tellHolder(
    state,
    {
      type: 'load-requested',
      loadId: want.loadId,
      server: owned.server,
      wanted: want.wanted,
      urgency: want.toldUrgency,
      slackMs: slackOf(waiting, turn.at.monotonicMs),
      inTransit,
    },
    turn,
  );
};

const urgencyOf = (
  state: CoreState,
  owned: OwnedServer,
  want: Want,
): number => {
  const waiting = owned.waiting.get(want.key) ?? [];
  return waiting.reduce(
    (sum, {request}) => sum + requestWeight(state, request),
    BACKGROUND_URGENCY,
  );
};

const slackOf = (waiting: readonly Execution[], nowMs: number): number =>
  waiting.reduce(
    (slack, {deadlineMs}) => Math.min(slack, deadlineMs - nowMs),
    BACKGROUND_SLACK_MS,
  );

/** The want behind a load identity, unless it was dropped. */
export const findWant = (
  owned: OwnedServer,
  loadId: string,
): Want | undefined => {
  for (const want of owned.wants.values()) {
    if (want.loadId === loadId) {
      return want;
    }
  }
  return undefined;
};

/** Gives a grant back that cannot be used, and asks again later. */
const putBack = (state: CoreState, want: Want, turn: Turn): void => {
  want.state = 'waiting';
  releaseGrant(state, want.loadId, false, turn);
};

const orderEviction = (
  state: CoreState,
  owned: OwnedServer,
  victim: Slot,
  want: Want,
  turn: Turn,
): void => {
  want.state = 'evicting';
  victim.state = 'unloading';
  victim.changedMs = turn.at.monotonicMs;
  sendOrder(state, owned, victim, 'unload', want.loadId, turn);
  recordOrder(
    {
      server: owned.server,
      key: victim.key,
      order: 'evict',
      inputs: {for: want.key, uses: victim.uses},
    },
    turn,
  );
};

const sendOrder = (
  state: CoreState,
  owned: OwnedServer,
  slot: Slot,
  order: 'load' | 'unload',
  loadId: string,
  turn: Turn,
): void => {
  const {residency} = state;
  residency.sequence += 1;
  const orderId = `${state.identity.incarnation}/${residency.sequence}`;
  slot.orderId = orderId;
  residency.orders.set(orderId, {
    orderId,
    server: owned.server,
    key: slot.key,
    order,
    loadId,
    startedMs: turn.at.monotonicMs,
  });
  turn.perform({
    type: 'order-adapter',
    order,
    orderId,
    server: owned.server,
    fencingNumber: fencingNumberOf(state, owned.server),
    adapter: slot.adapter,
    version: slot.version,
  });
};

const newSlot = ({wanted, key}: Want, nowMs: number): Slot => ({
  adapter: wanted.adapter,
  version: wanted.version,
  key,
  state: 'loading',
  running: 0,
  queued: 0,
  inherited: false,
  changedMs: nowMs,
  lastUsedMs: nowMs,
  uses: 0,
  orderId: undefined,
});

const LOAD_WAIT_GAIN = 0.2;

/** Follows the time that loads with requests behind them wait. */
const noteLoadWait = (state: CoreState, want: Want, turn: Turn): void => {
  if (want.background) {
    return;
  }
  const {residency} = state;
  const waitMs =
    turn.at.monotonicMs - want.sinceMs + residency.settings.weightStore.loadMs;
  residency.loadWaitMs += LOAD_WAIT_GAIN * (waitMs - residency.loadWaitMs);
};

const totalSlots = (state: CoreState, owned: OwnedServer): number =>
  describeServer(state, owned.server)?.slots ?? 0;

const tellHolder = (
  state: CoreState,
  message: PeerMessage,
  turn: Turn,
): void => {
  const to = loadBudgetHolder(state);
  turn.perform({type: 'send-peer-message', to, message});
};
