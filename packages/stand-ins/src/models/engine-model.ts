import {
  type AdapterVersion,
  type ResidentAdapter,
  type ServerId,
  type ServerReport,
} from '@basilworks/core';

import type {Random} from '../lib/random.js';
import {
  EngineBatch,
  type BatchUse,
  type EngineBatchOptions,
} from './engine-batch.js';
import {
  EngineExecution,
  type EngineRequest,
  type ExecutionEnd,
  type ExecutionListener,
} from './engine-execution.js';
import {EngineSlots, type OrderOutcome} from './engine-slots.js';
import {
  PrefixCache,
  type CacheChange,
  type PrefixCacheOptions,
} from './prefix-cache.js';
import type {Scheduler} from './scheduler.js';
import type {WeightStoreModel} from './weight-store-model.js';

/** Sizes, speeds and manners of one engine. */
export interface EngineOptions extends EngineBatchOptions {
  readonly server: ServerId;
  readonly slots: number;
  /** Whether requests and orders with an old fencing number are refused. */
  readonly checksFencing: boolean;
  /** Obeys an order to unload an adapter in use, and records it. */
  readonly evictInUseAllowed: boolean;
  /** Time between two measurements of the load report. */
  readonly reportPeriodMs: number;
  /** Time for which an answer can be resumed after its end. */
  readonly retentionMs: number;
  readonly prefixCache: PrefixCacheOptions;
}

export const DEFAULT_ENGINE_OPTIONS: Omit<EngineOptions, 'server'> = {
  slots: 16,
  checksFencing: true,
  evictInUseAllowed: true,
  reportPeriodMs: 500,
  retentionMs: 60_000,
  prefixCache: {capacity: 64, eventLagMs: 300, eventLossProbability: 0.1},
  batchPositions: 32,
  queueLimit: 64,
  promptMs: 60,
  cachedPromptMs: 15,
  tokenMs: 12,
  fullBatchTokenMs: 30,
  tokensPerStep: 1,
};

/** An order to load or unload an adapter version. */
export interface EngineOrder extends AdapterVersion {
  readonly fencingNumber: number;
}

/** Why an engine did not take a request. */
export type EngineRefusal =
  'adapter-not-resident' | 'stale-fencing' | 'queue-full';

/** One run as the engine knows it. */
export interface EngineRun extends AdapterVersion {
  readonly server: ServerId;
  readonly executionId: string;
  readonly requestId: string;
  readonly member: string;
  /** When the engine took the request. */
  readonly receivedMs: number;
  /** Undefined when it never left the queue. */
  readonly startedMs: number | undefined;
  readonly endedMs: number;
  readonly end: ExecutionEnd;
}

/** A model engine: adapter slots, continuous batching, lagging reports. */
export class EngineModel {
  /** Orders obeyed that unloaded an adapter under a request. */
  evictedInUse = 0;
  readonly history: EngineRun[] = [];
  private readonly slots: EngineSlots;
  private readonly batch: EngineBatch;
  private readonly cache: PrefixCache;
  private readonly executions = new Map<string, EngineExecution>();
  private highestFencingNumber = 0;
  private starts = 1;
  private sample: ServerReport;
  private sampledMs: number;

  constructor(
    private readonly scheduler: Scheduler,
    random: Random,
    weightStore: WeightStoreModel,
    private readonly options: EngineOptions,
  ) {
    const changing = () => {
      this.sampleIfDue();
    };
    this.cache = new PrefixCache(scheduler, random, options.prefixCache);
    this.slots = new EngineSlots(options.slots, weightStore, changing);
    this.batch = new EngineBatch(
      scheduler,
      options,
      (prefixDigest) => this.cache.use(prefixDigest),
      changing,
      (execution) => {
        this.onEnded(execution);
      },
    );
    this.sampledMs = scheduler.nowMs();
    this.sample = this.measure();
  }

  /** Name of the present run of the engine; changes with each restart. */
  get incarnation(): string {
    return `${this.options.server}#${this.starts}`;
  }

  /** Takes a request, or says why it did not; then nothing ran. */
  run(
    request: EngineRequest,
    listener: ExecutionListener,
  ): EngineRefusal | undefined {
    const refusal = this.refusalOf(request);
    if (refusal !== undefined) {
      return refusal;
    }
    this.sampleIfDue();
    const execution = new EngineExecution(request, this.scheduler.nowMs());
    execution.listeners.add(listener);
    this.executions.set(request.executionId, execution);
    this.batch.add(execution);
    return undefined;
  }

