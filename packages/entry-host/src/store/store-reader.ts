import {elapsedMs, type Instant} from '@basilworks/core';
import type {Snapshot, StoreKind} from '@basilworks/dispatch';
import {STORE_KINDS} from '@basilworks/dispatch';
import {ResultAsync} from 'neverthrow';

import type {EntryHostContext} from '../context.js';
import {sleep} from '../lib/sleep.js';
import {type StoreChanges, StoreError} from '../ports.js';
import {
  INITIAL_RESPONSE_TIMEOUT_MS,
  INITIAL_RETRY_DELAY_MS,
  LATE_ANSWER_MS,
  MAXIMUM_RETRY_DELAY_MS,
  MAXIMUM_RESPONSE_TIMEOUT_MS,
  MINIMUM_CHECK_INTERVAL_MS,
  type ReadingPlan,
  readingPlan,
  RETRY_RESPONSE_TIMEOUT_MS,
} from './reading-plans.js';

/**
 * Maximum interval of checks whether this host should read, milliseconds:
 * bounds the time until a host notices that it has become a reader. The
 * interval shrinks to {@link MINIMUM_CHECK_INTERVAL_MS} where a view is about
 * to become stale.
 */
const MAXIMUM_CHECK_INTERVAL_MS = 200;

/**
 * How long before reading a view itself a host queries the readers for it
 * again, milliseconds: enough for a slow exchange.
 */
const REFRESH_LEAD_MS = 200;

/** How long a reader check is cached, milliseconds: each hashes all hosts. */
const READER_CHECK_PERIOD_MS = 200;

/**
 * Time after start-up without any reads, milliseconds: a peer may provide all
 * views within one exchange.
 */
const STARTUP_READ_DELAY_MS = 300;

/**
 * Time after start-up in which a host reads only missing or stale views,
 * milliseconds: until hosts have discovered others, each would consider itself
 * a reader.
 */
const PEER_DISCOVERY_MS = 1_500;

/**
 * Retry delay after a failed direct read of a host that is not a reader, per
 * host of its group and at most, milliseconds. It keeps the calls of a group
 * that the store rejects at some tens per second, and is shorter than the
 * failure-free time after which a host counts as connected.
 */
const DIRECT_RETRY_MS_PER_HOST = 50;
const MAXIMUM_DIRECT_RETRY_MS = 2_000;

/** Reads the metadata store while this host is one of the readers. */
export class StoreReader {
  private readonly startedAt: Instant;

  /** The only kind that a non-reader keeps reading while its reads fail. */
  private probedKind: StoreKind | undefined;

  /** Kinds whose latest read by this host failed, with the first failure. */
  private readonly failing = new Map<StoreKind, Instant>();

  /** Kinds that this host does not read now, with their resume functions. */
  private readonly idle = new Map<StoreKind, () => void>();

  /** Progress of the reads of each kind. */
  private readonly progress = new Map<StoreKind, ReadProgress>(
    STORE_KINDS.map((kind) => [kind, new ReadProgress()]),
  );

  /** Latest reader checks by number of readers. */
  private readonly readerChecks = new Map<
    number,
    {readonly reads: boolean; readonly at: Instant}
  >();

  constructor(
    private readonly context: EntryHostContext,
    /** Called when a view has been updated. */
    private readonly onNewer: (kind: StoreKind) => void,
    /** Called when a view is about to become stale. */
    private readonly onAging: () => void = () => undefined,
  ) {
    this.startedAt = context.clock.now();
  }

  /** Whether no kind that this host reads is failing. */
  get isHealthy(): boolean {
    return this.failing.size === 0;
  }

  /**
   * Time for which reads of a kind have been failing, ms; 0 if they work. A kind
   * that is not read meanwhile fails as long as the one that is probed.
   */
  failingMs(kind: StoreKind): number {
    const since = this.failing.get(kind) ?? this.probeFailingSince;
    return since === undefined ? 0 : elapsedMs(since, this.context.clock.now());
  }

  private get probeFailingSince(): Instant | undefined {
    const {probedKind} = this;
    return probedKind === undefined ? undefined : this.failing.get(probedKind);
  }

  /** Time that the latest answered read of a kind took, milliseconds. */
  responseMs(kind: StoreKind): number {
    return this.progressOf(kind).responseMs;
  }

