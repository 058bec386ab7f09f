import type {CoreState} from '../state.js';
import type {Turn} from '../turn.js';
import type {ServerChoice} from './choose-server.js';
import {choosePlacementServer, grantPlacement} from './placements.js';
import type {Placement} from './state.js';

/** Interval between two checks of the held placements. */
const HELD_CHECK_INTERVAL_MS = 500;

/** Mean deviations of the service time that are kept in reserve. */
const RESERVED_DEVIATIONS = 8;

/** Time kept in reserve for waiting, in addition to the expected wait. */
const RESERVED_WAIT_MS = 30_000;

/** Share of a server's batch positions that deferrable work leaves free. */
const DEFERRABLE_RESERVE = 0.2;

/** Held requests of one adapter that justify a load by an idle store. */
const MINIMUM_GROUP_FOR_LOAD = 4;

/** Wait beyond the time of one load above which the store counts as busy. */
const IDLE_STORE_MARGIN_MS = 50;

const HELD_TIMER = 'held';

/**
 * Whether a deferrable request should be held until a server has idle batch
 * positions and its adapter, or its deadline is near.
 */
export const shouldHold = (
  state: CoreState,
  placement: Placement,
  choice: ServerChoice,
  turn: Turn,
): boolean =>
  state.settings.mechanisms.heldWork &&
  placement.request.priorityClass === 'deferrable' &&
  !isDue(state, placement, choice, turn);

/** Holds a placement until it is due. */
export const holdPlacement = (
  state: CoreState,
  placement: Placement,
  turn: Turn,
): void => {
  const {heldPlacements} = state.routing;
  const group = heldPlacements.get(placement.key);
  if (group) {
    group.push(placement);
    return;
  }
  heldPlacements.set(placement.key, [placement]);
  if (heldPlacements.size === 1) {
    setHeldTimer(turn);
  }
};

/** Grants all held placements that are due. */
export const releaseHeldPlacements = (state: CoreState, turn: Turn): void => {
  for (const key of [...state.routing.heldPlacements.keys()]) {
    releaseHeldGroup(state, key, turn);
  }
  if (state.routing.heldPlacements.size > 0) {
    setHeldTimer(turn);
  }
};

/**
 * Grants held placements of one adapter version, in order of arrival, up to
 * the first one that is not due.
 */
export const releaseHeldGroup = (
  state: CoreState,
  key: string,
  turn: Turn,
): void => {
  const group = state.routing.heldPlacements.get(key);
  while (group && group.length > 0) {
    const [placement] = group;
    const choice = placement && choosePlacementServer(state, placement, turn);
    if (!choice || !isDue(state, placement, choice, turn)) {
      return;
    }
    group.shift();
    grantPlacement(state, placement, choice, turn);
  }
  state.routing.heldPlacements.delete(key);
};

/**
 * Whether a placement's deadline is near, or the chosen server has idle batch
 * positions and has, is loading or should load the adapter.
 */
const isDue = (
  state: CoreState,
  placement: Placement,
  choice: ServerChoice,
  turn: Turn,
): boolean =>
  isDeadlineNear(placement, choice, turn) ||
  (hasIdlePosition(choice) &&
    (choice.view.slotState !== 'absent' ||
      justifiesLoad(state, placement, choice)));

/** Whether the request may miss its deadline if it is held any longer. */
const isDeadlineNear = (
  {deadlineMs}: Placement,
  {waitMs, view}: ServerChoice,
  turn: Turn,
): boolean => {
  const {meanMs, deviationMs} = view.serviceTimes.deferrable;
  const neededMs =
    waitMs + meanMs + RESERVED_DEVIATIONS * deviationMs + RESERVED_WAIT_MS;
  return deadlineMs - turn.at.monotonicMs <= neededMs;
};

const hasIdlePosition = ({view}: ServerChoice): boolean =>
  view.busy < view.description.batchPositions * (1 - DEFERRABLE_RESERVE);

/** Whether enough held work and an idle weight store justify a load. */
const justifiesLoad = (
  state: CoreState,
  {key}: Placement,
  {view}: ServerChoice,
): boolean => {
  const {loadMs} = state.settings.weightStore;
  const count = state.routing.heldPlacements.get(key)?.length ?? 0;
  return (
    count >= MINIMUM_GROUP_FOR_LOAD &&
    view.usableSlots > 0 &&
    view.loadWaitMs <= loadMs + IDLE_STORE_MARGIN_MS
  );
};

const setHeldTimer = (turn: Turn): void => {
  turn.perform({
    type: 'set-timer',
    area: 'routing',
    timer: HELD_TIMER,
    delayMs: HELD_CHECK_INTERVAL_MS,
  });
};
