import {
  type HostId,
  mayAct,
  type RequestDescription,
  type SendOutcome,
  type ServerId,
} from '@basilworks/core';

import type {DaemonContext} from '../context.js';
import type {AnswerHead, AnswerSink, AnswerSource} from '../lib/answer.js';
import {countEvents, estimateTokens} from '../lib/count-tokens.js';
import {notSent, unknownOutcome} from '../peers/frames.js';
import type {EffectRunner, RunnersOf} from '../runner-table.js';

/** How long a stream without a reader may be resumed, milliseconds. */
const RESUME_GRACE_MS = 5_000;

/** A request that arrived at the owner of its server. */
export interface ExecutionRequest {
  readonly executionId: string;
  readonly request: RequestDescription;
  readonly server: ServerId;
  readonly from: HostId;
  readonly remainingMs: number;
  readonly body: Buffer;
  readonly resumeOffsetBytes: number | undefined;
}

/** Executions on the servers that this host owns. */
export class Executions {
  private readonly executions = new Map<string, Execution>();

  constructor(private readonly context: DaemonContext) {}

  readonly runners: RunnersOf<
    'dispatch-execution' | 'refuse-execution' | 'cancel-execution'
  > = {
    'dispatch-execution': (effect) => {
      this.dispatch(effect);
    },
    'refuse-execution': ({executionId, refusal}) => {
      this.executions
        .get(executionId)
        ?.end({kind: 'refused-before-run', refusal});
    },
    'cancel-execution': ({executionId, server}) => {
      this.executions.get(executionId)?.source?.cancel();
      const address = this.context.directory.server(server)?.address;
      if (address !== undefined) {
        void this.context.platform.engines.cancel(address, executionId);
      }
    },
  };

  /** Number of executions that have not ended. */
  get size(): number {
    return this.executions.size;
  }

  /** Hands a request to the reducer, which dispatches or refuses it. */
  open(incoming: ExecutionRequest, sink: AnswerSink): AnswerSource {
    const {executionId} = incoming;
    this.executions.get(executionId)?.supersede();
    const execution = new Execution(incoming, sink, () => {
      if (this.executions.get(executionId) === execution) {
        this.executions.delete(executionId);
      }
    });
    this.executions.set(executionId, execution);
    const {request, server, from, remainingMs, resumeOffsetBytes} = incoming;
    this.context.loop.post({
      type: 'execution-requested',
      executionId,
      request,
      server,
      from,
      remainingMs,
      resumeOffsetBytes,
    });
    return {
      resume: () => execution.source?.resume(),
      cancel: () => {
        this.leave(execution);
      },
    };
  }

  /**
   * Nobody takes the answer any more. A stream that has begun goes on for a
   * while, as its caller may resume it on this or another connection.
   */
  private leave(execution: Execution): void {
    if (execution.ended || execution.detached) {
      return;
    }
    if (!execution.canBeResumed) {
      this.abandon(execution);
      return;
    }
    execution.detach();
    const {executionId} = execution.incoming;
    const timer = `detached/${executionId}`;
    this.context.timers.after(timer, RESUME_GRACE_MS, () => {
      this.abandon(execution);
    });
  }

  private abandon(execution: Execution): void {
    if (execution.ended) {
      return;
    }
    if (execution.source === undefined) {
      execution.end(notSent('cancelled', 'cancelled before it was sent'));
    }
    const {executionId} = execution.incoming;
    this.context.loop.post({type: 'execution-abandoned', executionId});
  }

  private dispatch({
    executionId,
    server,
    fencingNumber,
    enginePriority,
  }: Parameters<EffectRunner<'dispatch-execution'>>[0]): void {
    const {loop, directory, platform} = this.context;
    const execution = this.executions.get(executionId);
    const address = directory.server(server)?.address;
    if (execution === undefined || address === undefined) {
      const outcome = notSent('cancelled', 'the execution is gone');
      execution?.end(outcome);
      this.finished(executionId, outcome, 0);
      return;
    }
    const {request, body, resumeOffsetBytes, remainingMs} = execution.incoming;
    const sink = new DispatchedSink(execution, {
      started: () => {
        loop.post({type: 'execution-started', executionId});
      },
      ended: (outcome, tokens) => {
        this.finished(executionId, outcome, tokens);
      },
    });
    execution.source = platform.engines.execute(
      {
        address,
        executionId,
        requestId: request.requestId,
        fencingNumber,
        priority: enginePriority,
        promptCacheKey: request.prefixDigest,
        body,
        resumeOffsetBytes,
        timeoutMs: remainingMs,
        mayWrite: () => mayAct(loop.state, server, loop.checkClocks()),
      },
      sink,
    );
  }

  private finished(
    executionId: string,
    outcome: SendOutcome,
    tokens: number,
  ): void {
    const {loop} = this.context;
    loop.post({type: 'execution-finished', executionId, outcome, tokens});
  }
}

/** Takes the answer that nobody takes for the moment. */
const DISCARDING_SINK: AnswerSink = {
  head: () => undefined,
  data: () => true,
  end: () => undefined,
};

/** One execution, from its arrival to its end. */
class Execution {
  /** Set once it was dispatched. */
  source: AnswerSource | undefined;
  ended = false;
  superseded = false;
  detached = false;
  /** Whether its answer is a stream that has begun. */
  canBeResumed = false;

  constructor(
    readonly incoming: ExecutionRequest,
    public sink: AnswerSink,
    private readonly release: () => void,
  ) {}

  /** Lets the answer go on without anyone who takes it. */
  detach(): void {
    this.detached = true;
    const {sink} = this;
    this.sink = DISCARDING_SINK;
    this.source?.resume();
    sink.end(unknownOutcome('cancelled', 'the data path was closed', 0));
  }

  end(outcome: SendOutcome): void {
    if (!this.ended) {
      this.ended = true;
      this.release();
      this.sink.end(outcome);
    }
  }

  /** Leaves the engine's answer to a newer relay of the same execution. */
  supersede(): void {
    this.superseded = true;
    this.end(
      unknownOutcome('unknown-request', 'continued on another connection', 0),
    );
    this.source?.cancel();
  }
}

/** Relays an engine's answer and reports its progress to the reducer. */
class DispatchedSink implements AnswerSink {
  private tokens = 0;
  private started = false;

  constructor(
    private readonly execution: Execution,
    private readonly report: {
      started(): void;
      ended(outcome: SendOutcome, tokens: number): void;
    },
  ) {}

  head(head: AnswerHead): void {
    this.execution.canBeResumed =
      head.contentType.startsWith('text/event-stream');
    this.execution.sink.head(head);
  }

  data(chunk: Buffer): boolean {
    if (!this.started) {
      this.started = true;
      this.report.started();
    }
    this.tokens += this.execution.canBeResumed
      ? countEvents(chunk)
      : estimateTokens(chunk);
    return this.execution.sink.data(chunk);
  }

  end(outcome: SendOutcome): void {
    this.execution.end(outcome);
    if (!this.execution.superseded) {
      this.report.ended(outcome, this.tokens);
    }
  }
}
