import {OUTAGE_GAP_MS, type StoreKind} from '@basilworks/dispatch';

import {EXCHANGE_PERIOD_MS} from '../peers/index.js';
import type {EntryHostSettings} from '../settings-schema.js';

/** How a kind is read. */
export interface ReadingPlan {
  /** Longest wait of a watch, milliseconds. */
  readonly waitMs: number;
  /** Pause between two watches, milliseconds: joins changes into one call. */
  readonly pauseMs: number;
  /** Age of a view at which every host reads it itself, milliseconds. */
  readonly directReadAgeMs: number;
  /** Hosts that read the kind at a time. */
  readonly readers: number;
}

/** Between two looks whether this host should read, milliseconds. */
export const MINIMUM_CHECK_INTERVAL_MS = 50;

/** First wait for an answer beyond the wait asked for, milliseconds. */
export const INITIAL_RESPONSE_TIMEOUT_MS = 400;

/** Wait after a missing answer, as the store may be slow, milliseconds. */
export const MAXIMUM_RESPONSE_TIMEOUT_MS = 800;

/** Pauses after failed calls, milliseconds; each call has its price. */
export const INITIAL_RETRY_DELAY_MS = 50;
export const MAXIMUM_RETRY_DELAY_MS = 800;

/** Answer of a store without trouble, a listing of some pages included, ms. */
const TYPICAL_RESPONSE_MS = 100;

/** Late timers of a busy machine, milliseconds. */
const TIMER_LAG_MS = 200;

/**
 * From the age at which a host reads for itself to the news, if the first
 * answer is missing, milliseconds.
 */
const DIRECT_READ_MS =
  MINIMUM_CHECK_INTERVAL_MS +
  INITIAL_RESPONSE_TIMEOUT_MS +
  INITIAL_RETRY_DELAY_MS +
  TYPICAL_RESPONSE_MS +
  TIMER_LAG_MS;

/** A way through a reader that is well, milliseconds. */
const RELAY_MS = EXCHANGE_PERIOD_MS + TYPICAL_RESPONSE_MS;

/** Least time for two waits and a pause together, milliseconds. */
const MINIMUM_CYCLE_MS = 100;

/** Longest wait of a watch, milliseconds: a few calls a second at rest. */
const MAXIMUM_WAIT_MS = 1_500;

/**
 * A claim's proof holds for 12 s, and its holder has to hear of its end in half
 * of that, milliseconds.
 */
const RECORDS_BOUND_MS = 6_000;

/** Pauses that join changes, milliseconds; a configuration is changed alone. */
const PAUSES_MS: Readonly<Record<StoreKind, number>> = {
  configuration: 20,
  servers: 400,
  'adapter-versions': 500,
  records: 500,
};

const READERS: Readonly<Record<StoreKind, number>> = {
  configuration: 2,
  servers: 2,
  'adapter-versions': 1,
  records: 1,
};

/** What of the settings decides how kinds are read. */
type PlanSettings = Pick<EntryHostSettings, 'newsBounds'> &
  Partial<Pick<EntryHostSettings, 'keyRevocationMs'>>;

/** Share of the time to a key's revocation; the rest is its margin. */
const REVOCATION_SHARE = 0.8;

/** Time in which each kind has to be known everywhere, milliseconds. */
const boundsOf = ({
  newsBounds,
  keyRevocationMs,
}: PlanSettings): Readonly<Record<StoreKind, number>> => ({
  configuration: Math.min(
    newsBounds.configurationMs,
    // Keys are taken only while it is confirmed more closely than this.
    (keyRevocationMs ?? Infinity) * REVOCATION_SHARE,
  ),
  // An older view would pass for an outage of the store.
  servers: Math.min(newsBounds.leavingServerMs, OUTAGE_GAP_MS),
  'adapter-versions': newsBounds.adapterVersionMs,
  records: RECORDS_BOUND_MS,
});

/**
 * Returns how a kind is read, so that no host goes by a view that is older than
 * the kind's bound while it reaches the store, whatever became of the readers.
 */
export const readingPlan = (
  kind: StoreKind,
  settings: PlanSettings,
): ReadingPlan => {
  const directReadAgeMs = Math.max(
    RELAY_MS + MINIMUM_CYCLE_MS,
    boundsOf(settings)[kind] - DIRECT_READ_MS,
  );
  // A view's age counts from the start of a wait, so that it covers that wait,
  // the pause and the next wait before it is renewed.
  const cycleMs = directReadAgeMs - RELAY_MS;
  const pauseMs = Math.min(PAUSES_MS[kind], (cycleMs * 2) / 3);
  const waitMs = Math.floor(Math.min(MAXIMUM_WAIT_MS, (cycleMs - pauseMs) / 2));
  return {
    waitMs,
    pauseMs,
    directReadAgeMs,
    readers: READERS[kind],
  };
};

/**
 * Oldest view that a host in touch with the store goes by, milliseconds, if it
 * reads itself and the first answer is missing.
 */
export const maximumViewAgeMs = ({
  waitMs,
  pauseMs,
  directReadAgeMs,
}: ReadingPlan): number =>
  Math.max(directReadAgeMs, pauseMs + 2 * waitMs) + DIRECT_READ_MS;