  /** An execution that runs, waits, or ended within the retention time. */
  execution(executionId: string): EngineExecution | undefined {
    return this.executions.get(executionId);
  }

  /** Cancels an execution; returns whether it was known and unfinished. */
  cancel(executionId: string): boolean {
    const execution = this.executions.get(executionId);
    if (execution === undefined || execution.end !== undefined) {
      return false;
    }
    this.sampleIfDue();
    this.batch.stop(execution, 'cancelled');
    return true;
  }

  load(order: EngineOrder, answer: (outcome: OrderOutcome) => void): void {
    if (this.isStale(order.fencingNumber)) {
      answer('stale-fencing');
      return;
    }
    this.slots.load(order, answer);
  }

  unload(order: EngineOrder): OrderOutcome {
    if (this.isStale(order.fencingNumber)) {
      return 'stale-fencing';
    }
    const users = this.batch.usersOf(order);
    if (users.length > 0) {
      if (!this.options.evictInUseAllowed) {
        return 'in-use';
      }
      this.evictedInUse += 1;
    }
    this.slots.unload(order);
    for (const execution of users) {
      this.batch.stop(execution, 'broken');
    }
    return 'done';
  }

  /** Ends the present run of the engine and starts one with empty slots. */
  restart(): void {
    this.batch.breakAll();
    this.executions.clear();
    this.slots.clear();
    this.cache.clear();
    this.starts += 1;
    this.highestFencingNumber = 0;
    this.sample = this.measure();
    this.sampledMs = this.scheduler.nowMs();
  }

  /** The engine's load as it was at the last measurement. */
  report(): ServerReport {
    this.sampleIfDue();
    return {...this.sample, ageMs: this.scheduler.nowMs() - this.sampledMs};
  }

  /** Published changes of the prefix cache; late, and some are missing. */
  cacheChangesAfter(sequence: number): readonly CacheChange[] {
    return this.cache.changesAfter(sequence);
  }

  batchUse(): BatchUse {
    return this.batch.use();
  }

  /** Whether an adapter version is loaded, without the report's lag. */
  isReady(adapterVersion: AdapterVersion): boolean {
    return this.slots.isReady(adapterVersion);
  }

  private refusalOf(request: EngineRequest): EngineRefusal | undefined {
    if (this.isStale(request.fencingNumber)) {
      return 'stale-fencing';
    }
    if (!this.slots.isReady(request)) {
      return 'adapter-not-resident';
    }
    return this.batch.hasRoom ? undefined : 'queue-full';
  }

  private isStale(fencingNumber: number): boolean {
    if (!this.options.checksFencing) {
      return false;
    }
    if (fencingNumber < this.highestFencingNumber) {
      return true;
    }
    this.highestFencingNumber = fencingNumber;
    return false;
  }

  private onEnded(execution: EngineExecution): void {
    const {request, startedMs, endedMs, end} = execution;
    const {executionId, requestId, member, adapter, version} = request;
    this.history.push({
      server: this.options.server,
      executionId,
      requestId,
      member,
      adapter,
      version,
      receivedMs: execution.receivedMs,
      startedMs,
      endedMs: endedMs ?? this.scheduler.nowMs(),
      end: end ?? 'broken',
    });
    this.scheduler.schedule(this.options.retentionMs, () => {
      if (this.executions.get(executionId) === execution) {
        this.executions.delete(executionId);
      }
    });
  }

  /**
   * Called before each change: the state still is what it was at the last due
   * time of a measurement.
   */
  private sampleIfDue(): void {
    const nowMs = this.scheduler.nowMs();
    const {reportPeriodMs} = this.options;
    const periods = Math.floor((nowMs - this.sampledMs) / reportPeriodMs);
    if (periods > 0) {
      this.sampledMs += periods * reportPeriodMs;
      this.sample = this.measure();
    }
  }

  private measure(): ServerReport {
    const resident = this.slots
      .list()
      .map(({adapter, version, state}): ResidentAdapter => ({
        adapter,
        version,
        state,
        running: this.batch.usersOf({adapter, version}).length,
      }));
    return {
      server: this.options.server,
      engineIncarnation: this.incarnation,
      ageMs: 0,
      resident,
      running: this.batch.runningCount,
      waiting: this.batch.waitingCount,
    };
  }
}
