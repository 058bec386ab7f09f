import type {CoreState} from '../state.js';
import type {Turn} from '../turn.js';
import {wantAdapter} from './loads.js';
import {enqueueStalled, unpin} from './queues.js';
import type {OwnedServer, Slot} from './state.js';
import {announceSlot} from './summaries.js';
import {PRIORITY_CLASSES} from './urgency.js';

/** The engine no longer holds a slot: what waited for it needs a load. */
export const loseSlot = (
  state: CoreState,
  owned: OwnedServer,
  slot: Slot,
  turn: Turn,
): void => {
  owned.slots.delete(slot.key);
  stallReady(state, owned, slot.key, turn);
  announceSlot(state, owned, slot, turn);
};

/** The engine denied a slot that was thought to be ready. */
export const doubtSlot = (
  state: CoreState,
  owned: OwnedServer,
  slot: Slot,
  turn: Turn,
): void => {
  slot.state = 'unknown';
  slot.changedMs = turn.at.monotonicMs;
  stallReady(state, owned, slot.key, turn);
  turn.perform({type: 'read-server-report', server: owned.server});
};

/** Moves executions back that were to be sent to a slot. */
const stallReady = (
  state: CoreState,
  owned: OwnedServer,
  key: string,
  turn: Turn,
): void => {
  for (const priorityClass of PRIORITY_CLASSES) {
    const queue = owned.ready[priorityClass];
    const moved = queue.filter((one) => one.key === key && !one.resume);
    if (moved.length > 0) {
      owned.ready[priorityClass] = queue.filter((one) => !moved.includes(one));
      for (const execution of moved) {
        unpin(execution);
        enqueueStalled(owned, execution);
        wantAdapter(state, owned, execution.request, false, turn);
      }
    }
  }
};
