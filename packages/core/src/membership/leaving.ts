import {unfinishedCalls} from '../calls/selectors.js';
import {unsettledWork} from '../deferred/selectors.js';
import type {CoreState} from '../state.js';
import type {Turn} from '../turn.js';
import {refreshView} from './host-list.js';
import {updateReadiness} from './readiness.js';
import {listedHosts} from './selectors.js';

/**
 * Milliseconds for which a stopping host still accepts requests of callers that
 * use an earlier address response.
 */
const ADDRESS_GRACE_MS = 2_000;

/** Milliseconds after which a stop no longer waits for the handover. */
const HANDOVER_TIMEOUT_MS = 15_000;

/** Milliseconds between checks for calls and results yet to be recorded. */
const UNFINISHED_POLL_INTERVAL_MS = 250;

/** Begins a graceful stop: announces that this host leaves, then hands over. */
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

/** Announces that this host leaves and hands over, but keeps it running. */
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
 * Completes a stop once the claims are handed over or have timed out, the grace
 * period is over and no call or result is left to be recorded.
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

/** Withdraws this host from selection everywhere and starts the handover. */
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
