import type {Refusal, SendOutcome} from '@basilworks/core';

import type {EffectRunners} from './effect-runners.js';
import type {SimulatedHost} from './simulated-host.js';

/** Runners of work that can wait. */
export const workRunners: EffectRunners = {
  'accept-work': ({around}, {requestId}) => {
    const request = around.requests.get(requestId);
    if (request !== undefined) {
      const atMs = around.scheduler.nowMs();
      around.history.works.push({atMs, request});
    }
  },
  'run-work': (host, {request, remainingMs}) => {
    host.works.add(request.requestId);
    host.handle({type: 'request-submitted', request, remainingMs});
  },
  'answer-work-query': ({around}, {query, status}) => {
    const [requestId = '', member = '', time = ''] = query.split('/');
    around.history.workAnswers.push({
      atMs: around.scheduler.nowMs(),
      requestId,
      member,
      isFinal: time === FINAL_QUERY,
      status,
    });
  },
};

/** Marks the queries that are made when everything must have settled. */
export const FINAL_QUERY = 'final';

/** Reports the end of the model request that ran a piece of work. */
export const finishWork = (
  host: SimulatedHost,
  requestId: string,
  refusal: Refusal | undefined,
): void => {
  host.handle({
    type: 'work-finished',
    requestId,
    outcome: toOutcome(refusal),
    answer: refusal === undefined ? requestId : undefined,
  });
};

const toOutcome = (refusal: Refusal | undefined): SendOutcome => {
  if (refusal === undefined) {
    return {kind: 'answered', status: 200};
  }
  return refusal.notRun
    ? {kind: 'not-sent', refusal}
    : {kind: 'unknown', refusal, deliveredBytes: 0};
};