  /**
   * Reads a kind once, outside the plan; whether that succeeded. Resolves once
   * the answer is there, however late.
   */
  async refresh(kind: StoreKind): Promise<boolean> {
    const {clock, views, signal} = this.context;
    const startedAt = clock.now();
    const base = views.get(kind)?.snapshot;
    const watched = await this.readOnce(kind, base, base?.revision ?? 0, 0);
    const result =
      watched instanceof Error && watched.failure === 'history-gone'
        ? await this.readOnce(kind, undefined, 0, 0)
        : watched;
    if (signal.aborted || result instanceof Error) {
      return false;
    }
    this.recordAnswer(kind, elapsedMs(startedAt, clock.now()));
    this.publish(result.snapshot, startedAt);
    return true;
  }

  /** Reads all kinds until the context's signal is aborted. */
  start(): void {
    this.checkIdleKinds();
    for (const kind of STORE_KINDS) {
      void this.readKind(kind);
    }
  }

  private async readKind(kind: StoreKind): Promise<void> {
    const {timers, signal, clock} = this.context;
    let base: Snapshot | undefined;
    // Revision to watch from. It also grows while the kind is unchanged.
    let cursor = 0;
    const progress = this.progressOf(kind);
    const stopped = () => signal.aborted;
    while (!stopped()) {
      const plan = readingPlan(kind, this.context.settings);
      if (!this.shouldRead(kind, plan)) {
        base = undefined;
        progress.failures = 0;
        this.failing.delete(kind);
        if (this.probedKind === kind) {
          this.probedKind = undefined;
        }
        await this.waitUntilNeeded(kind);
        continue;
      }
      const startedAt = clock.now();
      const relayed = this.context.views.get(kind)?.snapshot;
      if (relayed !== undefined && relayed.revision > (base?.revision ?? 0)) {
        base = relayed;
        cursor = relayed.revision;
      }
      const from = progress.mustList ? undefined : base;
      // A stale view is refreshed without waiting for a change.
      const stale = this.isStale(kind, plan) || progress.failures > 0;
      const waitMs = stale ? 0 : plan.waitMs;
      const result = await this.read(
        kind,
        from,
        cursor,
        waitMs,
        progress.responseTimeoutMs,
      );
      if (stopped()) {
        return;
      }
      if (result instanceof Error) {
        progress.failures += 1;
        this.recordFailure(kind, result);
        progress.mustList ||= result.failure === 'history-gone';
        progress.responseTimeoutMs = Math.max(
          RETRY_RESPONSE_TIMEOUT_MS,
          progress.responseTimeoutMs,
        );
        const exponent = Math.min(progress.failures - 1, 6);
        const pauseMs = INITIAL_RETRY_DELAY_MS * 2 ** exponent;
        const longestMs = this.recordDirectReadFailure(kind, plan, result);
        await sleep(timers, Math.min(longestMs, pauseMs), signal);
        continue;
      }
      this.recordAnswer(kind, elapsedMs(startedAt, clock.now()) - waitMs);
      base = result.snapshot;
      cursor = Math.max(cursor, result.cursor);
      this.publish(base, startedAt);
      await sleep(timers, plan.pauseMs, signal);
    }
  }

  /** Resolves once this host should read a kind. */
  private waitUntilNeeded(kind: StoreKind): Promise<void> {
    return new Promise((resolve) => {
      this.idle.set(kind, resolve);
    });
  }

  /** Resumes the idle kinds that this host should now read. */
  private checkIdleKinds(): void {
    const {settings, timers, signal, views, clock} = this.context;
    const at = clock.now();
    let nextMs = MAXIMUM_CHECK_INTERVAL_MS;
    let aging = false;
    for (const [kind, resume] of this.idle) {
      const plan = readingPlan(kind, settings);
      if (this.shouldRead(kind, plan)) {
        this.idle.delete(kind);
        resume();
      }
      const leftMs = plan.directReadAgeMs - views.ageMs(kind, at);
      aging ||= leftMs > 0 && leftMs <= REFRESH_LEAD_MS;
      nextMs = Math.min(
        nextMs,
        leftMs > REFRESH_LEAD_MS ? leftMs - REFRESH_LEAD_MS : leftMs,
      );
    }
    if (aging) {
      this.onAging();
    }
    if (!signal.aborted) {
      timers.after(
        'store/check',
        Math.max(MINIMUM_CHECK_INTERVAL_MS, nextMs),
        () => {
          this.checkIdleKinds();
        },
      );
    }
  }

