import {configurationRevision} from '../configuration/selectors.js';
import type {CoreState} from '../state.js';
import type {Turn} from '../turn.js';
import {CONFIGURATION_HEAD} from './records.js';
import {recordCopy} from './selectors.js';

/**
 * Updates whether this host is ready for work: it is serving, knows the host
 * list and has a configuration in force, or has read that there is none.
 */
export const updateReadiness = (state: CoreState, turn: Turn): void => {
  const reason = reasonNotReady(state);
  const ready = reason === undefined;
  if (state.membership.ready !== ready) {
    state.membership.ready = ready;
    turn.perform({type: 'set-readiness', ready, reason: reason ?? ''});
  }
};

const reasonNotReady = (state: CoreState): string | undefined => {
  const {membership} = state;
  if (membership.standing !== 'serving') {
    return membership.standing;
  }
  if (membership.hostList === undefined) {
    return 'host list unknown';
  }
  const {kind, name} = CONFIGURATION_HEAD;
  const head = recordCopy(state, kind, name);
  const isHeadMissing = head?.readAt !== undefined && head.version === 0;
  if (configurationRevision(state) === 0 && !isHeadMissing) {
    return 'configuration unknown';
  }
  return undefined;
};
