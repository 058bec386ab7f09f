import type {Area} from '../area.js';
import type {CoreState} from '../state.js';
import type {Turn} from '../turn.js';
import {
  answerQuery,
  applyAnswer,
  handleHostLeaving,
  queryQuietPeer,
} from './exchange.js';
import {applyHostList} from './host-list.js';
import {beginDrain, beginStop, completeStop} from './leaving.js';
import {updateReadiness} from './readiness.js';
import {applyRecord, handleReadResponse, readRecord} from './records.js';
import {refreshPlatformState} from './refresh.js';

/**
 * Handlers of the membership area, which tracks the hosts and servers of the
 * deployment and keeps copies of the platform's objects.
 */
export const membershipArea: Area = {
  name: 'membership',
  handlers: {
    started: (state, _event, turn) => {
      refreshPlatformState(state, turn);
    },
    'timer-fired': (state, {timer}, turn) => {
      timers[timer]?.(state, turn);
    },
    'host-list-read': (state, {hostList}, turn) => {
      const {membership} = state;
      const requestedAt = membership.hostListRequestedAt;
      membership.hostListRequestedAt = undefined;
      if (hostList !== undefined && requestedAt !== undefined) {
        applyHostList(state, hostList, requestedAt, turn);
      }
      updateReadiness(state, turn);
    },
    'store-responded': handleReadResponse,
    'record-observed': (state, event, turn) => {
      applyRecord(state, event, event.sentAt, turn);
    },
    'record-wanted': (state, {kind, name}, turn) => {
      readRecord(state, kind, name, turn);
    },
    'peer-wanted': (state, {host}, turn) => {
      queryQuietPeer(state, host, turn);
    },
    'configuration-applied': (state, _event, turn) => {
      updateReadiness(state, turn);
    },
    // A read that failed before a pause is no evidence of the state after it.
    'clock-gap': (state) => {
      for (const copy of state.membership.records.values()) {
        copy.failedAt = undefined;
      }
    },
    'stop-requested': (state, _event, turn) => {
      beginStop(state, turn);
    },
    'drain-requested': (state, {operator}, turn) => {
      beginDrain(state, operator, turn);
    },
    'claims-handed-over': (state, _event, turn) => {
      state.membership.claimsHandedOver = true;
      completeStop(state, turn);
    },
  },
  messageHandlers: {
    'host-leaving': handleHostLeaving,
    'platform-state-asked': answerQuery,
    'platform-state-answered': applyAnswer,
  },
};

const timers: Readonly<Record<string, (state: CoreState, turn: Turn) => void>> =
  {
    refresh: refreshPlatformState,
    'address-grace': (state, turn) => {
      state.membership.addressGraceOver = true;
      completeStop(state, turn);
    },
    'handover-timeout': (state, turn) => {
      state.membership.claimsHandedOver = true;
      completeStop(state, turn);
    },
  };
