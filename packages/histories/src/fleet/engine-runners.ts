import {
  mayAct,
  type Refusal,
  type SendOutcome,
  type ServerId,
} from '@basilworks/core';

import type {EffectRunners} from './effect-runners.js';
import type {SimulatedServer} from './outside.js';
import type {ReceivedExecution, SimulatedHost} from './simulated-host.js';
import {finishWork} from './work-runners.js';

/** Tokens of each simulated answer. */
const TOKENS = 20;

/** Milliseconds after which the transport gives up a silent stream. */
const BROKEN_STREAM_MS = 10_000;

/** Runners of the data path of model requests and of orders to engines. */
export const enginesRunners: EffectRunners = {
  'start-attempt': (host, {request, attemptId, owner, server, remainingMs}) => {
    const {network} = host.around;
    host.attempts.set(attemptId, request.requestId);
    const executionId = attemptId;
    network.sendOnce(host.name, owner, () => {
      const target = host.around.host(owner);
      const received = {requestId: request.requestId, attemptId, from: host};
      target?.executions.set(executionId, received);
      target?.handle({
        type: 'execution-requested',
        executionId,
        request,
        server,
        from: host.name,
        remainingMs,
        resumeOffsetBytes: undefined,
      });
    });
    const brokenMs = Math.min(remainingMs, BROKEN_STREAM_MS);
    host.around.scheduler.schedule(brokenMs, () => {
      finishAttempt(host, attemptId, unknownOutcome());
    });
  },
  // An answer that was broken off is never found again.
  'resume-attempt': (host, {request, attemptId}) => {
    host.attempts.set(attemptId, request.requestId);
    host.around.scheduler.schedule(host.around.network.delayMs(), () => {
      finishAttempt(host, attemptId, unknownOutcome());
    });
  },
  'dispatch-execution': (host, {executionId, server, fencingNumber}) => {
    const received = host.executions.get(executionId);
    const request = host.around.requests.get(received?.requestId ?? '');
    if (received === undefined || request === undefined) {
      return;
    }
    if (!mayAct(host.state, server, host.now())) {
      finishExecution(host, executionId, notSentOutcome());
      return;
    }
    sendToServer(host, server, fencingNumber, (target) => {
      const {adapter, version, requestId, member} = request;
      const refusal = target.engine?.run(
        {
          executionId,
          requestId,
          member,
          adapter,
          version,
          fencingNumber,
          priority: 1,
          prefixDigest: '',
          tokens: TOKENS,
        },
        {
          onProgress: () => undefined,
          onEnd: (end) => {
            finishExecution(
              host,
              executionId,
              end === 'complete'
                ? {kind: 'answered', status: 200}
                : unknownOutcome(),
            );
          },
        },
      );
      if (refusal !== undefined) {
        finishExecution(host, executionId, refusedOutcome());
      }
      return refusal !== 'stale-fencing';
    });
  },
  'refuse-execution': (host, {executionId, refusal}) => {
    replyToIngress(host, executionId, {kind: 'not-sent', refusal});
  },
  'order-adapter': (host, effect) => {
    const {order, orderId, server, fencingNumber, adapter, version} = effect;
    const finish = (outcome: 'done' | OrderFailure): void => {
      const type = 'adapter-order-finished';
      host.handle({type, orderId, outcome});
    };
    if (!mayAct(host.state, server, host.now())) {
      finish('not-sent');
      return;
    }
    sendToServer(host, server, fencingNumber, ({engine}) => {
      const engineOrder = {adapter, version, fencingNumber};
      const before = engine?.evictedInUse ?? 0;
      let isStale = false;
      const answer = (outcome: 'done' | OrderFailure): void => {
        isStale = outcome === 'stale-fencing';
        host.around.network.sendOnce(server, host.name, () => {
          finish(outcome);
        });
      };
      if (order === 'load') {
        engine?.load(engineOrder, answer);
      } else if (engine !== undefined) {
        answer(engine.unload(engineOrder));
      }
      if ((engine?.evictedInUse ?? 0) > before) {
        const {history, scheduler} = host.around;
        const atMs = scheduler.nowMs();
        history.evictionsInUse.push({atMs, server, adapter});
      }
      return !isStale;
    });
  },
  'read-server-report': (host, {server}) => {
    const {network, servers} = host.around;
    network.sendOnce(host.name, server, () => {
      const report = servers.get(server)?.engine?.report();
      network.sendOnce(server, host.name, () => {
        host.handle({type: 'server-reported', server, report});
      });
    });
  },
  'refuse-request': (host, {requestId, refusal}) => {
    recordRequest(host, requestId, refusal);
  },
};

