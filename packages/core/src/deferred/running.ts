import type {Refusal} from '../refusal.js';
import type {CoreState} from '../state.js';
import type {StoreResult} from '../store.js';
import type {Turn} from '../turn.js';
import type {WorkFinishedEvent} from './events.js';
import {finishWork} from './results.js';
import type {DeferredPurpose, TextRead, WorkEntry} from './state.js';
import {workRefusal} from './work-answers.js';
import {joinText, PART_KIND} from './work-record.js';
import {workRemainingMs} from './write-steps.js';

/**
 * Model requests that one host has in progress for work that can wait, held
 * ones included: the homes see them all, and batch them.
 */
const MAXIMUM_RUNNING = 512;
/** Bytes of their bodies, which the host keeps in memory meanwhile. */
const MAXIMUM_RUNNING_BYTES = 33_554_432;
const RUN_RETRY_MS = 2_000;
const FIRST_SUCCESS_STATUS = 200;
const FIRST_OTHER_STATUS = 300;

/** Makes stored work wait for its turn on this host. */
export const queueWork = (
  state: CoreState,
  entry: WorkEntry,
  turn: Turn,
): void => {
  entry.phase = 'queued';
  turn.perform({
    type: 'set-timer',
    area: 'deferred',
    timer: `deadline/${entry.name}`,
    delayMs: Math.max(0, workRemainingMs(entry, turn.at)),
  });
  startWaiting(state, turn);
  if (isWaiting(entry) && entry.storedBody.kind === 'parts') {
    entry.body = undefined;
  }
};

/** Starts queued work, least remaining time first, while there is room. */
export const startWaiting = (state: CoreState, turn: Turn): void => {
  const {deferred} = state;
  while (deferred.running < MAXIMUM_RUNNING) {
    const next = mostUrgent(state, turn);
    if (next === undefined || !hasRoomFor(state, next)) {
      return;
    }
    deferred.running += 1;
    deferred.runningBytes += next.bodyBytes;
    if (next.body !== undefined) {
      run(next, next.body, turn);
    } else if (next.storedBody.kind === 'inline') {
      run(next, next.storedBody.text, turn);
    } else {
      next.phase = 'reading';
      readBody(state, next, {parts: next.storedBody.parts, values: []}, turn);
    }
  }
};

/** Takes a part of a body, and runs the work when it is whole. */
export const bodyPartRead = (
  state: CoreState,
  {name, read}: Extract<DeferredPurpose, {kind: 'body-part'}>,
  result: StoreResult,
  turn: Turn,
): void => {
  const entry = state.deferred.entries.get(name);
  if (entry?.phase !== 'reading') {
    return;
  }
  if (result.type === 'found') {
    const values = [...read.values, result.object.value];
    readBody(state, entry, {parts: read.parts, values}, turn);
    return;
  }
  releasePosition(state, entry);
  if (result.type === 'missing') {
    const detail = 'a part of the body is missing from the store';
    finishWork(state, entry, failure('internal', detail), turn);
  } else {
    runLater(entry, turn);
  }
  startWaiting(state, turn);
};

/** Stores the result of work, or runs it again later. */
export const workFinished = (
  state: CoreState,
  {requestId, outcome, answer}: WorkFinishedEvent,
  turn: Turn,
): void => {
  const name = state.deferred.names.get(requestId) ?? '';
  const entry = state.deferred.entries.get(name);
  if (entry?.phase !== 'running') {
    return;
  }
  releasePosition(state, entry);
  if (outcome.kind === 'answered') {
    const succeeded =
      outcome.status >= FIRST_SUCCESS_STATUS &&
      outcome.status < FIRST_OTHER_STATUS;
    const detail = `the engine answered with status ${outcome.status}`;
    finishWork(
      state,
      entry,
      succeeded && answer !== undefined
        ? {kind: 'answer', answer}
        : failure('upstream-failed', detail),
      turn,
    );
  } else if (FINAL_CODES.has(outcome.refusal.code)) {
    finishWork(state, entry, {kind: 'failure', refusal: outcome.refusal}, turn);
  } else {
    runLater(entry, turn, outcome.refusal.retryAfterMs);
  }
  startWaiting(state, turn);
};

