import type {CoreState} from '../state.js';
import type {Turn} from '../turn.js';
import type {Choice} from './choose-server.js';
import {chooseFor, grantPlacement} from './placements.js';
import type {Placement} from './state.js';

/** Time between two looks at the held placements. */
const HELD_INTERVAL_MS = 250;

/** Multiple of the expected time that must remain for work to be held. */
const SLACK_FACTOR = 3;

/** Time that must remain in any case for work to be held. */
const MINIMUM_SLACK_MS = 10_000;

/** Share of a server's positions that work which can wait leaves free. */
const DEFERRABLE_RESERVE = 0.25;

const TIMER = 'held';

/** Whether work that can wait should wait for an idle resident position. */
export const shouldHold = (
  _state: CoreState,
  placement: Placement,
  choice: Choice,
  turn: Turn,
): boolean =>
  placement.request.priorityClass === 'deferrable' &&
  hasSlack(placement, choice, turn) &&
  !hasIdlePosition(choice);

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
  } else {
    held.set(placement.key, [placement]);
  }
  setHeldTimer(turn);
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
  const group = state.routing.held.get(key) ?? [];
  while (group.length > 0) {
    const [placement] = group;
    const choice = placement && chooseFor(state, placement, turn);
    if (
      !choice ||
      (hasSlack(placement, choice, turn) && !hasIdlePosition(choice))
    ) {
      return;
    }
    group.shift();
    grantPlacement(state, placement, choice, turn);
  }
  state.routing.held.delete(key);
};

const hasSlack = (
  {deadlineMs}: Placement,
  {waitMs, view}: Choice,
  turn: Turn,
): boolean =>
  deadlineMs - turn.at.monotonicMs >
  Math.max(MINIMUM_SLACK_MS, SLACK_FACTOR * (waitMs + view.serviceMs));

/** Whether the adapter is ready on a server with idle positions. */
const hasIdlePosition = ({view}: Choice): boolean => {
  const {batchPositions} = view.description;
  const limit = batchPositions * (1 - DEFERRABLE_RESERVE);
  return view.slot === 'ready' && view.busy < limit;
};

const setHeldTimer = (turn: Turn): void => {
  turn.perform({
    type: 'set-timer',
    area: 'routing',
    timer: TIMER,
    delayMs: HELD_INTERVAL_MS,
  });
};
