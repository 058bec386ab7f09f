import type {Area} from '../area.js';
import type {CoreState} from '../state.js';
import type {StoreRespondedEvent} from '../store.js';
import type {Turn} from '../turn.js';
import {expireCall, finishAttempt} from './attempts.js';
import {claimRead, claimWritten} from './claiming.js';
import {recordAnswered, tryRecord} from './recording.js';
import {
  cleanUpListed,
  continueCleanUp,
  epochRead,
  epochWritten,
  pollEpoch,
  startRetention,
} from './retention.js';
import type {CallsPurpose} from './state.js';
import {abandonCall, submitCall} from './submission.js';

/** Handlers of the calls area. */
export const callsArea: Area = {
  name: 'calls',
  handlers: {
    started: (state, _event, turn) => {
      startRetention(state, turn);
    },
    'call-submitted': submitCall,
    'call-abandoned': abandonCall,
    'call-attempt-finished': finishAttempt,
    'server-leaving': (state, {server}) => {
      state.calls.servers.forget(server);
    },
    'store-responded': (state, event, turn) => {
      const purpose = state.calls.store.take(event);
      if (purpose !== undefined) {
        const handler = ANSWER_HANDLERS[purpose.kind] as AnswerHandler;
        handler(state, purpose, event, turn);
      }
    },
    'timer-fired': (state, {timer}, turn) => {
      const [kind = '', ...rest] = timer.split('/');
      TIMER_HANDLERS[kind]?.(state, rest.join('/'), turn);
    },
  },
  messageHandlers: {},
};

type AnswerHandler = (
  state: CoreState,
  purpose: CallsPurpose,
  event: StoreRespondedEvent,
  turn: Turn,
) => void;

type AnswerHandlers = {
  readonly [Kind in CallsPurpose['kind']]: (
    state: CoreState,
    purpose: Extract<CallsPurpose, {readonly kind: Kind}>,
    event: StoreRespondedEvent,
    turn: Turn,
  ) => void;
};

const ANSWER_HANDLERS: AnswerHandlers = {
  'claim-write': (state, {requestId}, event, turn) => {
    claimWritten(state, requestId, event, turn);
  },
  'claim-read': (state, {requestId}, event, turn) => {
    claimRead(state, requestId, event, turn);
  },
  'record-write': (state, {name}, {result}, turn) => {
    recordAnswered(state, name, result, turn);
  },
  'record-read': (state, {name}, {result}, turn) => {
    recordAnswered(state, name, result, turn);
  },
  'epoch-read': (state, _purpose, event, turn) => {
    epochRead(state, event, turn);
  },
  'epoch-write': (state, {epoch}, event, turn) => {
    epochWritten(state, epoch, event, turn);
  },
  'clean-up-list': (state, _purpose, {result}, turn) => {
    cleanUpListed(state, result, turn);
  },
  'clean-up-write': () => {
    // A deletion that failed is repeated in the next epoch's pass.
  },
};

const TIMER_HANDLERS: Readonly<
  Record<string, (state: CoreState, name: string, turn: Turn) => void>
> = {
  deadline: expireCall,
  record: tryRecord,
  epoch: (state, _name, turn) => {
    pollEpoch(state, turn);
  },
  'clean-up': (state, _name, turn) => {
    continueCleanUp(state, turn);
  },
};
