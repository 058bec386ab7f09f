import {elapsedMs, type Instant} from '@basilworks/core';
import type {StoreKind} from '@basilworks/dispatch';

import type {EntryHostContext} from '../context.js';
import {sleep} from '../lib/sleep.js';

/**
 * Shortest and longest wait of a request for a read that confirms a view,
 * milliseconds. Between them it is a multiple of the store's response time.
 */
const MINIMUM_WAIT_MS = 300;
const MAXIMUM_WAIT_MS = 2_000;

/** Response times for which a request waits for a read. */
const RESPONSE_TIMES = 2;

/**
 * Time of failing reads from which the store counts as unavailable to this
 * host, milliseconds, unless it is known to answer more slowly. Requests then
 * don't wait for it.
 */
const UNAVAILABLE_AFTER_MS = 600;

/** Interval of reads that may confirm nothing, milliseconds. */
export const REFRESH_INTERVAL_MS = 500;

/** Time from a decision to its effect at a server, milliseconds. */
export const DECISION_TRANSIT_MS = 200;

/**
 * Time to learn of a version and to have a server refuse requests that wait
 * there for an older one, milliseconds.
 */
const WAIT_END_LEAD_MS = 1_500;

/** Reads one kind of objects for a gate. */
export interface ViewSource {
  /** Reads it now; resolves to whether the read succeeded, however late. */
  refresh(): Promise<boolean>;
  /** Time for which reads have been failing, milliseconds; 0 if they work. */
  failingMs(): number;
  /** Time that the latest answered read took, milliseconds. */
  responseMs(): number;
}

/** A source that never confirms anything, for hosts without a store. */
export const NO_VIEW_SOURCE: ViewSource = {
  refresh: () => Promise.resolve(false),
  failingMs: () => 0,
  responseMs: () => 0,
};

/** How old a view may be for a decision. */
export interface ViewBound {
  /** Milliseconds since the view in use was known to be current. */
  readonly ageMs: () => number;
  /** Greatest age at which a decision may be based on it, milliseconds. */
  readonly maximumAgeMs: () => number;
  /**
   * Minimum interval between two reads, milliseconds: a read may succeed and
   * confirm nothing, as when this host can't apply the newest configuration.
   */
  readonly refreshIntervalMs: number;
}

/** The parts of the entry host that a gate uses. */
export type ViewGateContext = Pick<
  EntryHostContext,
  'clock' | 'timers' | 'signal'
>;

/**
 * Decides whether requests may be handled by a view of the store: changes have
 * to be in force within a bound. Requests that arrive while it is not confirmed
 * share one read that begins after the first of them. Where the store is
 * unavailable, nothing can confirm it, and requests don't wait.
 */
export class ViewGate {
  private pending: Promise<unknown> = Promise.resolve();
  private isReading = false;
  private refreshedAt: Instant | undefined;

  constructor(
    private readonly context: ViewGateContext,
    private readonly bound: ViewBound,
    private readonly source: ViewSource,
  ) {}

  /**
   * Whether the view in use includes all changes that had to be in force at
   * `since`. Reads the store if that is not known.
   */
  async confirm(since: Instant): Promise<boolean> {
    if (this.isConfirmed(since)) {
      return true;
    }
    if (!this.isUnavailable) {
      const ended = await this.refresh(since);
      if (ended && !this.isConfirmed(since)) {
        // That read had begun before `since`. Of all that waited for it, one
        // starts the next, and the others share that.
        await this.refresh(since);
      }
    }
    return this.isConfirmed(since);
  }

  /** Whether the view in use is known to include those changes. */
  isConfirmed(since: Instant): boolean {
    const sinceMs = elapsedMs(since, this.context.clock.now());
    const {ageMs, maximumAgeMs} = this.bound;
    return ageMs() - sinceMs <= maximumAgeMs();
  }

  /** Whether no read is expected to be answered. */
  get isUnavailable(): boolean {
    const {source} = this;
    const limitMs = RESPONSE_TIMES * source.responseMs();
    return source.failingMs() > Math.max(UNAVAILABLE_AFTER_MS, limitMs);
  }

