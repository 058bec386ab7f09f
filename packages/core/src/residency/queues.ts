import {adapterVersionKey} from '../identifiers.js';
import type {PriorityClass} from '../request.js';
import type {CoreState} from '../state.js';
import type {Turn} from '../turn.js';
import type {ExecutionRequestedEvent} from './events.js';
import type {Execution, OwnedServer} from './state.js';

/** Remaining time below which deferrable work queues as standard. */
const PRESSED_MS = 60_000;

/** Makes the record of a request that arrived now. */
export const toExecution = (
  event: ExecutionRequestedEvent,
  turn: Turn,
): Execution => ({
  executionId: event.executionId,
  request: event.request,
  key: adapterVersionKey(event.request),
  server: event.server,
  from: event.from,
  deadlineMs: turn.at.monotonicMs + event.remainingMs,
  arrivedMs: turn.at.monotonicMs,
  resume: event.resumeOffsetBytes !== undefined,
  queueClass: event.request.priorityClass,
  state: 'waiting',
  dispatchedMs: 0,
  stalled: false,
  slot: undefined,
});

/** Queues a request whose adapter is ready, earliest deadline first. */
export const enqueueReady = (
  owned: OwnedServer,
  execution: Execution,
  nowMs: number,
): void => {
  execution.queueClass = queueClassOf(execution, nowMs);
  const queue = owned.ready[execution.queueClass];
  execution.slot = owned.slots.get(execution.key);
  if (execution.slot) {
    execution.slot.queued += 1;
  }
  let index = queue.length;
  while (index > 0) {
    const before = queue[index - 1];
    if (!before || before.deadlineMs <= execution.deadlineMs) {
      break;
    }
    index -= 1;
  }
  queue.splice(index, 0, execution);
};

/** Queues a request that waits for its adapter to load. */
export const enqueueStalled = (
  owned: OwnedServer,
  execution: Execution,
): void => {
  execution.stalled = true;
  const queue = owned.waiting.get(execution.key);
  if (queue) {
    queue.push(execution);
  } else {
    owned.waiting.set(execution.key, [execution]);
  }
};

/** Takes an execution out of every index. */
export const forgetExecution = (
  state: CoreState,
  execution: Execution,
): void => {
  state.residency.executions.delete(execution.executionId);
  unpin(execution);
  const owned = state.residency.servers.get(execution.server);
  if (!owned) {
    return;
  }
  if (execution.state === 'running') {
    owned.running -= 1;
    return;
  }
  const {priorityClass} = execution.request;
  owned.waitingByClass[priorityClass] -= 1;
  removeFrom(owned.ready[execution.queueClass], execution);
  const waiting = owned.waiting.get(execution.key);
  if (waiting) {
    removeFrom(waiting, execution);
    if (waiting.length === 0) {
      owned.waiting.delete(execution.key);
    }
  }
};

/** Releases the slot that an execution pins. */
export const unpin = (execution: Execution): void => {
  const {slot} = execution;
  execution.slot = undefined;
  if (slot) {
    slot[execution.state === 'running' ? 'running' : 'queued'] -= 1;
  }
};

/** Work that can wait no longer queues as work that can wait a little. */
const queueClassOf = (
  {request, deadlineMs}: Execution,
  nowMs: number,
): PriorityClass =>
  request.priorityClass === 'deferrable' && deadlineMs - nowMs < PRESSED_MS
    ? 'standard'
    : request.priorityClass;

const removeFrom = (queue: Execution[], execution: Execution): void => {
  const index = queue.indexOf(execution);
  if (index >= 0) {
    queue.splice(index, 1);
  }
};
