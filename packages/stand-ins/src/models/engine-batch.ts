import type {AdapterVersion} from '@basilworks/core';

import type {EngineExecution, ExecutionEnd} from './engine-execution.js';
import type {ScheduledCallback, Scheduler} from './scheduler.js';

export interface EngineBatchOptions {
  /** Requests that run at once. */
  readonly batchPositions: number;
  /** Requests that may wait for a position. */
  readonly queueLimit: number;
  /** Processing time of a prompt whose prefix is not cached. */
  readonly promptMs: number;
  /** Processing time of a prompt whose prefix is cached. */
  readonly cachedPromptMs: number;
  /** Time between tokens with one request in the batch. */
  readonly tokenMs: number;
  /** Time between tokens in a full batch. */
  readonly fullBatchTokenMs: number;
  /** Tokens that one step generates for each request; above 1 only in benches. */
  readonly tokensPerStep: number;
}

/** How fully the batch was used, over the time in which there was work. */
export interface BatchUse {
  readonly filledPositionMs: number;
  readonly offeredPositionMs: number;
}

/**
 * Continuous batching: a request joins between two steps, and each step
 * generates a token for every request whose prompt is processed.
 */
export class EngineBatch {
  private readonly running = new Set<EngineExecution>();
  private readonly waiting: EngineExecution[] = [];
  private step: ScheduledCallback | undefined;
  /** Due time of the latest step; undefined while nothing runs. */
  private stepDueMs: number | undefined;
  private filledPositionMs = 0;
  private offeredPositionMs = 0;
  private accountedMs: number;

  constructor(
    private readonly scheduler: Scheduler,
    private readonly options: EngineBatchOptions,
    private readonly usePrefix: (prefixDigest: string) => boolean,
    private readonly beforeChange: () => void,
    private readonly onEnded: (execution: EngineExecution) => void,
  ) {
    this.accountedMs = scheduler.nowMs();
  }

  get runningCount(): number {
    return this.running.size;
  }

  get waitingCount(): number {
    return this.waiting.length;
  }

  /** Whether one more request would be taken. */
  get hasRoom(): boolean {
    const {batchPositions, queueLimit} = this.options;
    return (
      this.running.size < batchPositions || this.waiting.length < queueLimit
    );
  }

  use(): BatchUse {
    this.account();
    const {filledPositionMs, offeredPositionMs} = this;
    return {filledPositionMs, offeredPositionMs};
  }

  /** Executions that run or wait on an adapter version. */
  usersOf({adapter, version}: AdapterVersion): EngineExecution[] {
    return [...this.running, ...this.waiting].filter(
      ({request}) => request.adapter === adapter && request.version === version,
    );
  }

  add(execution: EngineExecution): void {
    this.account();
    const {priority} = execution.request;
    const index = this.waiting.findIndex((w) => w.request.priority > priority);
    this.waiting.splice(index < 0 ? this.waiting.length : index, 0, execution);
    this.fill();
  }

  /** Ends one execution early and gives its position to the next. */
  stop(execution: EngineExecution, end: ExecutionEnd): void {
    this.account();
    const index = this.waiting.indexOf(execution);
    if (index >= 0) {
      this.waiting.splice(index, 1);
    } else if (!this.running.delete(execution)) {
      return;
    }
    this.finish(execution, end);
    this.fill();
  }

  /** Breaks everything that runs or waits. */
  breakAll(): void {
    this.account();
    const all = [...this.running, ...this.waiting.splice(0)];
    this.running.clear();
    for (const execution of all) {
      this.finish(execution, 'broken');
    }
  }

  private fill(): void {
    while (this.running.size < this.options.batchPositions) {
      const next = this.waiting.shift();
      if (next === undefined) {
        break;
      }
      this.start(next);
    }
    if (this.running.size > 0 && this.step === undefined) {
      this.scheduleStep();
    }
  }

  private start(execution: EngineExecution): void {
    const nowMs = this.scheduler.nowMs();
    const cached = this.usePrefix(execution.request.prefixDigest);
    const {promptMs, cachedPromptMs} = this.options;
    execution.startedMs = nowMs;
    execution.decodesFromMs = nowMs + (cached ? cachedPromptMs : promptMs);
    this.running.add(execution);
  }

  private scheduleStep(): void {
    const {tokenMs, fullBatchTokenMs, batchPositions, tokensPerStep} =
      this.options;
    const fill = (this.running.size - 1) / Math.max(1, batchPositions - 1);
    const perTokenMs = tokenMs + (fullBatchTokenMs - tokenMs) * fill;
    const stepMs = perTokenMs * tokensPerStep;
    const nowMs = this.scheduler.nowMs();
    // Counts from the due time, so that late timers do not slow the engine.
    const fromMs = Math.max(this.stepDueMs ?? nowMs, nowMs - stepMs);
    this.stepDueMs = fromMs + stepMs;
    this.step = this.scheduler.schedule(this.stepDueMs - nowMs, () => {
      this.step = undefined;
      this.runStep();
    });
  }

  private runStep(): void {
    this.account();
    const nowMs = this.scheduler.nowMs();
    for (const execution of this.running) {
      if ((execution.decodesFromMs ?? Infinity) <= nowMs) {
        this.advance(execution);
      }
    }
    if (this.running.size === 0) {
      this.stepDueMs = undefined;
    }
    this.fill();
  }

  private advance(execution: EngineExecution): void {
    execution.progress(this.options.tokensPerStep);
    if (execution.generatedTokens >= execution.request.tokens) {
      this.running.delete(execution);
      this.finish(execution, 'complete');
    }
  }

  private finish(execution: EngineExecution, end: ExecutionEnd): void {
    execution.finish(end, this.scheduler.nowMs());
    this.onEnded(execution);
  }

  private account(): void {
    this.beforeChange();
    const nowMs = this.scheduler.nowMs();
    const elapsedMs = nowMs - this.accountedMs;
    this.accountedMs = nowMs;
    if (this.running.size > 0 || this.waiting.length > 0) {
      this.filledPositionMs += elapsedMs * this.running.size;
      this.offeredPositionMs += elapsedMs * this.options.batchPositions;
    }
  }
}
