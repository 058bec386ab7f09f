import type {StoredObject, StoreOperation, StoreResult} from '@basilworks/core';

import type {Random} from '../lib/random.js';
import {TokenBucket} from '../lib/token-bucket.js';
import type {ScheduledCallback, Scheduler} from './scheduler.js';

const MAXIMUM_VALUE_BYTES = 1_000_000;
const MAXIMUM_PAGE_OBJECTS = 1_000;
const OUTAGE_RETRY_AFTER_MS = 1_000;
const TOO_LARGE_RETRY_AFTER_MS = 3_600_000;

/** Rates and delays of the platform's object API. */
export interface ObjectStoreOptions {
  readonly readsPerSecond: number;
  readonly writesPerSecond: number;
  /** Time from call to answer while nothing is wrong. */
  readonly latencyMs: number;
}

export const DEFAULT_OBJECT_STORE_OPTIONS: ObjectStoreOptions = {
  readsPerSecond: 2_000,
  writesPerSecond: 400,
  latencyMs: 2,
};

/** What is wrong with the object API at present. */
export interface ObjectStoreFaults {
  /** Every call is refused, and open watches end. */
  outage: boolean;
  /** Added to the latency of each call. */
  delayMs: number;
  /** Share of writes that take effect and whose answer is lost. */
  lostAnswerProbability: number;
  /** This many of the next writes take effect and lose their answers. */
  loseNextAnswers: number;
}

/** Calls that reached the object API, refused ones included. */
export type StoreCallCounts = Record<StoreOperation['type'], number>;

/** Whether an operation's value is above the platform's limit. */
export const isTooLarge = (operation: StoreOperation): boolean =>
  'value' in operation &&
  Buffer.byteLength(operation.value) > MAXIMUM_VALUE_BYTES;

type Answer = (result: StoreResult) => void;

interface Watcher {
  readonly newerThan: number;
  readonly answer: Answer;
  readonly timeout: ScheduledCallback;
}

/**
 * The platform's object API. Versions come from one counter, so that an object
 * that is created anew has a higher version than its predecessor.
 */
export class ObjectStoreModel {
  readonly counts: StoreCallCounts = {
    get: 0,
    watch: 0,
    list: 0,
    create: 0,
    update: 0,
    delete: 0,
  };
  private readonly kinds = new Map<string, Map<string, StoredObject>>();
  private readonly watchers = new Map<string, Set<Watcher>>();
  private readonly reads: TokenBucket;
  private readonly writes: TokenBucket;
  private version = 0;
  private faults: ObjectStoreFaults = {
    outage: false,
    delayMs: 0,
    lostAnswerProbability: 0,
    loseNextAnswers: 0,
  };

  constructor(
    private readonly scheduler: Scheduler,
    private readonly random: Random,
    private readonly options = DEFAULT_OBJECT_STORE_OPTIONS,
  ) {
    const {readsPerSecond, writesPerSecond} = options;
    this.reads = new TokenBucket(scheduler, readsPerSecond, readsPerSecond);
    this.writes = new TokenBucket(scheduler, writesPerSecond, writesPerSecond);
  }

  /** Switches faults; those left out stay as they are. */
  setFaults(faults: Partial<ObjectStoreFaults>): void {
    this.faults = {...this.faults, ...faults};
    if (this.faults.outage) {
      this.endWatches();
    }
  }

  /** Whether every call is being refused. */
  get inOutage(): boolean {
    return this.faults.outage;
  }

  /**
   * Makes one call. The operation takes effect after half of the latency; a
   * lost answer is given as `unknown`.
   */
  call(operation: StoreOperation, answer: Answer): void {
    this.counts[operation.type] += 1;
    const halfMs = (this.options.latencyMs + this.faults.delayMs) / 2;
    const answerLater: Answer = (result) => {
      this.scheduler.schedule(halfMs, () => {
        answer(result);
      });
    };
    this.scheduler.schedule(halfMs, () => {
      this.arrive(operation, answerLater);
    });
  }

  /** The object as it stands, without a call. For checks. */
  peek(kind: string, name: string): StoredObject | undefined {
    return this.kinds.get(kind)?.get(name);
  }

  private arrive(operation: StoreOperation, answer: Answer): void {
    if (this.faults.outage) {
      answer({type: 'unavailable', retryAfterMs: OUTAGE_RETRY_AFTER_MS});
      return;
    }
    const bucket = isRead(operation) ? this.reads : this.writes;
    if (!bucket.tryTake()) {
      const retryAfterMs = Math.ceil(bucket.untilNextMs());
      answer({type: 'unavailable', retryAfterMs});
      return;
    }
    if (operation.type === 'watch') {
      this.watch(operation, answer);
      return;
    }
    const result = this.perform(operation);
    const lost = result.type === 'written' && this.losesAnswer();
    answer(lost ? {type: 'unknown'} : result);
  }

