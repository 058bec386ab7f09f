import type {Area} from '../area.js';
import type {CoreState} from '../state.js';
import type {Turn} from '../turn.js';
import {dispatchWaiting} from './dispatch.js';
import {
  abandonExecution,
  expireExecution,
  finishExecution,
  requestExecution,
} from './executions.js';
import {
  pursueLoads,
  repeatLoadRequests,
  startGrantedLoad,
  wantAdapter,
} from './loads.js';
import {finishOrder} from './orders.js';
import {acquireServer, loseServer, stopNewWork} from './owned-servers.js';
import {scheduleReports, takeReport} from './reports.js';
import {announceServer, subscribeHome} from './summaries.js';
import {warmNewVersions} from './versions.js';

/** Handlers of the residency area: this host as the owner of servers. */
export const residencyArea: Area = {
  name: 'residency',
  handlers: {
    'server-acquired': (state, {server}, turn) => {
      acquireServer(state, server, turn);
    },
    'server-lost': (state, {server}, turn) => {
      loseServer(state, server, turn);
    },
    'server-leaving': (state, {server}, turn) => {
      stopNewWork(state, server, turn);
    },
    'server-described': (state, {server}, turn) => {
      resumeWork(state, server, turn);
    },
    'configuration-applied': (state, _event, turn) => {
      warmNewVersions(state, turn);
    },
    'execution-requested': requestExecution,
    'execution-abandoned': abandonExecution,
    'execution-finished': finishExecution,
    'adapter-order-finished': finishOrder,
    'server-reported': takeReport,
    'timer-fired': (state, {timer}, turn) => {
      const [kind = '', name = ''] = splitOnce(timer);
      timerHandlers[kind]?.(state, name, turn);
    },
  },
  messageHandlers: {
    'load-granted': (state, message, _sender, turn) => {
      startGrantedLoad(state, message, turn);
    },
    'adapter-wanted': (state, {server, wanted}, _sender, turn) => {
      const owned = state.residency.servers.get(server);
      if (owned && !owned.leaving) {
        wantAdapter(state, owned, wanted, true, turn);
      }
    },
    'summary-wanted': (state, {server}, sender, turn) => {
      subscribeHome(state, server, sender.host, turn);
    },
  },
};

type TimerHandler = (state: CoreState, name: string, turn: Turn) => void;

/** Handlers by the first part of a timer's name. */
const timerHandlers: Readonly<Record<string, TimerHandler>> = {
  execution: expireExecution,
  report: (state, server, turn) => {
    const owned = state.residency.servers.get(server);
    if (owned) {
      repeatLoadRequests(state, owned, turn);
      resumeWork(state, server, turn);
      announceServer(state, owned, turn);
      scheduleReports(owned, turn);
    }
  },
};

/** Goes on with what a change from outside may have made possible. */
const resumeWork = (state: CoreState, server: string, turn: Turn): void => {
  const owned = state.residency.servers.get(server);
  if (owned) {
    dispatchWaiting(state, owned, turn);
    pursueLoads(state, owned, turn);
  }
};

const splitOnce = (timer: string): readonly string[] => {
  const at = timer.indexOf('/');
  return [timer.slice(0, at), timer.slice(at + 1)];
};
