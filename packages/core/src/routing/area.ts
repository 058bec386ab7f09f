import type {Area, Sender} from '../area.js';
import type {ServerSummary} from '../residency/messages.js';
import type {CoreState} from '../state.js';
import type {Turn} from '../turn.js';
import {releaseHeldGroup, releaseHeldPlacements} from './held-placements.js';
import {placeRequest} from './home.js';
import {
  abandonRequest,
  expireRequest,
  finishAttempt,
  handlePlacementQueued,
  handlePlacementRefused,
  repeatPlacementRequest,
  resumeAttempt,
  startAttempt,
  submitRequest,
  submitResume,
} from './ingress.js';
import {removePlacement, removeStalePlacements} from './placements.js';

/** Interval between two sweeps for placements that were never finished. */
const STALE_CHECK_INTERVAL_MS = 30_000;

/** Handlers of the routing area: this host as ingress host and as home. */
export const routingArea: Area = {
  name: 'routing',
  handlers: {
    started: (_state, _event, turn) => {
      setStaleCheckTimer(turn);
    },
    'request-submitted': submitRequest,
    'resume-submitted': submitResume,
    'request-abandoned': abandonRequest,
    'attempt-finished': finishAttempt,
    'timer-fired': (state, {timer}, turn) => {
      const separator = timer.indexOf('/');
      const kind = separator < 0 ? timer : timer.slice(0, separator);
      timerHandlers[kind]?.(state, timer.slice(separator + 1), turn);
    },
  },
  messageHandlers: {
    'placement-requested': placeRequest,
    'placement-queued': (state, message, _sender, turn) => {
      handlePlacementQueued(state, message, turn);
    },
    'placement-granted': startAttempt,
    'placement-refused': (state, message, _sender, turn) => {
      handlePlacementRefused(state, message, turn);
    },
    'placement-finished': (state, message, _sender, turn) => {
      const placement = removePlacement(state, message);
      if (placement) {
        releaseHeldGroup(state, placement.key, turn);
      }
    },
    'server-summary': (state, message, sender, turn) => {
      recordSummary(state, message, sender, turn);
    },
  },
};

type TimerHandler = (state: CoreState, name: string, turn: Turn) => void;

/** Handlers by the part of a timer's name before the first `/`. */
const timerHandlers: Readonly<Record<string, TimerHandler>> = {
  placement: repeatPlacementRequest,
  deadline: expireRequest,
  resume: resumeAttempt,
  held: (state, _name, turn) => {
    releaseHeldPlacements(state, turn);
  },
  stale: (state, _name, turn) => {
    removeStalePlacements(state, turn);
    setStaleCheckTimer(turn);
  },
};

/**
 * Stores an owner's summary of its server. Ignores a summary that is not newer
 * than the stored one of the same incarnation of the owner. Slots are merged,
 * because a summary need not list all of them; a new owner or incarnation
 * starts with no slots.
 */
const recordSummary = (
  state: CoreState,
  summary: ServerSummary,
  {host: owner, incarnation}: Sender,
  turn: Turn,
): void => {
  const {remoteServers} = state.routing;
  const previous = remoteServers.get(summary.server);
  const isSameOwner =
    previous?.owner === owner && previous.incarnation === incarnation;
  if (isSameOwner && previous.summary.sequence >= summary.sequence) {
    return;
  }
  const slots = isSameOwner
    ? previous.slots
    : new Map<string, 'ready' | 'loading'>();
  for (const {adapter, version, state: slotState} of summary.slots) {
    const key = `${adapter}@${version}`;
    if (slotState === 'absent') {
      slots.delete(key);
    } else {
      slots.set(key, slotState);
    }
  }
  remoteServers.set(summary.server, {
    owner,
    incarnation,
    summary,
    receivedMs: turn.at.monotonicMs,
    slots,
  });
};

const setStaleCheckTimer = (turn: Turn): void => {
  turn.perform({
    type: 'set-timer',
    area: 'routing',
    timer: 'stale',
    delayMs: STALE_CHECK_INTERVAL_MS,
  });
};