  /**
   * Reads a kind, and fails if there is no answer in time. An answer that comes
   * later is used all the same.
   */
  private async read(
    kind: StoreKind,
    base: Snapshot | undefined,
    cursor: number,
    waitMs: number,
    responseTimeoutMs: number,
  ): Promise<ReadResult | StoreError> {
    const {timers, clock} = this.context;
    const startedAt = clock.now();
    const answered = new AbortController();
    const answer = this.readOnce(kind, base, cursor, waitMs);
    const result = await Promise.race([
      answer,
      sleep(timers, waitMs + responseTimeoutMs, answered.signal),
    ]);
    answered.abort();
    if (result !== undefined) {
      return result;
    }
    void answer.then((late) => {
      this.applyLateAnswer(kind, late, startedAt, waitMs);
    });
    return new StoreError('missing', 'no answer in time');
  }

  private applyLateAnswer(
    kind: StoreKind,
    result: ReadResult | StoreError,
    startedAt: Instant,
    waitMs: number,
  ): void {
    const {clock, logger, signal} = this.context;
    if (signal.aborted || result instanceof Error) {
      return;
    }
    const tookMs = elapsedMs(startedAt, clock.now());
    logger.info('store answered late', {kind, tookMs: Math.round(tookMs)});
    this.recordAnswer(kind, tookMs - waitMs);
    this.publish(result.snapshot, startedAt);
  }

  /** Records that the store has answered a read. */
  private recordAnswer(kind: StoreKind, responseMs: number): void {
    const progress = this.progressOf(kind);
    progress.failures = 0;
    progress.mustList = false;
    progress.responseMs = Math.max(0, responseMs);
    progress.responseTimeoutMs = nextResponseTimeoutMs(responseMs);
    this.probedKind = undefined;
    this.recordSuccess(kind);
  }

  private progressOf(kind: StoreKind): ReadProgress {
    const progress = this.progress.get(kind) ?? new ReadProgress();
    this.progress.set(kind, progress);
    return progress;
  }

  /** Lists a kind or, given a base, watches for changes to it. */
  private async readOnce(
    kind: StoreKind,
    base: Snapshot | undefined,
    cursor: number,
    waitMs: number,
  ): Promise<ReadResult | StoreError> {
    const {platform, signal, metrics} = this.context;
    const responseTimeoutMs = LATE_ANSWER_MS;
    const operation = base === undefined ? 'list' : 'watch';
    const call =
      base === undefined
        ? platform.store
            .list(kind, signal, responseTimeoutMs)
            .map((snapshot) => ({snapshot, cursor: snapshot.revision}))
        : platform.store
            .watch(kind, cursor, waitMs, signal, responseTimeoutMs)
            .map((changes) => ({
              snapshot: applyChanges(base, changes),
              cursor: changes.revision,
            }));
    // The loop goes on whatever an entry of another writer does to a decoder.
    const result = await ResultAsync.fromPromise(
      Promise.resolve(call),
      (error) => new StoreError('malformed', String(error)),
    ).andThen((decoded) => decoded);
    const end = result.isOk() ? 'ok' : result.error.failure;
    metrics.storeCalls.inc({operation, end});
    return result.isOk() ? result.value : result.error;
  }

  private shouldRead(kind: StoreKind, plan: ReadingPlan): boolean {
    const {clock, views} = this.context;
    const upMs = elapsedMs(this.startedAt, clock.now());
    if (upMs > PEER_DISCOVERY_MS && this.isReader(plan.readers)) {
      return true;
    }
    return (
      this.isStale(kind, plan) &&
      (upMs > STARTUP_READ_DELAY_MS || views.get(kind) !== undefined) &&
      (this.probedKind ?? kind) === kind
    );
  }

