import {OUTAGE_GAP_MS, type StoreKind} from '@basilworks/dispatch';

import {EXCHANGE_PERIOD_MS} from '../peers/index.js';
import type {EntryHostSettings} from '../settings-schema.js';

/** How a kind of objects is read from the store. */
export interface ReadingPlan {
  /** Maximum time that a watch call waits for a change, milliseconds. */
  readonly waitMs: number;
  /** Pause between two watch calls, milliseconds: batches changes. */
  readonly pauseMs: number;
  /** View age from which every host reads the store itself, milliseconds. */
  readonly directReadAgeMs: number;
  /** Number of hosts per reader group that read the kind. */
  readonly readers: number;
}

/** Minimum interval of checks whether this host should read, milliseconds. */
export const MINIMUM_CHECK_INTERVAL_MS = 50;

/**
 * Initial time on top of a watch's wait after which another read begins beside
 * an unanswered one, milliseconds.
 */
export const INITIAL_RESPONSE_TIMEOUT_MS = 400;

/** The same after an unanswered call, as the store may be slow, ms. */
export const RETRY_RESPONSE_TIMEOUT_MS = 800;

/** The longest such time while the store answers slowly, milliseconds. */
export const MAXIMUM_RESPONSE_TIMEOUT_MS = 4_000;

/**
 * Time on top of a watch's wait for which an answer is still used, milliseconds:
 * a store that answers late is slow, not away.
 */
export const LATE_ANSWER_MS = 10_000;

/**
 * Retry delays after failed calls, milliseconds: they bound the store's load.
 */
export const INITIAL_RETRY_DELAY_MS = 50;
export const MAXIMUM_RETRY_DELAY_MS = 800;

/** Response time of a healthy store, for lists of several pages too, ms. */
const TYPICAL_RESPONSE_MS = 100;

/** Allowance for late timers on a busy machine, milliseconds. */
const TIMER_LAG_MS = 200;

/**
 * Time from the age at which a host reads the store itself to the updated view,
 * if the first response is missing, milliseconds.
 */
const DIRECT_READ_MS =
  MINIMUM_CHECK_INTERVAL_MS +
  INITIAL_RESPONSE_TIMEOUT_MS +
  INITIAL_RETRY_DELAY_MS +
  TYPICAL_RESPONSE_MS +
  TIMER_LAG_MS;

/** Time to relay a view through a healthy reader, milliseconds. */
const RELAY_MS = EXCHANGE_PERIOD_MS + TYPICAL_RESPONSE_MS;

/** Minimum total of two waits and a pause, milliseconds. */
const MINIMUM_CYCLE_MS = 100;

/**
 * Upper limit of a watch's wait, milliseconds: keeps an idle service at a few
 * calls per second.
 */
const MAXIMUM_WAIT_MS = 1_500;

/**
 * Age bound for records, milliseconds: proof of a claim is valid for 12 s, and
 * the holder must learn that it ended within half of that.
 */
const RECORDS_BOUND_MS = 6_000;

/**
 * Pauses that batch changes, milliseconds. The configuration's is short, but
 * bounds the work of a series of changes, as each is read, checked and passed
 * on as a whole.
 */
const PAUSES_MS: Readonly<Record<StoreKind, number>> = {
  configuration: 200,
  servers: 400,
  'adapter-versions': 500,
  records: 500,
};

/** Readers per reader group. */
const READERS: Readonly<Record<StoreKind, number>> = {
  configuration: 2,
  servers: 2,
  'adapter-versions': 1,
  records: 1,
};

/** The settings that determine reading plans. */
type PlanSettings = Pick<EntryHostSettings, 'newsBounds'> &
  Partial<Pick<EntryHostSettings, 'keyRevocationMs'>>;

/**
 * Fraction of the key revocation time within which the configuration must be
 * confirmed; the rest is a safety margin.
 */
const REVOCATION_SHARE = 0.8;

/** Time within which all hosts must know changes of each kind, milliseconds. */
const viewAgeBounds = ({
  newsBounds,
  keyRevocationMs,
}: PlanSettings): Readonly<Record<StoreKind, number>> => ({
  configuration: Math.min(
    newsBounds.configurationMs,
    // Keys are accepted only while the view is confirmed within this time.
    (keyRevocationMs ?? Infinity) * REVOCATION_SHARE,
  ),
  // An older view would be mistaken for an outage of the store.
  servers: Math.min(newsBounds.leavingServerMs, OUTAGE_GAP_MS),
  'adapter-versions': newsBounds.adapterVersionMs,
  records: RECORDS_BOUND_MS,
});

/**
 * Returns the plan for a kind. It ensures that no host which can reach the
 * store uses a view older than the kind's bound, even if all readers fail.
 */
export const readingPlan = (
  kind: StoreKind,
  settings: PlanSettings,
): ReadingPlan => {
  const directReadAgeMs = Math.max(
    RELAY_MS + MINIMUM_CYCLE_MS,
    viewAgeBounds(settings)[kind] - DIRECT_READ_MS,
  );
  // A view's age counts from the start of a watch. Before it is refreshed, the
  // age thus covers that wait, the pause and the next wait.
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
 * Returns the maximum age of a view used by a host that can reach the store,
 * milliseconds. In the worst case the host reads the store itself and the first
 * response is missing.
 */
export const maximumViewAgeMs = ({
  waitMs,
  pauseMs,
  directReadAgeMs,
}: ReadingPlan): number =>
  Math.max(directReadAgeMs, pauseMs + 2 * waitMs) + DIRECT_READ_MS;
