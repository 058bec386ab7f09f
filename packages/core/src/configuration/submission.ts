import type {CoreState} from '../state.js';
import {elapsedMs, type Instant} from '../instant.js';
import {parseJson} from '../lib/parse-json.js';
import {CONFIGURATION_HEAD} from '../membership/records.js';
import {recordCopy} from '../membership/selectors.js';
import type {StoreOperation, StoreRespondedEvent} from '../store.js';
import type {Turn} from '../turn.js';
import {storedHead} from './adoption.js';
import {deleteParts} from './garbage.js';
import type {SheetSubmittedEvent} from './events.js';
import {
  type ConfigurationHead,
  configurationHeadSchema,
  PART_KIND,
} from './head.js';
import {
  dayOf,
  forgottenParts,
  planHead,
  type PlannedHead,
} from './next-head.js';
import {applyRevision} from './revision.js';
import {parseSheet} from './sheet.js';
import type {SheetResult} from './sheet-result.js';
import {
  conflictWith,
  haveAdaptersChanged,
  planChange,
} from './submission-plan.js';
import type {Submission, SubmittedChange} from './state.js';

/** Milliseconds after which one store call counts as lost. */
const CALL_TIMEOUT_MS = 3_000;

/** Milliseconds after which a change that did not begin to move is given up. */
const SUBMISSION_TIMEOUT_MS = 10_000;

/** Milliseconds after which an unsettled change is reported as unknown. */
const UNSETTLED_TIMEOUT_MS = 30_000;

/** Milliseconds that an operator is told to wait after an outage. */
const RETRY_AFTER_MS = 2_000;

/** Checks a sheet and queues it behind earlier changes. */
export const submitSheet = (
  state: CoreState,
  event: SheetSubmittedEvent,
  turn: Turn,
): void => {
  parseSheet(event.text, dayOf(turn.at)).match(
    (rows) => {
      submitChange(state, {kind: 'sheet', event, rows}, turn);
    },
    (faults) => {
      turn.perform({
        type: 'sheet-result',
        submission: event.submission,
        result: {kind: 'invalid', faults: [...faults]},
      });
    },
  );
};

/** Queues a change behind earlier ones of this host. */
export const submitChange = (
  state: CoreState,
  change: SubmittedChange,
  turn: Turn,
): void => {
  state.configuration.waitingChanges.push(change);
  startNext(state, turn);
};

/** Goes on with a change after time has passed or a revision was taken. */
export const advanceSubmission = (state: CoreState, turn: Turn): void => {
  const {submission, summary} = state.configuration;
  if (submission === undefined) {
    return;
  }
  const ageMs = elapsedMs(submission.startedAt, turn.at);
  const head = storedHead(state);
  if (
    submission.stage === 'adopting' &&
    (summary?.revision ?? 0) >= (head?.revision ?? 0)
  ) {
    proceed(state, submission, head, turn);
  } else if (submission.isUncertain) {
    if (ageMs > UNSETTLED_TIMEOUT_MS) {
      finish(state, submission, {kind: 'outcome-unknown'}, turn);
    } else if (submission.correlation === '') {
      moveHead(state, submission, turn);
    }
  } else if (
    ageMs > SUBMISSION_TIMEOUT_MS &&
    submission.stage !== 'moving-head'
  ) {
    finishUnavailable(state, submission, turn);
  }
};

/** Handles the platform's answer to a call of the change under way. */
export const submissionAnswered = (
  state: CoreState,
  event: StoreRespondedEvent,
  turn: Turn,
): void => {
  const {submission} = state.configuration;
  if (submission === undefined) {
    return;
  }
  if (submission.stage === 'writing-parts') {
    partWritten(state, submission, event, turn);
  } else if (event.correlation === submission.correlation) {
    submission.correlation = '';
    if (submission.stage === 'reading-head') {
      headRead(state, submission, event, turn);
    } else {
      headMoved(state, submission, event, turn);
    }
  }
};

const startNext = (state: CoreState, turn: Turn): void => {
  const {configuration, identity} = state;
  if (configuration.submission !== undefined) {
    return;
  }
  const change = configuration.waitingChanges.shift();
  if (change === undefined) {
    return;
  }
  configuration.sequence += 1;
  const submission: Submission = {
    change,
    nonce: `${identity.incarnation}/${configuration.sequence}`,
    startedAt: turn.at,
    stage: 'reading-head',
    pendingParts: new Set(),
    planned: undefined,
    changes: [],
    headVersion: 0,
    isUncertain: false,
    correlation: '',
  };
  configuration.submission = submission;
  const {kind, name} = CONFIGURATION_HEAD;
  submission.correlation = call(state, {type: 'get', kind, name}, turn);
};

const headRead = (
  state: CoreState,
  submission: Submission,
  {result, sentAt}: StoreRespondedEvent,
  turn: Turn,
): void => {
  if (result.type !== 'found' && result.type !== 'missing') {
    finishUnavailable(state, submission, turn);
    return;
  }
  const {version, value} =
    result.type === 'found' ? result.object : {version: 0, value: undefined};
  submission.stage = 'adopting';
  observeHead(version, value, sentAt, turn);
};

/** Decides about the change against the head, which is in force here. */
const proceed = (
  state: CoreState,
  submission: Submission,
  head: ConfigurationHead | undefined,
  turn: Turn,
): void => {
  const plan = planChange(state, submission, head);
  if ('kind' in plan) {
    finish(state, submission, plan, turn);
    return;
  }
  submission.changes = plan.changes;
  const {kind, name} = CONFIGURATION_HEAD;
  submission.headVersion = recordCopy(state, kind, name)?.version ?? 0;
  submission.planned = planHead(state, head, plan);
  writeParts(state, submission, submission.planned, turn);
};

