import type {Area} from '../area.js';
import {ZONE_RECORD_KIND} from '../membership/records.js';
import {takeZoneRecord} from './claims.js';
import {acceptServers, offerAccepted, takeInheritedList} from './handover.js';
import {review} from './review.js';
import {writeAnswered} from './writes.js';

/**
 * Handlers of the ownership area: which host is the only sender of work and
 * orders to a server, by conditional updates of one record for each zone.
 */
export const ownershipArea: Area = {
  name: 'ownership',
  handlers: {
    started: (state, _event, turn) => {
      review(state, turn);
    },
    'timer-fired': (state, _event, turn) => {
      review(state, turn);
    },
    'record-read': (state, {kind, name, changed}, turn) => {
      if (kind === ZONE_RECORD_KIND && changed) {
        takeZoneRecord(state, name, turn);
      }
    },
    'store-responded': writeAnswered,
  },
  messageHandlers: {
    'servers-offered': acceptServers,
    'servers-accepted': offerAccepted,
    'server-handed-over': takeInheritedList,
  },
};
