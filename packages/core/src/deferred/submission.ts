import {currentEpoch} from '../calls/selectors.js';
import type {Refusal} from '../refusal.js';
import type {CoreState} from '../state.js';
import type {StoreResult} from '../store.js';
import type {Turn} from '../turn.js';
import type {WorkSubmittedEvent} from './events.js';
import {queueWork} from './running.js';
import {MAXIMUM_ENTRIES, type WorkEntry, type WriteStep} from './state.js';
import {
  acceptWork,
  addEntry,
  forgetEntry,
  performRefusal,
  refuseWork,
  workRefusal,
} from './work-answers.js';
import {
  fitsInline,
  MAXIMUM_TEXT_BYTES,
  splitText,
  workName,
} from './work-record.js';
import {retryStep, startStep, takeStepResult} from './write-steps.js';

const MINIMUM_REMAINING_MS = 1_000;
/** Writes without a result after which the submitter is told so. */
const MAXIMUM_STORE_FAILURES = 3;
const OVERLOADED_RETRY_AFTER_MS = 30_000;
const STORE_RETRY_AFTER_MS = 2_000;

/** Stores submitted work, or refuses it. */
export const submitWork = (
  state: CoreState,
  event: WorkSubmittedEvent,
  turn: Turn,
): void => {
  const refusal = judgeSubmission(state, event);
  if (refusal !== undefined) {
    performRefusal(event.request.requestId, refusal, turn);
    return;
  }
  const entry = createEntry(state, event, turn);
  addEntry(state, entry);
  startStep(state, entry, turn);
};

/** Goes on after a write of work that is not accepted yet. */
export const storingAnswered = (
  state: CoreState,
  entry: WorkEntry,
  result: StoreResult,
  turn: Turn,
): void => {
  const step = takeStepResult(state, entry, result);
  if (step.kind === 'done') {
    if (entry.steps.length > 0) {
      startStep(state, entry, turn);
      return;
    }
    if (entry.storedBody.kind === 'parts') {
      entry.storedBody = {kind: 'parts', parts: entry.writtenParts};
    }
    acceptWork(entry, turn);
    queueWork(state, entry, turn);
  } else if (step.kind === 'superseded') {
    refuseWork(entry, supersededRefusal(entry), turn);
    forgetEntry(state, entry, turn);
  } else {
    handleStoreFailure(state, entry, step.retryAfterMs, turn);
  }
};

/** Its object is another's, or was taken over while it was being stored. */
const supersededRefusal = ({version}: WorkEntry): Refusal =>
  version === undefined
    ? workRefusal('malformed-request', true, 'the identity is in use')
    : workRefusal('store-unavailable', true, 'storing took too long');

const judgeSubmission = (
  state: CoreState,
  {request, body, remainingMs}: WorkSubmittedEvent,
): Refusal | undefined => {
  if (remainingMs < MINIMUM_REMAINING_MS) {
    const detail = `the deadline is less than ${MINIMUM_REMAINING_MS} ms away`;
    return workRefusal('deadline-too-short', true, detail);
  }
  if (Buffer.byteLength(body) > MAXIMUM_TEXT_BYTES) {
    const detail = `a body may have ${MAXIMUM_TEXT_BYTES} bytes`;
    return workRefusal('body-too-large', true, detail);
  }
  if (state.deferred.entries.size >= MAXIMUM_ENTRIES) {
    const detail = 'this host holds as much work as it may';
    return workRefusal('overloaded', true, detail, OVERLOADED_RETRY_AFTER_MS);
  }
  return state.deferred.names.has(request.requestId)
    ? workRefusal('in-progress', false, 'the work is accepted already')
    : undefined;
};

const createEntry = (
  state: CoreState,
  {request, body, remainingMs}: WorkSubmittedEvent,
  turn: Turn,
): WorkEntry => {
  const name = workName(request.requestId);
  const inline = fitsInline(body);
  return {
    name,
    request,
    takenAt: turn.at,
    limitMs: remainingMs,
    epoch: currentEpoch(state, turn.at),
    phase: 'storing',
    body,
    bodyBytes: Buffer.byteLength(body),
    storedBody: inline
      ? {kind: 'inline', text: body}
      : {kind: 'parts', parts: []},
    version: undefined,
    steps: inline
      ? [{kind: 'create-work', state: 'accepted'}]
      : storeInParts(`${name}.body`, body),
    writtenParts: [],
    answered: false,
    ambiguous: false,
    failures: 0,
    delayed: false,
  };
};

/** The record comes first, so that parts without one are never left behind. */
const storeInParts = (prefix: string, body: string): WriteStep[] => [
  {kind: 'create-work', state: 'storing'},
  ...splitText(body).map((value, index): WriteStep => ({
    kind: 'create-part',
    name: `${prefix}.${index}`,
    value,
  })),
  {kind: 'accept-work'},
];

const handleStoreFailure = (
  state: CoreState,
  entry: WorkEntry,
  retryAfterMs: number,
  turn: Turn,
): void => {
  if (!entry.ambiguous && entry.version === undefined) {
    const detail = 'the store does not answer; nothing was accepted';
    const delayMs = Math.max(retryAfterMs, STORE_RETRY_AFTER_MS);
    refuseWork(
      entry,
      workRefusal('store-unavailable', true, detail, delayMs),
      turn,
    );
    forgetEntry(state, entry, turn);
    return;
  }
  retryStep(entry, retryAfterMs, turn);
  if (entry.failures >= MAXIMUM_STORE_FAILURES) {
    const detail =
      'the store does not say whether the work is stored; ask for its status';
    refuseWork(
      entry,
      workRefusal('outcome-unknown', false, detail, STORE_RETRY_AFTER_MS),
      turn,
    );
  }
};