const writeParts = (
  state: CoreState,
  submission: Submission,
  {newParts}: PlannedHead,
  turn: Turn,
): void => {
  submission.stage = 'writing-parts';
  for (const [name, value] of newParts) {
    submission.pendingParts.add(name);
    turn.perform({
      type: 'store-request',
      area: 'configuration',
      correlation: `submission/part/${name}`,
      operation: {type: 'create', kind: PART_KIND, name, value},
      timeoutMs: CALL_TIMEOUT_MS,
    });
  }
  if (submission.pendingParts.size === 0) {
    moveHead(state, submission, turn);
  }
};

const partWritten = (
  state: CoreState,
  submission: Submission,
  {correlation, result}: StoreRespondedEvent,
  turn: Turn,
): void => {
  const name = correlation.slice('submission/part/'.length);
  if (!submission.pendingParts.has(name)) {
    return;
  }
  // A part of that name holds the same content, whoever created it.
  if (result.type !== 'written' && result.type !== 'conflict') {
    finishUnavailable(state, submission, turn);
    return;
  }
  submission.pendingParts.delete(name);
  if (submission.pendingParts.size === 0) {
    moveHead(state, submission, turn);
  }
};

const moveHead = (
  state: CoreState,
  submission: Submission,
  turn: Turn,
): void => {
  submission.stage = 'moving-head';
  const {kind, name} = CONFIGURATION_HEAD;
  const value = JSON.stringify(submission.planned?.head);
  const expectedVersion = submission.headVersion;
  submission.correlation = call(
    state,
    expectedVersion === 0
      ? {type: 'create', kind, name, value}
      : {type: 'update', kind, name, value, expectedVersion},
    turn,
  );
};

/**
 * A lost answer is settled by repeating the write: it takes effect, or the
 * conflict's head tells by its nonces whether an earlier attempt did.
 */
const headMoved = (
  state: CoreState,
  submission: Submission,
  {result, sentAt}: StoreRespondedEvent,
  turn: Turn,
): void => {
  const {planned} = submission;
  if (planned === undefined) {
    return;
  }
  if (result.type === 'written') {
    const value = JSON.stringify(planned.head);
    observeHead(result.version, value, sentAt, turn);
    accept(state, submission, planned, turn);
  } else if (result.type === 'conflict' && result.current !== undefined) {
    const {version, value} = result.current;
    observeHead(version, value, sentAt, turn);
    const current = parseJson(configurationHeadSchema, value);
    if (current?.history.some(({nonce}) => nonce === submission.nonce)) {
      accept(state, submission, planned, turn);
    } else {
      const basis = planned.head.revision - 1;
      decideAgain(state, submission, current, basis, turn);
    }
  } else if (result.type === 'unavailable' && !submission.isUncertain) {
    finishUnavailable(state, submission, turn);
  } else {
    submission.isUncertain = true;
  }
};

/**
 * Another change came first. One that touched no adapter, such as a new signing
 * key, does not concern this one, which is then decided on the new head.
 */
const decideAgain = (
  state: CoreState,
  submission: Submission,
  current: ConfigurationHead | undefined,
  basis: number,
  turn: Turn,
): void => {
  if (
    submission.change.kind === 'sheet' &&
    haveAdaptersChanged(current, basis)
  ) {
    finish(state, submission, conflictWith(current, basis), turn);
    return;
  }
  submission.stage = 'adopting';
  submission.isUncertain = false;
  submission.planned = undefined;
};

const observeHead = (
  version: number,
  value: string | undefined,
  sentAt: Instant,
  turn: Turn,
): void => {
  const head = CONFIGURATION_HEAD;
  turn.raise({type: 'record-observed', ...head, version, value, sentAt});
};

/** The head has moved to the submitted revision. */
const accept = (
  state: CoreState,
  submission: Submission,
  {head, replaced}: PlannedHead,
  turn: Turn,
): void => {
  const {revision, nonce, operator, digest, keys} = head;
  deleteParts(forgottenParts(storedHead(state), head), turn);
  const summary = {revision, nonce, operator, digest, keys};
  applyRevision(state, summary, replaced, turn);
  const changes = [...submission.changes];
  turn.perform({
    type: 'audit',
    entry: {
      actor: operator,
      action: 'sheet-applied',
      subject: 'configuration',
      revision,
      before: `revision ${revision - 1}`,
      after: `${changes.length} adapters changed`,
    },
  });
  finish(state, submission, {kind: 'applied', revision, changes}, turn);
};

const finishUnavailable = (
  state: CoreState,
  submission: Submission,
  turn: Turn,
): void => {
  const result: SheetResult = {
    kind: 'store-unavailable',
    retryAfterMs: RETRY_AFTER_MS,
  };
  finish(state, submission, result, turn);
};

const finish = (
  state: CoreState,
  {change}: Submission,
  result: SheetResult,
  turn: Turn,
): void => {
  const {submission} = change.event;
  state.configuration.submission = undefined;
  if (change.kind === 'sheet') {
    turn.perform({type: 'sheet-result', submission, result});
  } else if (submission !== '') {
    turn.perform({type: 'key-rotation-result', submission, result});
  }
  startNext(state, turn);
};

/** Performs a store call and returns its correlation. */
const call = (
  {configuration}: CoreState,
  operation: StoreOperation,
  turn: Turn,
): string => {
  configuration.sequence += 1;
  const correlation = `submission/${configuration.sequence}`;
  turn.perform({
    type: 'store-request',
    area: 'configuration',
    correlation,
    operation,
    timeoutMs: CALL_TIMEOUT_MS,
  });
  return correlation;
};