  /**
   * Waits for the read in progress, or for a new one if that is due. Returns
   * whether it ended in time.
   */
  private async refresh(since: Instant): Promise<boolean> {
    const {timers, signal, clock} = this.context;
    const at = clock.now();
    const waitMs = Math.min(
      MAXIMUM_WAIT_MS,
      Math.max(MINIMUM_WAIT_MS, RESPONSE_TIMES * this.source.responseMs()),
    );
    if (this.isReadDue(since, waitMs)) {
      this.refreshedAt = at;
      this.startRead();
    }
    const answered = new AbortController();
    const stop = () => {
      answered.abort();
    };
    signal.addEventListener('abort', stop, {once: true});
    const ended = await Promise.race([
      this.pending.then(() => true),
      sleep(timers, waitMs, answered.signal).then(() => false),
    ]);
    signal.removeEventListener('abort', stop);
    answered.abort();
    return ended;
  }

  /** Whether a read has to begin for a question that was asked at `since`. */
  private isReadDue(since: Instant, waitMs: number): boolean {
    const {refreshedAt} = this;
    if (refreshedAt === undefined) {
      return true;
    }
    const sinceReadMs = elapsedMs(refreshedAt, this.context.clock.now());
    return this.isReading
      ? sinceReadMs >= Math.max(REFRESH_INTERVAL_MS, waitMs)
      : elapsedMs(refreshedAt, since) >= 0 &&
          sinceReadMs >= this.bound.refreshIntervalMs;
  }

  private startRead(): void {
    this.isReading = true;
    const read = this.source.refresh();
    this.pending = read;
    void read.then(() => {
      if (this.pending === read) {
        this.isReading = false;
      }
    });
  }
}

/** Returns the source from which a kind is read. */
export type ViewSources = (kind: StoreKind) => ViewSource;

/** Sources that never confirm anything. */
export const NO_VIEW_SOURCES: ViewSources = () => NO_VIEW_SOURCE;

type ViewContext = ViewGateContext & Pick<EntryHostContext, 'views'>;

const createGate = (
  context: ViewContext,
  kind: StoreKind,
  source: ViewSource,
  limits: Omit<ViewBound, 'ageMs'>,
): ViewGate => {
  const ageMs = () => context.views.ageMs(kind, context.clock.now());
  return new ViewGate(context, {...limits, ageMs}, source);
};

/** Gates of the views by which a server is chosen for a request. */
export interface SelectionGates {
  readonly servers: ViewGate;
  readonly adapterVersions: ViewGate;
  /** Of the versions for which requests wait at servers. */
  readonly waitingVersions: ViewGate;
}

/** Creates the gates of the views by which servers are chosen. */
export const createSelectionGates = (
  context: ViewContext & Pick<EntryHostContext, 'settings'>,
  sourceOf: ViewSources,
): SelectionGates => {
  const gate = (kind: StoreKind, boundMs: () => number, leadMs: number) =>
    createGate(context, kind, sourceOf(kind), {
      maximumAgeMs: () => boundMs() - leadMs,
      refreshIntervalMs: REFRESH_INTERVAL_MS,
    });
  const adapterVersionMs = () => context.settings.newsBounds.adapterVersionMs;
  return {
    // Settings are replaced when they are reloaded.
    servers: gate(
      'servers',
      () => context.settings.newsBounds.leavingServerMs,
      DECISION_TRANSIT_MS,
    ),
    adapterVersions: gate(
      'adapter-versions',
      adapterVersionMs,
      DECISION_TRANSIT_MS,
    ),
    waitingVersions: gate(
      'adapter-versions',
      adapterVersionMs,
      WAIT_END_LEAD_MS,
    ),
  };
};

/** Creates a gate that only a read which begins after a question passes. */
export const createStrictGate = (
  context: ViewContext,
  kind: StoreKind,
  sourceOf: ViewSources,
): ViewGate =>
  createGate(context, kind, sourceOf(kind), {
    maximumAgeMs: () => 0,
    refreshIntervalMs: 0,
  });
