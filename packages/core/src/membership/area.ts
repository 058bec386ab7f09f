import type {Area} from '../area.js';
import type {CoreState} from '../state.js';
import type {Turn} from '../turn.js';
import {answerAsk, askQuietPeer, takeAnswer, takeLeaving} from './exchange.js';
import {takeHostList} from './host-list.js';
import {beginDrain, beginStop, completeStop} from './leaving.js';
import {updateReadiness} from './readiness.js';
import {readRecord, recordReadAnswered, takeRecord} from './records.js';
import {refresh} from './refresh.js';

/**
 * Handlers of the membership area: which hosts and servers there are, and the
 * copies of the platform's objects that every host keeps.
 */
export const membershipArea: Area = {
  name: 'membership',
  handlers: {
    started: (state, _event, turn) => {
      refresh(state, turn);
    },
    'timer-fired': (state, {timer}, turn) => {
      timers[timer]?.(state, turn);
    },
    'host-list-read': (state, {hostList}, turn) => {
      const {membership} = state;
      const askedAt = membership.hostListAskedAt;
      membership.hostListAskedAt = undefined;
      if (hostList !== undefined && askedAt !== undefined) {
        takeHostList(state, hostList, askedAt, turn);
      }
      updateReadiness(state, turn);
    },
    'store-responded': recordReadAnswered,
    'record-observed': (state, event, turn) => {
      takeRecord(state, event, event.sentAt, turn);
    },
    'record-wanted': (state, {kind, name}, turn) => {
      readRecord(state, kind, name, turn);
    },
    'peer-wanted': (state, {host}, turn) => {
      askQuietPeer(state, host, turn);
    },
    'configuration-applied': (state, _event, turn) => {
      updateReadiness(state, turn);
    },
    // A read that failed before a pause shows nothing about the time after.
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
    'host-leaving': takeLeaving,
    'platform-state-asked': answerAsk,
    'platform-state-answered': takeAnswer,
  },
};

const timers: Readonly<Record<string, (state: CoreState, turn: Turn) => void>> =
  {
    refresh,
    'address-grace': (state, turn) => {
      state.membership.addressGraceOver = true;
      completeStop(state, turn);
    },
    'handover-timeout': (state, turn) => {
      state.membership.claimsHandedOver = true;
      completeStop(state, turn);
    },
  };