type OrderFailure =
  'failed' | 'no-free-slot' | 'in-use' | 'stale-fencing' | 'not-sent';

/** Sends to a server and records the arrival and whether it was accepted. */
export const sendToServer = (
  {name, incarnation, around}: SimulatedHost,
  server: ServerId,
  fencingNumber: number,
  arrive: (server: SimulatedServer) => boolean,
): void => {
  const {network, scheduler, servers, history} = around;
  const sentMs = scheduler.nowMs();
  network.sendOnce(name, server, () => {
    const target = servers.get(server);
    if (target !== undefined) {
      history.arrivals.push({
        atMs: scheduler.nowMs(),
        sentMs,
        server,
        checksFencing: target.description.checksFencing,
        host: name,
        incarnation,
        fencingNumber,
        accepted: arrive(target),
      });
    }
  });
};

const finishExecution = (
  host: SimulatedHost,
  executionId: string,
  outcome: SendOutcome,
): void => {
  host.around.network.sendOnce('server', host.name, () => {
    host.handle({
      type: 'execution-finished',
      executionId,
      outcome,
      tokens: TOKENS,
    });
    replyToIngress(host, executionId, outcome);
  });
};

const replyToIngress = (
  host: SimulatedHost,
  executionId: string,
  outcome: SendOutcome,
): void => {
  const received: ReceivedExecution | undefined =
    host.executions.get(executionId);
  if (received !== undefined && host.isRunning) {
    host.executions.delete(executionId);
    const {from, attemptId} = received;
    host.around.network.sendOnce(host.name, from.name, () => {
      finishAttempt(from, attemptId, outcome);
    });
  }
};

const finishAttempt = (
  ingress: SimulatedHost,
  attemptId: string,
  outcome: SendOutcome,
): void => {
  const requestId = ingress.attempts.get(attemptId);
  if (requestId === undefined) {
    return;
  }
  ingress.attempts.delete(attemptId);
  if (outcome.kind === 'answered') {
    recordRequest(ingress, requestId, undefined);
  }
  ingress.handle({type: 'attempt-finished', requestId, attemptId, outcome});
};

const recordRequest = (
  host: SimulatedHost,
  requestId: string,
  refusal: Refusal | undefined,
): void => {
  const {around} = host;
  const request = around.requests.get(requestId);
  if (host.works.delete(requestId)) {
    finishWork(host, requestId, refusal);
    return;
  }
  if (request !== undefined) {
    const atMs = around.scheduler.nowMs();
    around.history.requests.push({atMs, request, refusal});
  }
};

const unknownOutcome = (): SendOutcome => ({
  kind: 'unknown',
  refusal: toRefusal('outcome-unknown', false),
  deliveredBytes: 0,
});

const notSentOutcome = (): SendOutcome => ({
  kind: 'not-sent',
  refusal: toRefusal('ownership-lost', true),
});

const refusedOutcome = (): SendOutcome => ({
  kind: 'refused-before-run',
  refusal: toRefusal('upstream-refused', true),
});

const toRefusal = (code: Refusal['code'], notRun: boolean): Refusal => ({
  code,
  notRun,
  detail: '',
});
