import type {CallDescription, Refusal, SendOutcome} from '@basilworks/core';

import type {EffectRunners} from './effect-runners.js';
import type {SimulatedHost} from './simulated-host.js';

/** Runners of calls to plain services. */
export const callRunners: EffectRunners = {
  'send-call': (host, {call, attemptId, server, remainingMs}) => {
    const {network, servers, scheduler} = host.around;
    const {requestId} = call;
    let isFinished = false;
    const finish = (outcome: SendOutcome): void => {
      if (isFinished) {
        return;
      }
      isFinished = true;
      const response =
        outcome.kind === 'answered'
          ? {
              status: 200,
              contentType: 'text/plain',
              bodyBase64: answeredFor(call),
            }
          : undefined;
      const type = 'call-attempt-finished';
      host.handle({type, requestId, attemptId, server, outcome, response});
    };
    const unknown: SendOutcome = {
      kind: 'unknown',
      refusal: {code: 'outcome-unknown', notRun: false, detail: ''},
      deliveredBytes: 0,
    };
    scheduler.schedule(remainingMs, () => {
      finish(unknown);
    });
    network.sendOnce(host.name, server, () => {
      const {operation, member, idempotencyKey} = call;
      servers
        .get(server)
        ?.plain?.call({operation, member, body: idempotencyKey}, (end) => {
          network.sendOnce(server, host.name, () => {
            finish(
              end.kind === 'answered'
                ? {kind: 'answered', status: 200}
                : end.kind === 'refused'
                  ? {
                      kind: 'refused-before-run',
                      refusal: {
                        code: 'upstream-refused',
                        notRun: true,
                        detail: '',
                      },
                    }
                  : unknown,
            );
          });
        });
    });
  },
  'refuse-call': (host, {requestId, refusal}) => {
    record(host, requestId, undefined, refusal);
  },
  'reply-call': (host, {requestId, response}) => {
    record(host, requestId, response.bodyBase64, undefined);
  },
};

/** Names the call that an answer was made for. */
export const answeredFor = ({
  member,
  idempotencyKey,
}: CallDescription): string => `${member}/${idempotencyKey}`;

const record = (
  {around}: SimulatedHost,
  requestId: string,
  answer: string | undefined,
  refusal: Refusal | undefined,
): void => {
  const call = around.calls.get(requestId);
  if (call !== undefined) {
    const atMs = around.scheduler.nowMs();
    around.history.calls.push({atMs, call, answeredFor: answer, refusal});
  }
};