  /**
   * Limits a host that is not a reader to one kind after a failed read. Returns
   * the maximum delay before the next attempt, milliseconds.
   */
  private recordDirectReadFailure(
    kind: StoreKind,
    plan: ReadingPlan,
    {failure}: StoreError,
  ): number {
    if (this.isReader(plan.readers) || failure === 'history-gone') {
      return MAXIMUM_RETRY_DELAY_MS;
    }
    this.probedKind ??= kind;
    const {membership, random} = this.context;
    const hosts = membership.readerGroup().hosts.length;
    const jitter = 0.75 + 0.5 * random();
    return Math.min(
      MAXIMUM_DIRECT_RETRY_MS,
      Math.max(
        MAXIMUM_RETRY_DELAY_MS,
        hosts * DIRECT_RETRY_MS_PER_HOST * jitter,
      ),
    );
  }

  /** Whether this host is one of `count` readers; cached for a short time. */
  private isReader(count: number): boolean {
    const {membership, clock, logger} = this.context;
    const at = clock.now();
    const known = this.readerChecks.get(count);
    if (
      known !== undefined &&
      elapsedMs(known.at, at) < READER_CHECK_PERIOD_MS
    ) {
      return known.reads;
    }
    const reads = membership.isReader(count);
    if (reads !== (known?.reads ?? false)) {
      const {name: group, hosts} = membership.readerGroup();
      logger.info('store reader changed', {
        reads,
        readers: count,
        group,
        hosts: hosts.length,
      });
    }
    this.readerChecks.set(count, {reads, at});
    return reads;
  }

  /** Whether a view is too old to keep relying on the readers. */
  private isStale(kind: StoreKind, {directReadAgeMs}: ReadingPlan): boolean {
    const {views, clock} = this.context;
    return views.ageMs(kind, clock.now()) > directReadAgeMs;
  }

  private publish(snapshot: Snapshot, freshAt: Instant): void {
    const {views, clock, settings} = this.context;
    const read = {...snapshot, readBy: settings.host};
    if (views.update(read, freshAt, clock.now())) {
      this.onNewer(snapshot.kind);
    }
  }

  private recordFailure(kind: StoreKind, error: StoreError): void {
    if (!this.failing.has(kind)) {
      this.failing.set(kind, this.context.clock.now());
      const {failure, message: detail} = error;
      this.context.logger.warn('store read fails', {kind, failure, detail});
    }
  }

  private recordSuccess(kind: StoreKind): void {
    const since = this.failing.get(kind);
    if (since !== undefined) {
      this.failing.delete(kind);
      const {clock, logger} = this.context;
      const failedMs = Math.round(elapsedMs(since, clock.now()));
      logger.info('store read works again', {kind, failedMs});
    }
  }
}

/** Progress of the reads of one kind. */
class ReadProgress {
  /** Reads in a row without an answer. */
  failures = 0;
  /** Whether the store has compacted the history that a watch would need. */
  mustList = false;
  /** Time after which another read begins beside an unanswered one, ms. */
  responseTimeoutMs = INITIAL_RESPONSE_TIMEOUT_MS;
  /** Time that the latest answered read took beyond its wait, milliseconds. */
  responseMs = 0;
}

/** The result of a read and the revision to continue from. */
interface ReadResult {
  readonly snapshot: Snapshot;
  readonly cursor: number;
}

/** Applies changes; an unchanged snapshot keeps its revision and identity. */
const applyChanges = (base: Snapshot, changes: StoreChanges): Snapshot => {
  if (changes.changed.length === 0 && changes.removed.length === 0) {
    return base;
  }
  const items = new Map(base.items.map((item) => [item.name, item]));
  const differs = changes.changed.some(
    ({name, value}) =>
      JSON.stringify(items.get(name)?.value) !== JSON.stringify(value),
  );
  const removes = changes.removed.some((name) => items.has(name));
  if (base.kind === 'servers' && !differs && !removes) {
    // A heartbeat of a server that changes no value in use here.
    return base;
  }
  for (const item of changes.changed) {
    items.set(item.name, item);
  }
  for (const name of changes.removed) {
    items.delete(name);
  }
  return {
    kind: base.kind,
    revision: changes.revision,
    items: [...items.values()],
  };
};

/** Returns the next response time-out, given the latest response time. */
const nextResponseTimeoutMs = (latestMs: number): number =>
  Math.min(
    MAXIMUM_RESPONSE_TIMEOUT_MS,
    Math.max(INITIAL_RESPONSE_TIMEOUT_MS, 2 * latestMs),
  );
