import {elapsedMs, type Instant} from '@basilworks/core';
import type {Snapshot, StoreKind} from '@basilworks/dispatch';
import {STORE_KINDS} from '@basilworks/dispatch';

import type {EntryHostContext} from '../context.js';
import {sleep} from '../lib/sleep.js';
import type {StoreChanges, StoreError} from '../ports.js';
import {
  FIRST_ANSWER_MS,
  FIRST_RETRY_MS,
  LAST_RETRY_MS,
  LONGEST_ANSWER_MS,
  LOOK_MS,
  type ReadingPlan,
  readingPlan,
} from './reading-plans.js';

/**
 * Longest time between two looks, milliseconds: how soon a host notices that it
 * is the next reader. Looks are as close as in the plans where a view grows old.
 */
const LONGEST_LOOK_MS = 200;

/**
 * How long before a host would read a view itself it asks the readers for it
 * again, milliseconds: an exchange, and a late one.
 */
const ASK_AGAIN_MS = 200;

/** Between two rankings of the hosts, milliseconds: each hashes all of them. */
const RANKING_PERIOD_MS = 200;

/**
 * A host that starts reads nothing for this long, milliseconds: a peer may
 * answer with all views first, one exchange away.
 */
const FIRST_READ_MS = 300;

/**
 * A host that starts reads no more than it lacks for this long, milliseconds:
 * until it has heard of others, each takes itself for the reader.
 */
const FINDING_PEERS_MS = 1_500;

/**
 * Pause after a failed read of a host that is no reader, for each host of its
 * group, and at the most, milliseconds. So the calls of a group that the store
 * turns away stay at some tens a second. Shorter than the time without trouble
 * after which a host counts as in touch.
 */
const LONE_RETRY_MS_PER_HOST = 50;
const LONGEST_LONE_RETRY_MS = 2_000;

/** Reads the metadata store while this host is one of the readers. */
export class StoreReader {
  private readonly startedAt: Instant;

  /** The one kind that a host that is no reader reads while its reads fail. */
  private probedKind: StoreKind | undefined;

  /** Kinds read here whose latest read failed, and since when. */
  private readonly failing = new Map<StoreKind, Instant>();

  /** Kinds that are not read here now. */
  private readonly idle = new Map<StoreKind, () => void>();

  private readonly rankings = new Map<
    number,
    {readonly reads: boolean; readonly at: Instant}
  >();

  constructor(
    private readonly context: EntryHostContext,
    /** Called when a view has become newer. */
    private readonly onNewer: (kind: StoreKind) => void,
    /** Called when a view is about to grow too old. */
    private readonly onAging: () => void = () => undefined,
  ) {
    this.startedAt = context.clock.now();
  }

  /** Whether the latest calls succeeded, as far as any were made. */
  get working(): boolean {
    return this.failing.size === 0;
  }

  /** Reads all kinds until the context's signal is aborted. */
  start(): void {
    this.look();
    for (const kind of STORE_KINDS) {
      void this.readKind(kind);
    }
  }

  private async readKind(kind: StoreKind): Promise<void> {
    const {timers, signal, clock} = this.context;
    let base: Snapshot | undefined;
    // Revision to watch from: grows also while the kind does not change.
    let cursor = 0;
    // The history that a watch would need is gone, whoever read the base.
    let mustList = false;
    let failures = 0;
    let answerMs = FIRST_ANSWER_MS;
    const stopped = () => signal.aborted;
    while (!stopped()) {
      const plan = readingPlan(kind, this.context.settings);
      if (!this.shouldRead(kind, plan)) {
        base = undefined;
        failures = 0;
        this.failing.delete(kind);
        if (this.probedKind === kind) {
          this.probedKind = undefined;
        }
        await this.untilNeeded(kind);
        continue;
      }
      const startedAt = clock.now();
      const relayed = this.context.views.get(kind)?.snapshot;
      if (relayed !== undefined && relayed.revision > (base?.revision ?? 0)) {
        base = relayed;
        cursor = relayed.revision;
      }
      const from = mustList ? undefined : base;
      // An old view is renewed at once; waiting for a change comes after.
      const aged = this.isAged(kind, plan) || failures > 0;
      const waitMs = aged ? 0 : plan.waitMs;
      const result = await this.read(kind, from, cursor, waitMs, answerMs);
      if (stopped()) {
        return;
      }
      if (result instanceof Error) {
        failures += 1;
        this.noteFailure(kind, result);
        mustList ||= result.failure === 'history-gone';
        answerMs = LONGEST_ANSWER_MS;
        const pauseMs = FIRST_RETRY_MS * 2 ** Math.min(failures - 1, 6);
        const longestMs = this.noteLoneFailure(kind, plan, result);
        await sleep(timers, Math.min(longestMs, pauseMs), signal);
        continue;
      }
      failures = 0;
      this.probedKind = undefined;
      answerMs = answerTimeMs(elapsedMs(startedAt, clock.now()) - waitMs);
      mustList = false;
      this.noteSuccess(kind);
      base = result.snapshot;
      cursor = Math.max(cursor, result.cursor);
      this.offer(base, startedAt);
      await sleep(timers, plan.pauseMs, signal);
    }
  }

  /** Resolves once this host should read a kind, or the process ends. */
  private untilNeeded(kind: StoreKind): Promise<void> {
    return new Promise((resolve) => {
      this.idle.set(kind, resolve);
    });
  }

