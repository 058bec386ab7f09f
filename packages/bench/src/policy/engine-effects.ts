import {
  adapterVersionKey,
  type CoreEvent,
  type Effect,
  type Refusal,
  type SendOutcome,
} from '@basilworks/core';
import type {ExecutionEnd} from '@basilworks/stand-ins';

import type {Arrival} from './arrivals.js';
import type {Arena} from './contender.js';

type EffectOf<Type extends Effect['type']> = Extract<
  Effect,
  {readonly type: Type}
>;

/** An attempt from its start at the ingress to its end at the engine. */
interface Attempt {
  readonly arrival: Arrival;
  readonly server: string;
  readonly key: string;
  readonly startedMs: number;
  /** Whether the adapter was absent when the attempt started. */
  readonly stalled: boolean;
}

/** Runs the data path's and the engines' effects on the engine models. */
export class EngineEffects {
  private readonly arrivals = new Map<string, Arrival>();
  private readonly attempts = new Map<string, Attempt>();
  /** Attempts that wait for an adapter, by server and adapter version. */
  private readonly stalled = new Map<string, Set<string>>();
  private readonly incarnations = new Map<string, string>();

  constructor(
    private readonly arena: Arena,
    private readonly handle: (event: CoreEvent) => void,
  ) {}

  arrived(arrival: Arrival): void {
    this.arrivals.set(arrival.requestId, arrival);
  }

  /** Runs an effect on an engine; returns false for any other. */
  run(effect: Effect): boolean {
    switch (effect.type) {
      case 'start-attempt':
        this.startAttempt(effect);
        return true;
      case 'resume-attempt':
        this.endLater(effect.attemptId, unknown);
        return true;
      case 'dispatch-execution':
        this.dispatch(effect);
        return true;
      case 'refuse-execution': {
        const {executionId, refusal} = effect;
        this.endLater(executionId, {kind: 'refused-before-run', refusal});
        return true;
      }
      case 'order-adapter':
        this.order(effect);
        return true;
      case 'read-server-report':
        this.report(effect);
        return true;
      default:
        return false;
    }
  }

  private startAttempt(effect: EffectOf<'start-attempt'>): void {
    const {request, attemptId, server, remainingMs} = effect;
    const arrival = this.arrivals.get(request.requestId);
    const engine = this.arena.engines.get(server);
    if (!arrival || !engine) {
      return;
    }
    const stalled = !engine.isReady(request);
    const key = adapterVersionKey(request);
    const startedMs = this.arena.scheduler.nowMs();
    this.attempts.set(attemptId, {arrival, server, key, startedMs, stalled});
    if (stalled) {
      const waiting = this.stalled.get(`${server}|${key}`) ?? new Set();
      this.stalled.set(`${server}|${key}`, waiting.add(attemptId));
    }
    this.later(() => {
      this.handle({
        type: 'execution-requested',
        executionId: attemptId,
        request,
        server,
        from: effect.owner,
        remainingMs,
        resumeOffsetBytes: undefined,
      });
    });
  }

  private dispatch(effect: EffectOf<'dispatch-execution'>): void {
    const {executionId, fencingNumber, enginePriority, server} = effect;
    const attempt = this.attempts.get(executionId);
    const engine = this.arena.engines.get(server);
    if (!attempt || !engine) {
      return;
    }
    const {arrival, key} = attempt;
    const refusal = engine.run(
      {
        executionId,
        requestId: arrival.requestId,
        member: arrival.member,
        adapter: arrival.adapter,
        version: arrival.version,
        fencingNumber,
        priority: enginePriority,
        prefixDigest: arrival.prefixDigest,
        tokens: arrival.tokens,
      },
      {
        onProgress: () => undefined,
        onEnd: (end) => {
          this.endLater(executionId, outcomeOf(end));
        },
      },
    );
    if (refusal === undefined) {
      this.arena.recorder.used(server, key);
    } else {
      this.endLater(executionId, refused);
    }
  }

  private order(effect: EffectOf<'order-adapter'>): void {
    const {order, orderId, server} = effect;
    const engine = this.arena.engines.get(server);
    const key = adapterVersionKey(effect);
    if (order === 'unload') {
      const outcome = engine?.unload(effect) ?? 'not-sent';
      if (outcome === 'done') {
        this.arena.recorder.evicted(server, key);
      }
      this.later(() => {
        this.handle({type: 'adapter-order-finished', orderId, outcome});
      });
      return;
    }
    engine?.load(effect, (outcome) => {
      if (outcome === 'done') {
        this.arena.recorder.loaded(server, key);
        this.endStalls(server, key);
      }
      this.later(() => {
        this.handle({type: 'adapter-order-finished', orderId, outcome});
      });
    });
  }

  /** The adapter became ready for the requests that waited for it. */
  private endStalls(server: string, key: string): void {
    const {recorder, scheduler} = this.arena;
    for (const attemptId of this.stalled.get(`${server}|${key}`) ?? []) {
      const attempt = this.attempts.get(attemptId);
      if (attempt) {
        const {requestId} = attempt.arrival;
        recorder.stalled(requestId, scheduler.nowMs() - attempt.startedMs);
      }
    }
    this.stalled.delete(`${server}|${key}`);
  }

  private report({server}: EffectOf<'read-server-report'>): void {
    const report = this.arena.engines.get(server)?.report();
    if (report) {
      this.noticeRestart(server, report.engineIncarnation);
    }
    this.later(() => {
      this.handle({type: 'server-reported', server, report});
    });
  }

  private noticeRestart(server: string, incarnation: string): void {
    const known = this.incarnations.get(server);
    this.incarnations.set(server, incarnation);
    if (known !== undefined && known !== incarnation) {
      this.arena.recorder.emptied(server);
    }
  }

  private endLater(executionId: string, outcome: SendOutcome): void {
    const attempt = this.attempts.get(executionId);
    if (!attempt) {
      return;
    }
    const {requestId} = attempt.arrival;
    this.stalled.get(`${attempt.server}|${attempt.key}`)?.delete(executionId);
    if (outcome.kind === 'answered') {
      this.arena.recorder.ended(requestId, 'answered');
    }
    this.later(() => {
      this.handle({
        type: 'execution-finished',
        executionId,
        outcome,
        tokens: attempt.arrival.tokens,
      });
      this.handle({
        type: 'attempt-finished',
        requestId,
        attemptId: executionId,
        outcome,
      });
    });
  }

  /** Events come in turns of their own. */
  private later(callback: () => void): void {
    this.arena.scheduler.schedule(0, callback);
  }
}

const refusal: Refusal = {
  code: 'upstream-refused',
  notRun: true,
  detail: 'the engine refused',
};
const refused: SendOutcome = {kind: 'refused-before-run', refusal};
const unknown: SendOutcome = {
  kind: 'unknown',
  refusal: {code: 'unknown-request', notRun: false, detail: 'broken off'},
  deliveredBytes: 0,
};

const outcomeOf = (end: ExecutionEnd): SendOutcome =>
  end === 'complete' ? {kind: 'answered', status: 200} : unknown;
