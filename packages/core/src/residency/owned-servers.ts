import type {ServerId} from '../identifiers.js';
import {fencingNumberOf} from '../ownership/selectors.js';
import type {CoreState} from '../state.js';
import type {Turn} from '../turn.js';
import {refuseUnsent} from './dispatch.js';
import {releaseGrant} from './loads.js';
import {scheduleReports} from './reports.js';
import {initialServiceTimes} from './service-time.js';
import type {OwnedServer} from './state.js';

/** Service time that is assumed before the first measurement. */
const INITIAL_SERVICE_MS = 1_500;

/** Begins to act as the owner of a server. What it holds is asked first. */
export const acquireServer = (
  state: CoreState,
  server: ServerId,
  turn: Turn,
): void => {
  const owned = newOwnedServer(server, turn.at.monotonicMs);
  for (const execution of state.residency.executions.values()) {
    owned.running += execution.server === server ? 1 : 0;
  }
  state.residency.servers.set(server, owned);
  scheduleReports(owned, turn);
  turn.perform({
    type: 'record-decision',
    decision: {
      subject: 'server',
      name: server,
      decision: 'ownership-taken',
      inputs: {fencingNumber: fencingNumberOf(state, server)},
    },
  });
};

/** Stops acting at once; what was not sent is refused as not run. */
export const loseServer = (
  state: CoreState,
  server: ServerId,
  turn: Turn,
): void => {
  const owned = state.residency.servers.get(server);
  if (!owned) {
    return;
  }
  refuseUnsent(state, owned, 'ownership-lost', turn);
  state.residency.servers.delete(server);
  releaseWants(state, owned, turn);
  const timer = `report/${server}`;
  turn.perform({type: 'cancel-timer', area: 'residency', timer});
};

/** A leaving server gets no new work; what runs on it goes on. */
export const stopNewWork = (
  state: CoreState,
  server: ServerId,
  turn: Turn,
): void => {
  const owned = state.residency.servers.get(server);
  if (owned) {
    owned.leaving = true;
    refuseUnsent(state, owned, 'no-server', turn);
    releaseWants(state, owned, turn);
  }
};

const releaseWants = (
  state: CoreState,
  owned: OwnedServer,
  turn: Turn,
): void => {
  for (const want of owned.wants.values()) {
    if (want.state === 'requested') {
      releaseGrant(state, want.loadId, false, turn);
    }
  }
  owned.wants.clear();
};

const newOwnedServer = (server: ServerId, nowMs: number): OwnedServer => ({
  server,
  acquiredMs: nowMs,
  engineIncarnation: undefined,
  measuredMs: -Infinity,
  confirmed: false,
  leaving: false,
  slots: new Map(),
  wants: new Map(),
  failures: new Map(),
  waiting: new Map(),
  ready: {urgent: [], standard: [], deferrable: []},
  running: 0,
  waitingByClass: {urgent: 0, standard: 0, deferrable: 0},
  serviceTimes: initialServiceTimes(),
  serviceMs: INITIAL_SERVICE_MS,
  evictedMs: new Map(),
  announcedMs: -Infinity,
  offer: {atMs: -Infinity, usableSlots: 0, costRate: 0},
  subscribers: new Map(),
});
