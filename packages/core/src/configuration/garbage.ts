import type {CoreState} from '../state.js';
import type {StoreOperation, StoreRespondedEvent} from '../store.js';
import type {Turn} from '../turn.js';
import {PART_KIND} from './head.js';

/** Milliseconds after which a call counts as lost. */
const CALL_TIMEOUT_MS = 3_000;

/**
 * Deletes parts that no remembered revision refers to. A part that is left
 * behind by a lost call costs space only.
 */
export const deleteParts = (names: readonly string[], turn: Turn): void => {
  for (const name of names) {
    call(name, {type: 'get', kind: PART_KIND, name}, turn);
  }
};

/** Deletes a part at the version that its read returned. */
export const garbageReadAnswered = (
  _state: CoreState,
  {result}: StoreRespondedEvent,
  turn: Turn,
): void => {
  if (result.type === 'found') {
    const {kind, name, version} = result.object;
    call(name, {type: 'delete', kind, name, expectedVersion: version}, turn);
  }
};

const call = (name: string, operation: StoreOperation, turn: Turn): void => {
  turn.perform({
    type: 'store-request',
    area: 'configuration',
    correlation: `garbage/${name}`,
    operation,
    timeoutMs: CALL_TIMEOUT_MS,
  });
};
