import {currentEpoch} from '../calls/selectors.js';
import type {Refusal} from '../refusal.js';
import type {CoreState} from '../state.js';
import type {StoreResult} from '../store.js';
import type {Turn} from '../turn.js';
import type {WorkEntry, WriteStep} from './state.js';
import {forgetEntry, workRefusal} from './work-answers.js';
import {
  fitsInline,
  MAXIMUM_TEXT_BYTES,
  splitText,
  type ResultRecord,
} from './work-record.js';
import {retryStep, startStep, takeStepResult} from './write-steps.js';

/** How a piece of work ended. */
export type WorkEnd =
  | {readonly kind: 'answer'; readonly answer: string}
  | {readonly kind: 'failure'; readonly refusal: Refusal};

/**
 * Stores the result of work, then removes the work. Tries again while this
 * host lives; another host finds the work again if it dies meanwhile.
 */
export const finishWork = (
  state: CoreState,
  entry: WorkEntry,
  ended: WorkEnd,
  turn: Turn,
): void => {
  entry.phase = 'finishing';
  entry.body = undefined;
  entry.writtenParts = [];
  entry.failures = 0;
  entry.steps = [
    ...resultSteps(state, entry, ended, turn),
    {kind: 'delete-work'},
    ...bodyPartDeletions(entry),
  ];
  startStep(state, entry, turn);
};

/** Goes on after a write of a result. */
export const finishingAnswered = (
  state: CoreState,
  entry: WorkEntry,
  result: StoreResult,
  turn: Turn,
): void => {
  const step = takeStepResult(state, entry, result);
  if (step.kind === 'failed') {
    retryStep(entry, step.retryAfterMs, turn);
  } else if (step.kind === 'superseded' || entry.steps.length === 0) {
    forgetEntry(state, entry, turn);
  } else {
    startStep(state, entry, turn);
  }
};

const resultSteps = (
  state: CoreState,
  entry: WorkEntry,
  ended: WorkEnd,
  turn: Turn,
): WriteStep[] => {
  const create = (outcome: ResultRecord['outcome']): WriteStep => ({
    kind: 'create-result',
    result: {
      member: entry.request.member,
      epoch: currentEpoch(state, turn.at),
      outcome,
    },
  });
  if (ended.kind === 'failure') {
    return [create({kind: 'failed', refusal: ended.refusal})];
  }
  const {answer} = ended;
  if (fitsInline(answer)) {
    return [create({kind: 'done', answer: {kind: 'inline', text: answer}})];
  }
  if (Buffer.byteLength(answer) > MAXIMUM_TEXT_BYTES) {
    const detail = `the work ran; its answer exceeds ${MAXIMUM_TEXT_BYTES} bytes`;
    const refusal = workRefusal('answer-not-kept', false, detail);
    return [create({kind: 'failed', refusal})];
  }
  // The incarnation keeps the parts of two hosts that ran it apart.
  const run = `${state.identity.incarnation}.${state.deferred.sequence++}`;
  return [
    ...splitText(answer).map((value, index): WriteStep => ({
      kind: 'create-part',
      name: `${entry.name}.answer.${run}.${index}`,
      value,
    })),
    create({kind: 'done', answer: {kind: 'parts', parts: []}}),
  ];
};

const bodyPartDeletions = ({storedBody}: WorkEntry): WriteStep[] =>
  storedBody.kind === 'inline'
    ? []
    : storedBody.parts.map((part) => ({kind: 'delete-part', part}));
