import type {FailureCode, Refusal} from '../refusal.js';
import type {CoreState} from '../state.js';
import type {Turn} from '../turn.js';
import type {WorkEntry} from './state.js';

/** Tells the submitter that its work is stored. */
export const acceptWork = (entry: WorkEntry, turn: Turn): void => {
  if (!entry.answered) {
    entry.answered = true;
    turn.perform({
      type: 'accept-work',
      requestId: entry.request.requestId,
    });
  }
};

/** Tells the submitter that its work was not, or may not be, accepted. */
export const refuseWork = (
  entry: WorkEntry,
  refusal: Refusal,
  turn: Turn,
): void => {
  if (!entry.answered) {
    entry.answered = true;
    performRefusal(entry.request.requestId, refusal, turn);
  }
};

/** Refuses work for which there is no entry. */
export const performRefusal = (
  requestId: string,
  refusal: Refusal,
  turn: Turn,
): void => {
  turn.perform({
    type: 'observe-metric',
    metric: 'refusals_total',
    value: 1,
    labels: {code: refusal.code},
  });
  turn.perform({type: 'refuse-work', requestId, refusal});
};

/** Makes the refusal of work; `notRun` says that it was not stored. */
export const workRefusal = (
  code: FailureCode,
  notRun: boolean,
  detail: string,
  retryAfterMs?: number,
): Refusal => ({
  code,
  notRun,
  detail,
  ...(retryAfterMs === undefined
    ? {}
    : {retryAfterMs: Math.ceil(retryAfterMs)}),
});

/** Adds an entry to this host's work. */
export const addEntry = (state: CoreState, entry: WorkEntry): void => {
  state.deferred.entries.set(entry.name, entry);
  state.deferred.names.set(entry.request.requestId, entry.name);
};

/** Forgets work that is finished, or that another host runs. */
export const forgetEntry = (
  state: CoreState,
  entry: WorkEntry,
  turn: Turn,
): void => {
  state.deferred.entries.delete(entry.name);
  state.deferred.names.delete(entry.request.requestId);
  for (const timer of ['step', 'retry', 'deadline']) {
    turn.perform({
      type: 'cancel-timer',
      area: 'deferred',
      timer: `${timer}/${entry.name}`,
    });
  }
};
