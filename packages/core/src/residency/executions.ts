import type {CoreState} from '../state.js';
import type {Turn} from '../turn.js';
import {addDemand} from './demand.js';
import {
  cancelDeadline,
  dispatchWaiting,
  refuseExecution,
  sendRefusal,
} from './dispatch.js';
import type {
  ExecutionAbandonedEvent,
  ExecutionFinishedEvent,
  ExecutionRequestedEvent,
} from './events.js';
import {pursueLoads, wantAdapter} from './loads.js';
import {
  enqueueReady,
  enqueueStalled,
  forgetExecution,
  toExecution,
} from './queues.js';
import {doubtSlot} from './slots.js';
import {observeServiceTime} from './service-time.js';
import type {Execution, OwnedServer} from './state.js';
import {announceServer} from './summaries.js';
import {missWeight} from './urgency.js';

/** Share of a new measurement in the mean service time. */
const SERVICE_TIME_GAIN = 0.05;

/** Takes a request that arrived for one of this host's servers. */
export const requestExecution = (
  state: CoreState,
  event: ExecutionRequestedEvent,
  turn: Turn,
): void => {
  const {residency} = state;
  const {executionId} = event;
  const isResume = event.resumeOffsetBytes !== undefined;
  const known = residency.executions.get(executionId);
  const owned = residency.servers.get(event.server);
  if (known && !isResume) {
    return;
  }
  if (!owned) {
    sendRefusal(executionId, 'ownership-lost', turn);
    return;
  }
  if (owned.leaving && !isResume) {
    sendRefusal(executionId, 'no-server', turn);
    return;
  }
  if (known) {
    forgetExecution(state, known);
  }
  const execution = toExecution(event, turn);
  residency.executions.set(executionId, execution);
  owned.waitingByClass[execution.request.priorityClass] += 1;
  armDeadline(execution, event.remainingMs, turn);
  enqueue(state, owned, execution, turn);
  dispatchWaiting(state, owned, turn);
  announceServer(state, owned, turn);
};

/** The ingress closed the data path: nothing more is owed to it. */
export const abandonExecution = (
  state: CoreState,
  {executionId}: ExecutionAbandonedEvent,
  turn: Turn,
): void => {
  const execution = state.residency.executions.get(executionId);
  if (!execution) {
    return;
  }
  if (execution.state === 'running') {
    const {server} = execution;
    turn.perform({type: 'cancel-execution', executionId, server});
    return;
  }
  forgetExecution(state, execution);
  cancelDeadline(executionId, turn);
};

/** Books the end of an execution and gives its position to the next. */
export const finishExecution = (
  state: CoreState,
  {executionId, outcome}: ExecutionFinishedEvent,
  turn: Turn,
): void => {
  const execution = state.residency.executions.get(executionId);
  if (!execution) {
    return;
  }
  forgetExecution(state, execution);
  const owned = state.residency.servers.get(execution.server);
  if (!owned) {
    return;
  }
  if (outcome.kind === 'answered') {
    const measuredMs = turn.at.monotonicMs - execution.dispatchedMs;
    const {priorityClass} = execution.request;
    observeServiceTime(owned.serviceTimes[priorityClass], measuredMs);
    owned.serviceMs += SERVICE_TIME_GAIN * (measuredMs - owned.serviceMs);
  }
  const slot = owned.slots.get(execution.key);
  if (
    slot?.state === 'ready' &&
    outcome.kind === 'refused-before-run' &&
    outcome.refusal.code === 'upstream-refused'
  ) {
    doubtSlot(state, owned, slot, turn);
  }
  dispatchWaiting(state, owned, turn);
  pursueLoads(state, owned, turn);
  announceServer(state, owned, turn);
};

/** Refuses an execution that is still waiting at its deadline. */
export const expireExecution = (
  state: CoreState,
  executionId: string,
  turn: Turn,
): void => {
  const execution = state.residency.executions.get(executionId);
  if (execution?.state === 'waiting') {
    refuseExecution(state, execution, 'timeout', turn);
  }
};

const enqueue = (
  state: CoreState,
  owned: OwnedServer,
  execution: Execution,
  turn: Turn,
): void => {
  const {request, key, resume} = execution;
  if (!resume) {
    const weight = missWeight(state, request);
    addDemand(state.residency.demand, key, weight, turn.at.monotonicMs);
  }
  if (resume || owned.slots.get(key)?.state === 'ready') {
    enqueueReady(owned, execution, turn.at.monotonicMs);
    return;
  }
  enqueueStalled(owned, execution);
  wantAdapter(state, owned, request, false, turn);
};

const armDeadline = (
  {executionId}: Execution,
  remainingMs: number,
  turn: Turn,
): void => {
  turn.perform({
    type: 'set-timer',
    area: 'residency',
    timer: `execution/${executionId}`,
    delayMs: Math.max(0, remainingMs),
  });
};