/** Lets work run again whose retry delay is over. */
export const retryWork = (state: CoreState, name: string, turn: Turn): void => {
  const entry = state.deferred.entries.get(name);
  if (entry !== undefined) {
    entry.delayed = false;
    startWaiting(state, turn);
  }
};

/** Reports work as failed whose deadline passes while it waits. */
export const expireWork = (
  state: CoreState,
  name: string,
  turn: Turn,
): void => {
  const entry = state.deferred.entries.get(name);
  if (entry === undefined || !EXPIRING_PHASES.has(entry.phase)) {
    return;
  }
  if (entry.phase !== 'queued') {
    releasePosition(state, entry);
  }
  const detail = 'the deadline passed before the work was done';
  finishWork(state, entry, failure('timeout', detail), turn);
  startWaiting(state, turn);
};

/** Refusals that a later attempt would meet again. */
const FINAL_CODES: ReadonlySet<Refusal['code']> = new Set([
  'malformed-request',
  'unknown-adapter',
  'unknown-version',
  'retired-adapter',
  'body-too-large',
  'timeout',
  'deadline-too-short',
]);

const EXPIRING_PHASES: ReadonlySet<WorkEntry['phase']> = new Set([
  'queued',
  'reading',
  'running',
]);

const failure = (
  code: Refusal['code'],
  detail: string,
): {readonly kind: 'failure'; readonly refusal: Refusal} => ({
  kind: 'failure',
  refusal: workRefusal(code, false, detail),
});

const hasRoomFor = ({deferred}: CoreState, {bodyBytes}: WorkEntry): boolean =>
  deferred.running === 0 ||
  deferred.runningBytes + bodyBytes <= MAXIMUM_RUNNING_BYTES;

const releasePosition = (
  {deferred}: CoreState,
  {bodyBytes}: WorkEntry,
): void => {
  deferred.running -= 1;
  deferred.runningBytes -= bodyBytes;
};

const isWaiting = (entry: WorkEntry): boolean =>
  entry.phase === 'queued' && !entry.delayed;

const mostUrgent = (state: CoreState, turn: Turn): WorkEntry | undefined => {
  let best: WorkEntry | undefined;
  let leastMs = Infinity;
  for (const entry of state.deferred.entries.values()) {
    const leftMs = isWaiting(entry)
      ? workRemainingMs(entry, turn.at)
      : Infinity;
    if (leftMs < leastMs) {
      leastMs = leftMs;
      best = entry;
    }
  }
  return best;
};

const run = (entry: WorkEntry, body: string, turn: Turn): void => {
  entry.phase = 'running';
  entry.body = undefined;
  turn.perform({
    type: 'run-work',
    request: entry.request,
    body,
    remainingMs: Math.max(0, Math.floor(workRemainingMs(entry, turn.at))),
  });
};

const runLater = (
  entry: WorkEntry,
  turn: Turn,
  delayMs = RUN_RETRY_MS,
): void => {
  entry.phase = 'queued';
  entry.delayed = true;
  turn.perform({
    type: 'set-timer',
    area: 'deferred',
    timer: `retry/${entry.name}`,
    delayMs: Math.max(delayMs, RUN_RETRY_MS),
  });
};

/** Reads the next part of a body, or runs the work when it is whole. */
const readBody = (
  state: CoreState,
  entry: WorkEntry,
  read: TextRead,
  turn: Turn,
): void => {
  const part = read.parts[read.values.length];
  if (part === undefined) {
    run(entry, joinText(read.values), turn);
    return;
  }
  state.deferred.store.start(
    turn,
    {kind: 'body-part', name: entry.name, read},
    {type: 'get', kind: PART_KIND, name: part.name},
  );
};
