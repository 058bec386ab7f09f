import {admissionArea} from './admission/area.js';
import type {Area, AreaName} from './area.js';
import {callsArea} from './calls/area.js';
import {configurationArea} from './configuration/area.js';
import {deferredArea} from './deferred/area.js';
import type {Effect} from './effects.js';
import type {CoreEvent} from './events.js';
import type {Instant} from './instant.js';
import {loadBudgetArea} from './load-budget/area.js';
import {membershipArea} from './membership/area.js';
import {ownershipArea} from './ownership/area.js';
import type {PeerMessageEvent} from './peer-message.js';
import {residencyArea} from './residency/area.js';
import {routingArea} from './routing/area.js';
import type {CoreState} from './state.js';
import {streamsArea} from './streams/area.js';
import type {Turn} from './turn.js';

/** What one turn of the reducer produced. */
export interface Reduction {
  /** The same object as the state that was passed in; areas are mutable. */
  readonly state: CoreState;
  /** In the order in which they are to be run. */
  readonly effects: readonly Effect[];
}

/**
 * Handles one event, and all events raised on the way, at one instant. The
 * only entry to the decisions: the daemon, the property tests and the bench
 * all call it. Never throws for any event; never reads a clock or a source of
 * randomness.
 *
 * @example
 * const {effects} = reduce(state, {type: 'started'}, clock.now());
 */
export const reduce = (
  state: CoreState,
  event: CoreEvent,
  at: Instant,
): Reduction => {
  const effects: Effect[] = [];
  const pending: CoreEvent[] = [event];
  const turn: Turn = {
    at,
    perform: (effect) => {
      const loopback = toLoopback(state, effect);
      if (loopback === undefined) {
        effects.push(effect);
      } else {
        pending.push(loopback);
      }
    },
    raise: (raised) => {
      pending.push(raised);
    },
  };
  for (let next = pending.shift(); next; next = pending.shift()) {
    dispatch(state, next, turn);
  }
  return {state, effects};
};

const areas: readonly Area[] = [
  membershipArea,
  ownershipArea,
  configurationArea,
  streamsArea,
  admissionArea,
  routingArea,
  residencyArea,
  loadBudgetArea,
  callsArea,
  deferredArea,
];

type AnyHandler = (state: CoreState, event: CoreEvent, turn: Turn) => void;

interface Subscriber {
  readonly area: AreaName;
  readonly handler: AnyHandler;
}

/** Subscribers by event type, in the order of `areas`. */
const subscribers = new Map<string, Subscriber[]>();
for (const area of areas) {
  for (const [type, handler] of Object.entries(area.handlers)) {
    const list = subscribers.get(type) ?? [];
    list.push({area: area.name, handler: handler as AnyHandler});
    subscribers.set(type, list);
  }
}

const dispatch = (state: CoreState, event: CoreEvent, turn: Turn): void => {
  if (event.type === 'peer-message') {
    dispatchMessage(state, event, turn);
    return;
  }
  const addressee = 'area' in event ? event.area : undefined;
  for (const {area, handler} of subscribers.get(event.type) ?? []) {
    if (addressee === undefined || addressee === area) {
      handler(state, event, turn);
    }
  }
};

const dispatchMessage = (
  state: CoreState,
  {from, fromIncarnation, message}: PeerMessageEvent,
  turn: Turn,
): void => {
  const sender = {host: from, incarnation: fromIncarnation};
  for (const area of areas) {
    const handler = area.messageHandlers[message.type] as
      | ((
          state: CoreState,
          message: PeerMessageEvent['message'],
          sender: {host: string; incarnation: string},
          turn: Turn,
        ) => void)
      | undefined;
    handler?.(state, message, sender, turn);
  }
};

const toLoopback = (
  state: CoreState,
  effect: Effect,
): PeerMessageEvent | undefined =>
  effect.type === 'send-peer-message' && effect.to === state.settings.host
    ? {
        type: 'peer-message',
        from: state.settings.host,
        fromIncarnation: state.identity.incarnation,
        message: effect.message,
      }
    : undefined;
