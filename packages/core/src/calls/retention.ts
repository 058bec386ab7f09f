import {z} from 'zod';

import {elapsedMs, type Instant} from '../instant.js';
import {parseJson} from '../lib/parse-json.js';
import {homeOf} from '../membership/selectors.js';
import type {CoreState} from '../state.js';
import type {StoredObject, StoreRespondedEvent, StoreResult} from '../store.js';
import type {Turn} from '../turn.js';
import {CLAIM_KIND, parseClaim} from './claim-record.js';

/**
 * Epochs that a claim outlives. Epochs last an hour at least, as measured by
 * the host that ends one, so no clocks of different hosts are compared.
 */
export const RETENTION_EPOCHS = 24;
/** Epochs by which a claim's own epoch may be behind when it is made. */
const EPOCH_MARGIN = 2;
export const EPOCH_MS = 3_600_000;
const EPOCH_POLL_MS = 1_200_000;
const EPOCH_KIND = 'call-epoch';
const EPOCH_NAME = 'current';

const CLEAN_UP_INTERVAL_MS = 5_000;

const epochSchema = z.object({epoch: z.number().int().positive()});

/** The epoch for a new claim; zero when it is not known well enough. */
export const currentEpoch = (state: CoreState, at: Instant): number => {
  const {known} = state.calls.retention;
  return known !== undefined && elapsedMs(known.lastSeenAt, at) < EPOCH_MS
    ? known.epoch
    : 0;
};

/** Starts to follow the epoch. */
export const startRetention = (state: CoreState, turn: Turn): void => {
  setPollTimer(turn, state.calls.retention.phaseMs);
};

/** Reads the epoch again. */
export const pollEpoch = (state: CoreState, turn: Turn): void => {
  setPollTimer(turn, EPOCH_POLL_MS);
  state.calls.store.start(
    turn,
    {kind: 'epoch-read'},
    {type: 'get', kind: EPOCH_KIND, name: EPOCH_NAME},
  );
};

/** Takes over the epoch that was read, and ends it when it is over. */
export const epochRead = (
  state: CoreState,
  {result, sentAt}: StoreRespondedEvent,
  turn: Turn,
): void => {
  const isKeeper = homeOf(state, EPOCH_KIND) === state.settings.host;
  if (result.type === 'found') {
    takeEpoch(state, result.object, sentAt, turn);
    const {known} = state.calls.retention;
    if (
      isKeeper &&
      known !== undefined &&
      shortestElapsedMs(known.firstSeenAt, turn.at) >= EPOCH_MS
    ) {
      writeEpoch(state, known.epoch + 1, known.version, turn);
    }
  } else if (result.type === 'missing' && isKeeper) {
    writeEpoch(state, 1, 0, turn);
  }
};

/** Takes over the epoch that this host began. */
export const epochWritten = (
  state: CoreState,
  epoch: number,
  {result, sentAt}: StoreRespondedEvent,
  turn: Turn,
): void => {
  if (result.type === 'written') {
    setEpoch(state, epoch, result.version, sentAt, turn);
  }
};

/** Lists the next page of claims of this host's share. */
export const continueCleanUp = (state: CoreState, turn: Turn): void => {
  const operation = state.calls.retention.sweep.next();
  if (operation !== undefined) {
    setCleanUpTimer(turn);
    state.calls.store.start(turn, {kind: 'clean-up-list'}, operation);
  }
};

/** Deletes the expired claims of a page. */
export const cleanUpListed = (
  state: CoreState,
  result: StoreResult,
  turn: Turn,
): void => {
  if (result.type === 'listed') {
    state.calls.retention.sweep.listed(result.objects);
    for (const object of result.objects) {
      cleanUp(state, object, turn);
    }
  }
};

const takeEpoch = (
  state: CoreState,
  object: StoredObject,
  sentAt: Instant,
  turn: Turn,
): void => {
  const epoch = parseJson(epochSchema, object.value)?.epoch;
  const {known} = state.calls.retention;
  if (epoch === undefined || epoch < (known?.epoch ?? 0)) {
    return;
  }
  if (known?.epoch === epoch) {
    known.lastSeenAt = sentAt;
    return;
  }
  setEpoch(state, epoch, object.version, sentAt, turn);
};

const setEpoch = (
  state: CoreState,
  epoch: number,
  version: number,
  sentAt: Instant,
  turn: Turn,
): void => {
  const {retention} = state.calls;
  retention.known = {
    epoch,
    version,
    firstSeenAt: sentAt,
    lastSeenAt: sentAt,
  };
  if (!retention.sweep.active) {
    retention.sweep.begin(state);
  }
  turn.raise({type: 'epoch-began', epoch});
  setCleanUpTimer(turn);
};

const writeEpoch = (
  state: CoreState,
  epoch: number,
  expectedVersion: number,
  turn: Turn,
): void => {
  const target = {
    kind: EPOCH_KIND,
    name: EPOCH_NAME,
    value: JSON.stringify({epoch}),
  };
  state.calls.store.start(
    turn,
    {kind: 'epoch-write', epoch},
    expectedVersion === 0
      ? {type: 'create', ...target}
      : {type: 'update', ...target, expectedVersion},
  );
};

const cleanUp = (state: CoreState, object: StoredObject, turn: Turn): void => {
  const record = parseClaim(object);
  const epoch = state.calls.retention.known?.epoch ?? 0;
  const target = {
    kind: CLAIM_KIND,
    name: object.name,
    expectedVersion: object.version,
  };
  if (record === undefined || epoch === 0) {
    return;
  }
  if (record.epoch === 0) {
    const value = JSON.stringify({...record, epoch});
    state.calls.store.start(
      turn,
      {kind: 'clean-up-write'},
      {type: 'update', ...target, value},
    );
  } else if (record.epoch + RETENTION_EPOCHS + EPOCH_MARGIN <= epoch) {
    state.calls.store.start(
      turn,
      {kind: 'clean-up-write'},
      {type: 'delete', ...target},
    );
  }
};

/** The least time that can have passed, whatever became of either clock. */
const shortestElapsedMs = (from: Instant, to: Instant): number =>
  Math.min(to.monotonicMs - from.monotonicMs, to.wallMs - from.wallMs);

const setPollTimer = (turn: Turn, delayMs: number): void => {
  turn.perform({
    type: 'set-timer',
    area: 'calls',
    timer: 'epoch/poll',
    delayMs,
  });
};

const setCleanUpTimer = (turn: Turn): void => {
  turn.perform({
    type: 'set-timer',
    area: 'calls',
    timer: 'clean-up/next',
    delayMs: CLEAN_UP_INTERVAL_MS,
  });
};
