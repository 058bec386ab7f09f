import type {AdapterVersion} from '@basilworks/core';

/** What an engine is told of a request. */
export interface EngineRequest extends AdapterVersion {
  readonly executionId: string;
  readonly requestId: string;
  readonly member: string;
  readonly fencingNumber: number;
  /** Smaller runs first. */
  readonly priority: number;
  /** Empty where there is none. */
  readonly prefixDigest: string;
  /** Tokens that the answer will have. */
  readonly tokens: number;
}

/** How an execution ended. `broken` by a restart or by an unload under it. */
export type ExecutionEnd = 'complete' | 'cancelled' | 'broken';

/** What follows an execution; several may, each from its own offset. */
export interface ExecutionListener {
  /** Called after each step with the tokens generated so far. */
  onProgress(generatedTokens: number): void;
  onEnd(end: ExecutionEnd): void;
}

/** One request in an engine's queue or batch, and for a while afterwards. */
export class EngineExecution {
  readonly listeners = new Set<ExecutionListener>();
  generatedTokens = 0;
  /** When its prompt is processed; undefined while it waits. */
  decodesFromMs: number | undefined;
  startedMs: number | undefined;
  endedMs: number | undefined;
  end: ExecutionEnd | undefined;

  constructor(
    readonly request: EngineRequest,
    readonly receivedMs: number,
  ) {}

  /** Follows the execution from what it has generated so far. */
  follow(listener: ExecutionListener): void {
    listener.onProgress(this.generatedTokens);
    if (this.end === undefined) {
      this.listeners.add(listener);
    } else {
      listener.onEnd(this.end);
    }
  }

  progress(tokens: number): void {
    const {request} = this;
    this.generatedTokens = Math.min(
      request.tokens,
      this.generatedTokens + tokens,
    );
    for (const listener of this.listeners) {
      listener.onProgress(this.generatedTokens);
    }
  }

  finish(end: ExecutionEnd, nowMs: number): void {
    this.end = end;
    this.endedMs = nowMs;
    for (const listener of this.listeners) {
      listener.onEnd(end);
    }
    this.listeners.clear();
  }
}
