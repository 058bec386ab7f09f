import type {Area} from '../area.js';
import type {CoreState} from '../state.js';
import type {StoreResult} from '../store.js';
import type {Turn} from '../turn.js';
import {
  queryPartRead,
  queryResultRead,
  queryWork,
  queryWorkRead,
} from './queries.js';
import {
  adoptionRead,
  adoptionWritten,
  answerInquiry,
  continueScan,
  scanListed,
  scheduleScan,
  takeNotHeld,
} from './recovery.js';
import {
  cleanUpListed,
  continueCleanUp,
  startCleanUp,
} from './result-retention.js';
import {finishingAnswered} from './results.js';
import {bodyPartRead, expireWork, retryWork, workFinished} from './running.js';
import type {DeferredPurpose} from './state.js';
import {storingAnswered, submitWork} from './submission.js';
import {startStep} from './write-steps.js';

/** Handlers of the deferred area. */
export const deferredArea: Area = {
  name: 'deferred',
  handlers: {
    started: (state, _event, turn) => {
      scheduleScan(state, turn);
    },
    'work-submitted': submitWork,
    'work-finished': workFinished,
    'work-queried': queryWork,
    'epoch-began': (state, _event, turn) => {
      startCleanUp(state, turn);
    },
    'store-responded': (state, event, turn) => {
      const purpose = state.deferred.store.take(event);
      if (purpose !== undefined) {
        const handler = ANSWER_HANDLERS[purpose.kind] as AnswerHandler;
        handler(state, purpose, event.result, turn);
      }
    },
    'timer-fired': (state, {timer}, turn) => {
      const [kind = '', name = ''] = timer.split('/');
      TIMER_HANDLERS[kind]?.(state, name, turn);
    },
  },
  messageHandlers: {
    'work-inquiry': answerInquiry,
    'work-not-held': takeNotHeld,
  },
};

type AnswerHandler = (
  state: CoreState,
  purpose: DeferredPurpose,
  result: StoreResult,
  turn: Turn,
) => void;

type AnswerHandlers = {
  readonly [Kind in DeferredPurpose['kind']]: (
    state: CoreState,
    purpose: Extract<DeferredPurpose, {readonly kind: Kind}>,
    result: StoreResult,
    turn: Turn,
  ) => void;
};

const ANSWER_HANDLERS: AnswerHandlers = {
  step: (state, {name}, result, turn) => {
    const entry = state.deferred.entries.get(name);
    if (entry?.phase === 'storing') {
      storingAnswered(state, entry, result, turn);
    } else if (entry !== undefined) {
      finishingAnswered(state, entry, result, turn);
    }
  },
  'adopt-read': (state, {name}, result, turn) => {
    adoptionRead(state, name, result, turn);
  },
  'adopt-write': (state, {entry}, result, turn) => {
    adoptionWritten(state, entry, result, turn);
  },
  'body-part': bodyPartRead,
  'query-result': queryResultRead,
  'query-work': queryWorkRead,
  'query-part': queryPartRead,
  'scan-list': (state, _purpose, result, turn) => {
    scanListed(state, result, turn);
  },
  'clean-up-list': (state, _purpose, result, turn) => {
    cleanUpListed(state, result, turn);
  },
  'clean-up-write': () => {
    // A deletion that failed is repeated in the next epoch's pass.
  },
};

const TIMER_HANDLERS: Readonly<
  Record<string, (state: CoreState, name: string, turn: Turn) => void>
> = {
  step: (state, name, turn) => {
    const entry = state.deferred.entries.get(name);
    if (entry !== undefined) {
      startStep(state, entry, turn);
    }
  },
  retry: retryWork,
  deadline: expireWork,
  scan: (state, _name, turn) => {
    continueScan(state, turn);
  },
  'clean-up': (state, _name, turn) => {
    continueCleanUp(state, turn);
  },
};
