import {unfinishedCalls} from '../calls/selectors.js';
import {unsettledWork} from '../deferred/selectors.js';
import type {CoreState} from '../state.js';
import type {Turn} from '../turn.js';
import {refreshView} from './host-list.js';
import {updateReadiness} from './readiness.js';
import {listedHosts} from './selectors.js';

/**
 * Milliseconds that a stopping host goes on taking requests that callers with
 * an earlier address answer still send.
 */
const ADDRESS_GRACE_MS = 2_000;

/** Milliseconds after which a stop goes on with claims not handed over. */
const HANDOVER_TIMEOUT_MS = 15_000;

/** Milliseconds between two looks at what is left to be recorded. */
const UNFINISHED_POLL_INTERVAL_MS = 250;

/** Begins a planned stop: leaves every choice first, then hands over. */
export const beginStop = (state: CoreState, turn: Turn): void => {
  if (state.membership.standing === 'serving') {
    startLeaving(state, 'stopping', turn);
    turn.perform({
      type: 'audit',
      entry: {
        actor: 'basilworks',
        action: 'host-stop',
        subject: state.settings.host,
      },
    });
  }
  state.membership.standing = 'stopping';
  for (const [timer, delayMs] of [
    ['address-grace', ADDRESS_GRACE_MS],
    ['handover-timeout', HANDOVER_TIMEOUT_MS],
  ] as const) {
    turn.perform({type: 'set-timer', area: 'membership', timer, delayMs});
  }
};

/** Leaves every choice and hands over, but goes on running. */
export const beginDrain = (
  state: CoreState,
  operator: string,
  turn: Turn,
): void => {
  if (state.membership.standing !== 'serving') {
    return;
  }
  startLeaving(state, 'draining', turn);
  turn.perform({
    type: 'audit',
    entry: {
      actor: operator,
      action: 'host-drain',
      subject: state.settings.host,
    },
  });
};

/**
 * Completes a stop once the claims are handed over, the grace is over and no
 * call or result is left to be recorded.
 */
export const completeStop = (state: CoreState, turn: Turn): void => {
  const {membership} = state;
  if (
    membership.standing === 'stopping' &&
    membership.claimsHandedOver &&
    membership.addressGraceOver
  ) {
    if (unfinishedCalls(state) + unsettledWork(state) > 0) {
      turn.perform({
        type: 'set-timer',
        area: 'membership',
        timer: 'address-grace',
        delayMs: UNFINISHED_POLL_INTERVAL_MS,
      });
      return;
    }
    membership.standing = 'stopped';
    turn.perform({type: 'stop-completed'});
  }
};

const startLeaving = (
  state: CoreState,
  standing: 'stopping' | 'draining',
  turn: Turn,
): void => {
  state.membership.standing = standing;
  for (const {host} of listedHosts(state)) {
    if (host !== state.settings.host) {
      turn.perform({
        type: 'send-peer-message',
        to: host,
        message: {type: 'host-leaving'},
      });
    }
  }
  refreshView(state, turn);
  updateReadiness(state, turn);
  turn.raise({type: 'leaving-started'});
};
