import {describeServer} from '../membership/selectors.js';
import {fencingNumberOf, mayAct} from '../ownership/selectors.js';
import type {FailureCode} from '../refusal.js';
import type {PriorityClass} from '../request.js';
import type {CoreState} from '../state.js';
import type {Turn} from '../turn.js';
import {enqueueReady, forgetExecution} from './queues.js';
import type {Execution, OwnedServer, Slot} from './state.js';
import {PRIORITY_CLASSES} from './urgency.js';

/** Share of a server's positions that only urgent requests may fill. */
const URGENT_RESERVE = 0.1;

const ENGINE_PRIORITY: Readonly<Record<PriorityClass, number>> = {
  urgent: 0,
  standard: 10,
  deferrable: 20,
};

const REFUSAL_DETAIL: Partial<Record<FailureCode, string>> = {
  'ownership-lost': 'this host no longer owns the server',
  'no-server': 'the server takes no new work',
  timeout: 'the deadline passed before the request could run',
  'load-failed': 'the adapter could not be loaded',
};

/** Sends waiting requests while there are positions and ownership holds. */
export const dispatchWaiting = (
  state: CoreState,
  owned: OwnedServer,
  turn: Turn,
): void => {
  const positions = describeServer(state, owned.server)?.batchPositions ?? 0;
  for (const priorityClass of PRIORITY_CLASSES) {
    const queue = owned.ready[priorityClass];
    const limit = positionsFor(priorityClass, positions);
    while (queue.length > 0 && owned.running < limit) {
      if (!mayAct(state, owned.server, turn.at)) {
        return;
      }
      const execution = queue.shift();
      if (execution) {
        dispatch(state, owned, execution, turn);
      }
    }
  }
};

/** Positions that requests of a class may fill. */
export const positionsFor = (
  priorityClass: PriorityClass,
  positions: number,
): number =>
  priorityClass === 'urgent'
    ? positions
    : positions - Math.floor(positions * URGENT_RESERVE);

/** Confirms a slot and sends what waited for it. */
export const confirmSlot = (
  state: CoreState,
  owned: OwnedServer,
  slot: Slot,
  turn: Turn,
): void => {
  slot.state = 'ready';
  slot.changedMs = turn.at.monotonicMs;
  const waiting = owned.waiting.get(slot.key) ?? [];
  owned.waiting.delete(slot.key);
  for (const execution of waiting) {
    enqueueReady(owned, execution, turn.at.monotonicMs);
  }
  dispatchWaiting(state, owned, turn);
};

/** Refuses the executions that wait for an adapter; nothing was sent. */
export const refuseStalled = (
  state: CoreState,
  owned: OwnedServer,
  key: string,
  code: FailureCode,
  turn: Turn,
): void => {
  for (const execution of [...(owned.waiting.get(key) ?? [])]) {
    refuseExecution(state, execution, code, turn);
  }
};

/** Refuses every execution that has not been sent. */
export const refuseUnsent = (
  state: CoreState,
  owned: OwnedServer,
  code: FailureCode,
  turn: Turn,
): void => {
  const unsent = [
    ...[...owned.waiting.values()].flat(),
    ...Object.values(owned.ready).flat(),
  ];
  for (const execution of unsent) {
    refuseExecution(state, execution, code, turn);
  }
};

/** Ends a waiting execution with a refusal that says "not run". */
export const refuseExecution = (
  state: CoreState,
  execution: Execution,
  code: FailureCode,
  turn: Turn,
): void => {
  forgetExecution(state, execution);
  cancelDeadline(execution.executionId, turn);
  sendRefusal(execution.executionId, code, turn);
};

/** Refuses an execution that was never taken in. */
export const sendRefusal = (
  executionId: string,
  code: FailureCode,
  turn: Turn,
): void => {
  const detail = REFUSAL_DETAIL[code] ?? 'the server cannot run the request';
  const refusal = {code, notRun: true, detail};
  turn.perform({type: 'refuse-execution', executionId, refusal});
};

/** Withdraws the timer of an execution's deadline. */
export const cancelDeadline = (executionId: string, turn: Turn): void => {
  const timer = `execution/${executionId}`;
  turn.perform({type: 'cancel-timer', area: 'residency', timer});
};

const dispatch = (
  state: CoreState,
  owned: OwnedServer,
  execution: Execution,
  turn: Turn,
): void => {
  const nowMs = turn.at.monotonicMs;
  const {priorityClass} = execution.request;
  execution.state = 'running';
  execution.dispatchedMs = nowMs;
  owned.running += 1;
  owned.waitingByClass[priorityClass] -= 1;
  const {slot} = execution;
  if (slot) {
    slot.queued -= 1;
    slot.running += 1;
    slot.uses += 1;
    slot.lastUsedMs = nowMs;
  }
  cancelDeadline(execution.executionId, turn);
  turn.perform({
    type: 'observe-metric',
    metric: 'load_stall_seconds',
    value: execution.stalled ? (nowMs - execution.arrivedMs) / 1_000 : 0,
    labels: {class: priorityClass},
  });
  turn.perform({
    type: 'dispatch-execution',
    executionId: execution.executionId,
    server: owned.server,
    fencingNumber: fencingNumberOf(state, owned.server),
    enginePriority: ENGINE_PRIORITY[priorityClass],
  });
};
