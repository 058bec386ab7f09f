import type {MemberId} from '../identifiers.js';
import {parseJson} from '../lib/parse-json.js';
import type {CoreState} from '../state.js';
import type {StoreResult} from '../store.js';
import type {Turn} from '../turn.js';
import type {WorkQueriedEvent, WorkStatus} from './events.js';
import type {DeferredPurpose, TextRead} from './state.js';
import {
  joinText,
  PART_KIND,
  RESULT_KIND,
  resultRecordSchema,
  WORK_KIND,
  workName,
  workRecordSchema,
  type ResultRecord,
} from './work-record.js';

const STORE_RETRY_AFTER_MS = 2_000;

/**
 * Answers what became of work. Another member's work is answered as work that
 * does not exist.
 */
export const queryWork = (
  state: CoreState,
  query: WorkQueriedEvent,
  turn: Turn,
): void => {
  const name = state.deferred.names.get(query.requestId);
  const entry = state.deferred.entries.get(name ?? '');
  if (entry === undefined || entry.phase === 'finishing') {
    readResult(state, query, false, turn);
  } else if (entry.request.member !== query.member) {
    answer(turn, query, {kind: 'not-found'});
  } else {
    const kind = entry.phase === 'running' ? 'running' : 'waiting';
    answer(turn, query, {kind});
  }
};

/** Goes on with the result of the work, if there is one. */
export const queryResultRead = (
  state: CoreState,
  {query, isLast}: Extract<DeferredPurpose, {kind: 'query-result'}>,
  result: StoreResult,
  turn: Turn,
): void => {
  if (result.type === 'found') {
    const record = parseJson(resultRecordSchema, result.object.value);
    if (mayRead(record?.member, query)) {
      answerResult(state, query, record?.outcome, turn);
    } else {
      answer(turn, query, {kind: 'not-found'});
    }
  } else if (result.type !== 'missing') {
    answerUnavailable(turn, query, result);
  } else if (isLast) {
    answer(turn, query, {kind: 'not-found'});
  } else {
    state.deferred.store.start(
      turn,
      {kind: 'query-work', query},
      {type: 'get', kind: WORK_KIND, name: workName(query.requestId)},
    );
  }
};

/** Answers from work that has no result yet. */
export const queryWorkRead = (
  state: CoreState,
  {query}: Extract<DeferredPurpose, {kind: 'query-work'}>,
  result: StoreResult,
  turn: Turn,
): void => {
  if (result.type === 'found') {
    const record = parseJson(workRecordSchema, result.object.value);
    const kind = mayRead(record?.request.member, query)
      ? 'waiting'
      : 'not-found';
    answer(turn, query, {kind});
  } else if (result.type === 'missing') {
    // It may have been finished and removed between the two reads.
    readResult(state, query, true, turn);
  } else {
    answerUnavailable(turn, query, result);
  }
};

/** Takes a part of an answer, and gives the answer when it is whole. */
export const queryPartRead = (
  state: CoreState,
  {query, read}: Extract<DeferredPurpose, {kind: 'query-part'}>,
  result: StoreResult,
  turn: Turn,
): void => {
  if (result.type === 'missing') {
    answer(turn, query, {kind: 'not-found'});
  } else if (result.type !== 'found') {
    answerUnavailable(turn, query, result);
  } else {
    const values = [...read.values, result.object.value];
    readPart(state, query, {parts: read.parts, values}, turn);
  }
};

const mayRead = (
  owner: MemberId | undefined,
  {member}: WorkQueriedEvent,
): boolean => owner === member;

const answer = (
  turn: Turn,
  {query}: WorkQueriedEvent,
  status: WorkStatus,
): void => {
  turn.perform({type: 'answer-work-query', query, status});
};

const answerUnavailable = (
  turn: Turn,
  query: WorkQueriedEvent,
  result: StoreResult,
): void => {
  answer(turn, query, {
    kind: 'store-unavailable',
    retryAfterMs:
      result.type === 'unavailable'
        ? result.retryAfterMs
        : STORE_RETRY_AFTER_MS,
  });
};

const answerResult = (
  state: CoreState,
  query: WorkQueriedEvent,
  outcome: ResultRecord['outcome'] | undefined,
  turn: Turn,
): void => {
  if (outcome === undefined) {
    answer(turn, query, {kind: 'not-found'});
  } else if (outcome.kind === 'failed') {
    answer(turn, query, {kind: 'failed', refusal: outcome.refusal});
  } else if (outcome.answer.kind === 'inline') {
    answer(turn, query, {kind: 'done', answer: outcome.answer.text});
  } else {
    readPart(state, query, {parts: outcome.answer.parts, values: []}, turn);
  }
};

const readResult = (
  state: CoreState,
  query: WorkQueriedEvent,
  isLast: boolean,
  turn: Turn,
): void => {
  state.deferred.store.start(
    turn,
    {kind: 'query-result', query, isLast},
    {type: 'get', kind: RESULT_KIND, name: workName(query.requestId)},
  );
};

/** Reads the next part of an answer, or gives the answer when it is whole. */
const readPart = (
  state: CoreState,
  query: WorkQueriedEvent,
  read: TextRead,
  turn: Turn,
): void => {
  const part = read.parts[read.values.length];
  if (part === undefined) {
    answer(turn, query, {kind: 'done', answer: joinText(read.values)});
    return;
  }
  state.deferred.store.start(
    turn,
    {kind: 'query-part', query, read},
    {type: 'get', kind: PART_KIND, name: part.name},
  );
};