  private perform(
    operation: Exclude<StoreOperation, {readonly type: 'watch'}>,
  ): StoreResult {
    switch (operation.type) {
      case 'get': {
        const object = this.peek(operation.kind, operation.name);
        return object ? {type: 'found', object} : {type: 'missing'};
      }
      case 'list':
        return this.list(operation);
      case 'create':
        return this.write(operation, 0);
      case 'update':
        return this.write(operation, operation.expectedVersion);
      case 'delete':
        return this.delete(operation);
    }
  }

  private list(
    operation: Extract<StoreOperation, {readonly type: 'list'}>,
  ): StoreResult {
    const {kind, prefix, after, limit} = operation;
    const objects = [...(this.kinds.get(kind)?.values() ?? [])]
      .filter(({name}) => name.startsWith(prefix) && name > after)
      .sort((first, second) => (first.name < second.name ? -1 : 1))
      .slice(0, Math.min(limit, MAXIMUM_PAGE_OBJECTS));
    return {type: 'listed', objects};
  }

  private write(
    operation: Extract<StoreOperation, {readonly value: string}>,
    expectedVersion: number,
  ): StoreResult {
    const {kind, name, value} = operation;
    if (isTooLarge(operation)) {
      return {type: 'unavailable', retryAfterMs: TOO_LARGE_RETRY_AFTER_MS};
    }
    const current = this.peek(kind, name);
    if ((current?.version ?? 0) !== expectedVersion) {
      return {type: 'conflict', current};
    }
    const object = {kind, name, value, version: ++this.version};
    const objects = this.kinds.get(kind) ?? new Map<string, StoredObject>();
    this.kinds.set(kind, objects.set(name, object));
    this.notify(kind, name, {type: 'found', object});
    return {type: 'written', version: object.version};
  }

  private delete(
    operation: Extract<StoreOperation, {readonly type: 'delete'}>,
  ): StoreResult {
    const {kind, name, expectedVersion} = operation;
    const current = this.peek(kind, name);
    if (current === undefined) {
      return {type: 'missing'};
    }
    if (current.version !== expectedVersion) {
      return {type: 'conflict', current};
    }
    this.kinds.get(kind)?.delete(name);
    this.notify(kind, name, {type: 'missing'});
    return {type: 'written', version: ++this.version};
  }

  private watch(
    operation: Extract<StoreOperation, {readonly type: 'watch'}>,
    answer: Answer,
  ): void {
    const {kind, name, newerThan, waitMs} = operation;
    const object = this.peek(kind, name);
    if (object !== undefined && object.version > newerThan) {
      answer({type: 'found', object});
      return;
    }
    if (object === undefined && newerThan > 0) {
      answer({type: 'missing'});
      return;
    }
    const key = watchKey(kind, name);
    const watchers = this.watchers.get(key) ?? new Set();
    this.watchers.set(key, watchers);
    const timeout = this.scheduler.schedule(waitMs, () => {
      watchers.delete(watcher);
      answer({type: this.peek(kind, name) ? 'unchanged' : 'missing'});
    });
    const watcher: Watcher = {newerThan, answer, timeout};
    watchers.add(watcher);
  }

  private notify(kind: string, name: string, result: StoreResult): void {
    const watchers = this.watchers.get(watchKey(kind, name));
    for (const {answer, timeout} of watchers ?? []) {
      timeout.cancel();
      answer(result);
    }
    watchers?.clear();
  }

  private endWatches(): void {
    for (const watchers of this.watchers.values()) {
      for (const {answer, timeout} of watchers) {
        timeout.cancel();
        answer({type: 'unavailable', retryAfterMs: OUTAGE_RETRY_AFTER_MS});
      }
    }
    this.watchers.clear();
  }

  private losesAnswer(): boolean {
    if (this.faults.loseNextAnswers > 0) {
      this.faults.loseNextAnswers -= 1;
      return true;
    }
    const {lostAnswerProbability} = this.faults;
    return lostAnswerProbability > 0 && this.random() < lostAnswerProbability;
  }
}

const isRead = (operation: StoreOperation): boolean =>
  operation.type === 'get' ||
  operation.type === 'watch' ||
  operation.type === 'list';

const watchKey = (kind: string, name: string): string => `${kind}/${name}`;
