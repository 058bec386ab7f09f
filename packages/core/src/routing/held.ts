import type {CoreState} from '../state.js';
import type {Turn} from '../turn.js';
import type {Choice} from './choose-server.js';
import {chooseFor, grantPlacement} from './placements.js';
import type {Placement} from './state.js';

/** Time between two looks at the held placements. */
const HELD_INTERVAL_MS = 500;

/** Deviations of the service time that are kept in reserve. */
const RESERVED_DEVIATIONS = 8;

/** Time kept in reserve for waiting, whatever is expected. */
const RESERVED_MS = 30_000;

/** Share of a server's positions that work which can wait leaves free. */
const DEFERRABLE_RESERVE = 0.2;

/** Held requests of one adapter that are worth a load of an idle store. */
const WORTHWHILE_GROUP = 4;

/** Wait above one load's time at which the store counts as busy. */
const IDLE_STORE_MARGIN_MS = 50;

const TIMER = 'held';

/** Whether work that can wait should wait for an idle resident position. */
export const shouldHold = (
  state: CoreState,
  placement: Placement,
  choice: Choice,
  turn: Turn,
): boolean =>
  state.settings.mechanisms.heldWork &&
  placement.request.priorityClass === 'deferrable' &&
  !isDue(state, placement, choice, turn);

/** Keeps a placement until it is due. */
export const holdPlacement = (
  state: CoreState,
  placement: Placement,
  turn: Turn,
): void => {
  const {held} = state.routing;
  const group = held.get(placement.key);
  if (group) {
    group.push(placement);
    return;
  }
  held.set(placement.key, [placement]);
  if (held.size === 1) {
    setHeldTimer(turn);
  }
};

/** Grants the held placements that are due or fill idle positions. */
export const releaseHeld = (state: CoreState, turn: Turn): void => {
  for (const key of [...state.routing.held.keys()]) {
    releaseGroup(state, key, turn);
  }
  if (state.routing.held.size > 0) {
    setHeldTimer(turn);
  }
};

/** Grants held placements of one adapter version while they are due. */
export const releaseGroup = (
  state: CoreState,
  key: string,
  turn: Turn,
): void => {
  const group = state.routing.held.get(key);
  while (group && group.length > 0) {
    const [placement] = group;
    const choice = placement && chooseFor(state, placement, turn);
    if (!choice || !isDue(state, placement, choice, turn)) {
      return;
    }
    group.shift();
    grantPlacement(state, placement, choice, turn);
  }
  state.routing.held.delete(key);
};

const isDue = (
  state: CoreState,
  placement: Placement,
  choice: Choice,
  turn: Turn,
): boolean =>
  isShortOfTime(placement, choice, turn) ||
  (hasIdlePosition(choice) &&
    (choice.view.slot !== 'absent' || isWorthALoad(state, placement, choice)));

/** Whether the work may be late if it is held any longer. */
const isShortOfTime = (
  {deadlineMs}: Placement,
  {waitMs, view}: Choice,
  turn: Turn,
): boolean => {
  const {meanMs, deviationMs} = view.serviceTimes.deferrable;
  const neededMs =
    waitMs + meanMs + RESERVED_DEVIATIONS * deviationMs + RESERVED_MS;
  return deadlineMs - turn.at.monotonicMs <= neededMs;
};

const hasIdlePosition = ({view}: Choice): boolean =>
  view.busy < view.description.batchPositions * (1 - DEFERRABLE_RESERVE);

/** Whether an idle weight store should load an adapter for held work. */
const isWorthALoad = (
  state: CoreState,
  {key}: Placement,
  {view}: Choice,
): boolean => {
  const {loadMs} = state.settings.weightStore;
  const count = state.routing.held.get(key)?.length ?? 0;
  return (
    count >= WORTHWHILE_GROUP &&
    view.usableSlots > 0 &&
    view.loadWaitMs <= loadMs + IDLE_STORE_MARGIN_MS
  );
};

const setHeldTimer = (turn: Turn): void => {
  turn.perform({
    type: 'set-timer',
    area: 'routing',
    timer: TIMER,
    delayMs: HELD_INTERVAL_MS,
  });
};
