import type {Area} from '../area.js';
import {CONFIGURATION_HEAD} from '../membership/records.js';
import type {CoreState} from '../state.js';
import type {StoreRespondedEvent} from '../store.js';
import type {Turn} from '../turn.js';
import {
  adoptHead,
  partReadAnswered,
  readMissingParts,
  storedHead,
} from './adoption.js';
import {ensureFirstKey} from './first-key.js';
import {garbageReadAnswered} from './garbage.js';
import {
  answerWithUpdate,
  askForUpdate,
  askWithoutHead,
  takeUpdate,
} from './spread.js';
import {
  advanceSubmission,
  submissionAnswered,
  submitChange,
  submitSheet,
} from './submission.js';

/** Milliseconds between two looks for what is missing. */
const SPREAD_INTERVAL_MS = 1_000;

/**
 * Handlers of the configuration area: sheets become revisions, of which every
 * host takes only higher ones.
 */
export const configurationArea: Area = {
  name: 'configuration',
  handlers: {
    started: (state, _event, turn) => {
      spread(state, turn);
    },
    'timer-fired': (state, _event, turn) => {
      spread(state, turn);
    },
    'record-read': (state, {kind, name, changed}, turn) => {
      if (
        kind === CONFIGURATION_HEAD.kind &&
        name === CONFIGURATION_HEAD.name
      ) {
        if (changed) {
          adoptHead(state, storedHead(state), turn);
        }
        advanceSubmission(state, turn);
      }
    },
    'newer-revision-found': (state, {host}, turn) => {
      askForUpdate(state, host, turn);
    },
    'configuration-applied': (state, _event, turn) => {
      advanceSubmission(state, turn);
    },
    'store-responded': (state, event, turn) => {
      const [call = ''] = event.correlation.split('/');
      answerHandlers[call]?.(state, event, turn);
    },
    'sheet-submitted': (state, event, turn) => {
      submitSheet(state, event, turn);
    },
    'key-rotation-submitted': (_state, {submission, operator}, turn) => {
      turn.perform({type: 'create-signing-key', submission, operator});
    },
    'signing-key-created': (state, event, turn) => {
      submitChange(state, {kind: 'key', event}, turn);
    },
  },
  messageHandlers: {
    'configuration-asked': answerWithUpdate,
    'configuration-update': takeUpdate,
  },
};

/** Handlers of the platform's answers by the kind of call. */
const answerHandlers: Readonly<
  Record<
    string,
    (state: CoreState, event: StoreRespondedEvent, turn: Turn) => void
  >
> = {
  part: partReadAnswered,
  submission: submissionAnswered,
  garbage: garbageReadAnswered,
};

const spread = (state: CoreState, turn: Turn): void => {
  state.configuration.sequence += 1;
  readMissingParts(state, turn);
  adoptHead(state, storedHead(state), turn);
  askWithoutHead(state, turn);
  ensureFirstKey(state, turn);
  advanceSubmission(state, turn);
  turn.perform({
    type: 'set-timer',
    area: 'configuration',
    timer: 'spread',
    delayMs: SPREAD_INTERVAL_MS,
  });
};