  /** Lets the kinds go on that this host should read by now. */
  private look(): void {
    const {settings, timers, signal, views, clock} = this.context;
    const at = clock.now();
    let nextMs = LONGEST_LOOK_MS;
    let aging = false;
    for (const [kind, goOn] of this.idle) {
      const plan = readingPlan(kind, settings);
      if (this.shouldRead(kind, plan)) {
        this.idle.delete(kind);
        goOn();
      }
      const leftMs = plan.ownReadAgeMs - views.ageMs(kind, at);
      aging ||= leftMs > 0 && leftMs <= ASK_AGAIN_MS;
      nextMs = Math.min(
        nextMs,
        leftMs > ASK_AGAIN_MS ? leftMs - ASK_AGAIN_MS : leftMs,
      );
    }
    if (aging) {
      this.onAging();
    }
    if (!signal.aborted) {
      timers.after('store/look', Math.max(LOOK_MS, nextMs), () => {
        this.look();
      });
    }
  }

  /** Lists, or waits for changes of what is known. */
  private async read(
    kind: StoreKind,
    base: Snapshot | undefined,
    cursor: number,
    waitMs: number,
    answerMs: number,
  ): Promise<ReadResult | StoreError> {
    const {platform, signal, metrics} = this.context;
    const operation = base === undefined ? 'list' : 'watch';
    const result =
      base === undefined
        ? (await platform.store.list(kind, signal, answerMs)).map(
            (snapshot) => ({
              snapshot,
              cursor: snapshot.revision,
            }),
          )
        : (
            await platform.store.watch(kind, cursor, waitMs, signal, answerMs)
          ).map((changes) => ({
            snapshot: applyChanges(base, changes),
            cursor: changes.revision,
          }));
    const end = result.isOk() ? 'ok' : result.error.failure;
    metrics.storeCalls.inc({operation, end});
    return result.isOk() ? result.value : result.error;
  }

  private shouldRead(kind: StoreKind, plan: ReadingPlan): boolean {
    const {clock, views} = this.context;
    const upMs = elapsedMs(this.startedAt, clock.now());
    if (upMs > FINDING_PEERS_MS && this.isReader(plan.readers)) {
      return true;
    }
    return (
      this.isAged(kind, plan) &&
      (upMs > FIRST_READ_MS || views.get(kind) !== undefined) &&
      (this.probedKind ?? kind) === kind
    );
  }

  /**
   * Lets a host that is no reader go on with one kind only, and returns its
   * longest pause before the next try, milliseconds.
   */
  private noteLoneFailure(
    kind: StoreKind,
    plan: ReadingPlan,
    {failure}: StoreError,
  ): number {
    if (this.isReader(plan.readers) || failure === 'history-gone') {
      return LAST_RETRY_MS;
    }
    this.probedKind ??= kind;
    const {membership, random} = this.context;
    const hosts = membership.readerGroup().hosts.length;
    const spread = 0.75 + 0.5 * random();
    return Math.min(
      LONGEST_LONE_RETRY_MS,
      Math.max(LAST_RETRY_MS, hosts * LONE_RETRY_MS_PER_HOST * spread),
    );
  }

  /** Whether this host was one of some readers at the latest ranking. */
  private isReader(count: number): boolean {
    const {membership, clock} = this.context;
    const at = clock.now();
    const known = this.rankings.get(count);
    if (known !== undefined && elapsedMs(known.at, at) < RANKING_PERIOD_MS) {
      return known.reads;
    }
    const reads = membership.isReader(count);
    this.rankings.set(count, {reads, at});
    return reads;
  }

  /** Whether the view is too old to rely on other hosts. */
  private isAged(kind: StoreKind, {ownReadAgeMs}: ReadingPlan): boolean {
    const {views, clock} = this.context;
    return views.ageMs(kind, clock.now()) > ownReadAgeMs;
  }

  private offer(snapshot: Snapshot, freshAt: Instant): void {
    const {views, clock, settings} = this.context;
    const read = {...snapshot, readBy: settings.host};
    if (views.update(read, freshAt, clock.now())) {
      this.onNewer(snapshot.kind);
    }
  }

  private noteFailure(kind: StoreKind, error: StoreError): void {
    if (!this.failing.has(kind)) {
      this.failing.set(kind, this.context.clock.now());
      const {failure, message: detail} = error;
      this.context.logger.warn('store read fails', {kind, failure, detail});
    }
  }

  private noteSuccess(kind: StoreKind): void {
    const since = this.failing.get(kind);
    if (since !== undefined) {
      this.failing.delete(kind);
      const {clock, logger} = this.context;
      const failedMs = Math.round(elapsedMs(since, clock.now()));
      logger.info('store read works again', {kind, failedMs});
    }
  }
}

/** What a read showed and where to go on. */
interface ReadResult {
  readonly snapshot: Snapshot;
  readonly cursor: number;
}

/** A snapshot keeps its revision, and so its identity, until it changes. */
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
    // A server's beat that says nothing new to this product.
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

/** How long to wait for the next answer, by the latest one's time. */
const answerTimeMs = (latestMs: number): number =>
  Math.min(LONGEST_ANSWER_MS, Math.max(FIRST_ANSWER_MS, 2 * latestMs));
