import {currentEpoch} from '../calls/selectors.js';
import {parseJson} from '../lib/parse-json.js';
import type {CoreState} from '../state.js';
import type {StoredObject, StoreOperation, StoreResult} from '../store.js';
import type {Turn} from '../turn.js';
import {PART_KIND, RESULT_KIND, resultRecordSchema} from './work-record.js';

/** Epochs, of an hour at least, for which a result is kept. */
export const RESULT_RETENTION_EPOCHS = 72;
/** Epochs by which a result's own epoch may be behind when it is made. */
const EPOCH_MARGIN = 2;
const CLEAN_UP_INTERVAL_MS = 5_000;

/** Begins a pass over the results with each epoch. */
export const startCleanUp = (state: CoreState, turn: Turn): void => {
  if (!state.deferred.cleanUp.active) {
    state.deferred.cleanUp.begin(state);
  }
  setTimer(turn);
};

/** Lists the next page of results of this host's share. */
export const continueCleanUp = (state: CoreState, turn: Turn): void => {
  const operation = state.deferred.cleanUp.next();
  if (operation !== undefined) {
    setTimer(turn);
    state.deferred.store.start(turn, {kind: 'clean-up-list'}, operation);
  }
};

/** Deletes the expired results of a page. */
export const cleanUpListed = (
  state: CoreState,
  result: StoreResult,
  turn: Turn,
): void => {
  const epoch = currentEpoch(state, turn.at);
  if (result.type !== 'listed' || epoch === 0) {
    return;
  }
  state.deferred.cleanUp.listed(result.objects);
  for (const object of result.objects) {
    for (const operation of cleanUpOperations(object, epoch)) {
      state.deferred.store.start(turn, {kind: 'clean-up-write'}, operation);
    }
  }
};

const cleanUpOperations = (
  {kind, name, version, value}: StoredObject,
  epoch: number,
): StoreOperation[] => {
  const record = parseJson(resultRecordSchema, value);
  if (record === undefined) {
    return [];
  }
  const target = {kind, name, expectedVersion: version};
  if (record.epoch === 0) {
    const stamped = JSON.stringify({...record, epoch});
    return [{type: 'update', ...target, value: stamped}];
  }
  if (record.epoch + RESULT_RETENTION_EPOCHS + EPOCH_MARGIN > epoch) {
    return [];
  }
  const {outcome} = record;
  const parts =
    outcome.kind === 'done' && outcome.answer.kind === 'parts'
      ? outcome.answer.parts
      : [];
  return [
    ...parts.map((part): StoreOperation => ({
      type: 'delete',
      kind: PART_KIND,
      name: part.name,
      expectedVersion: part.version,
    })),
    {type: 'delete', ...target, kind: RESULT_KIND},
  ];
};

const setTimer = (turn: Turn): void => {
  turn.perform({
    type: 'set-timer',
    area: 'deferred',
    timer: 'clean-up/next',
    delayMs: CLEAN_UP_INTERVAL_MS,
  });
};
