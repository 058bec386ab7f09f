import type {DaemonContext} from '../context.js';
import type {Part, PartTools} from '../part.js';
import {notSent} from '../peers/frames.js';

/** Work that can wait. */
export const createDeferredPart = (
  {loop}: DaemonContext,
  _tools: PartTools,
): Part<'accept-work' | 'refuse-work' | 'run-work' | 'answer-work-query'> => ({
  runners: {
    'accept-work': () => undefined,
    'refuse-work': () => undefined,
    'run-work': ({request: {requestId}}) => {
      loop.post({
        type: 'work-finished',
        requestId,
        outcome: notSent('not-ready', 'work that can wait is not run yet'),
        answer: undefined,
      });
    },
    'answer-work-query': () => undefined,
  },
  registerRoutes: () => undefined,
});
