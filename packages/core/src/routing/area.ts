import type {Area, Sender} from '../area.js';
import type {ServerSummary} from '../residency/messages.js';
import type {CoreState} from '../state.js';
import type {Turn} from '../turn.js';
import {releaseGroup, releaseHeld} from './held.js';
import {placeRequest} from './home.js';
import {
  abandonRequest,
  expireRequest,
  finishAttempt,
  keepHeldPlacement,
  repeatPlacement,
  resumeAttempt,
  startAttempt,
  submitRequest,
  submitResume,
  takePlacementRefusal,
} from './ingress.js';
import {dropStalePlacements, finishPlacement} from './placements.js';

/** Time between two searches for placements that nobody finished. */
const STALE_INTERVAL_MS = 30_000;

/** Handlers of the routing area: this host as ingress and as home. */
export const routingArea: Area = {
  name: 'routing',
  handlers: {
    started: (_state, _event, turn) => {
      setStaleTimer(turn);
    },
    'request-submitted': submitRequest,
    'resume-submitted': submitResume,
    'request-abandoned': abandonRequest,
    'attempt-finished': finishAttempt,
    'timer-fired': (state, {timer}, turn) => {
      const at = timer.indexOf('/');
      const kind = at < 0 ? timer : timer.slice(0, at);
      timerHandlers[kind]?.(state, timer.slice(at + 1), turn);
    },
  },
  messageHandlers: {
    'placement-requested': placeRequest,
    'placement-queued': (state, message, _sender, turn) => {
      keepHeldPlacement(state, message, turn);
    },
    'placement-granted': startAttempt,
    'placement-refused': (state, message, _sender, turn) => {
      takePlacementRefusal(state, message, turn);
    },
    'placement-finished': (state, message, _sender, turn) => {
      const placement = finishPlacement(state, message);
      if (placement) {
        releaseGroup(state, placement.key, turn);
      }
    },
    'server-summary': (state, message, sender, turn) => {
      takeSummary(state, message, sender, turn);
    },
  },
};

type TimerHandler = (state: CoreState, name: string, turn: Turn) => void;

/** Handlers by the first part of a timer's name. */
const timerHandlers: Readonly<Record<string, TimerHandler>> = {
  placement: repeatPlacement,
  deadline: expireRequest,
  resume: resumeAttempt,
  held: (state, _name, turn) => {
    releaseHeld(state, turn);
  },
  stale: (state, _name, turn) => {
    dropStalePlacements(state, turn);
    setStaleTimer(turn);
  },
};

/** Keeps what an owner tells of its server, newest first. */
const takeSummary = (
  state: CoreState,
  summary: ServerSummary,
  {host: owner, incarnation}: Sender,
  turn: Turn,
): void => {
  const {knownServers} = state.routing;
  const known = knownServers.get(summary.server);
  const isSameOwner =
    known?.owner === owner && known.incarnation === incarnation;
  if (isSameOwner && known.summary.sequence >= summary.sequence) {
    return;
  }
  const slots = isSameOwner
    ? known.slots
    : new Map<string, 'ready' | 'loading'>();
  for (const {adapter, version, state: slotState} of summary.slots) {
    const key = `${adapter}@${version}`;
    if (slotState === 'absent') {
      slots.delete(key);
    } else {
      slots.set(key, slotState);
    }
  }
  knownServers.set(summary.server, {
    owner,
    incarnation,
    summary,
    receivedMs: turn.at.monotonicMs,
    slots,
  });
};

const setStaleTimer = (turn: Turn): void => {
  turn.perform({
    type: 'set-timer',
    area: 'routing',
    timer: 'stale',
    delayMs: STALE_INTERVAL_MS,
  });
};
