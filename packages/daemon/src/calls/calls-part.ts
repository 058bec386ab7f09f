import type {DaemonContext} from '../context.js';
import type {Part, PartTools} from '../part.js';
import {notSent} from '../peers/frames.js';

/** Calls to plain services. */
export const createCallsPart = (
  {loop}: DaemonContext,
  _tools: PartTools,
): Part<'send-call' | 'reply-call' | 'refuse-call'> => ({
  runners: {
    'send-call': ({call: {requestId}, attemptId, server}) => {
      loop.post({
        type: 'call-attempt-finished',
        requestId,
        attemptId,
        server,
        outcome: notSent('unknown-service', 'calls are not served yet'),
        response: undefined,
      });
    },
    'reply-call': () => undefined,
    'refuse-call': () => undefined,
  },
  registerRoutes: () => undefined,
});
