import type {CoreSettings} from '../settings.js';
import type {PriorityClass, RequestDescription} from '../request.js';
import type {ServerView} from './server-view.js';

/** Cost of a load in addition to its wait, because it delays other loads. */
const LOAD_PENALTY_MS = 500;

/**
 * Cost of an eviction per expected miss per second that it causes, when load
 * stalls and batch efficiency have equal weights.
 */
const EVICTION_PENALTY_MS = 1_800;

/** Lower bound of the batch efficiency weight used as a divisor. */
const MINIMUM_BATCH_WEIGHT = 0.05;

/** Cost of a server in another availability zone than the home. */
const CROSS_ZONE_PENALTY_MS = 2;

/** Prompt processing time that a cached prefix saves. */
const PREFIX_SAVING_MS = 45;

/** Maximum cost reduction for a server with a full batch. */
const MAXIMUM_PACKING_BONUS_MS = 100;

/** A server that a request could run on, with the expected cost. */
export interface ServerChoice {
  readonly view: ServerView;
  /** Expected wait before the first token, with penalties and savings. */
  readonly costMs: number;
  /** Expected wait for a batch position and an adapter load. */
  readonly waitMs: number;
}

/** Inputs of a choice besides the servers. */
export interface ChoiceContext {
  readonly settings: CoreSettings;
  readonly request: RequestDescription;
  /** Server that may have the prompt's prefix in its cache, if known. */
  readonly prefixServer: string | undefined;
}

/**
 * Returns the server with the lowest cost for a request, the first one on a
 * tie, or undefined if there are no servers.
 */
export const chooseServer = (
  views: readonly ServerView[],
  context: ChoiceContext,
): ServerChoice | undefined => {
  let best: ServerChoice | undefined;
  for (const view of views) {
    const choice = evaluateServer(view, context);
    if (!best || choice.costMs < best.costMs) {
      best = choice;
    }
  }
  return best;
};

const evaluateServer = (
  view: ServerView,
  context: ChoiceContext,
): ServerChoice => {
  const {settings, request, prefixServer} = context;
  const {description} = view;
  const queueMs = queueWaitMs(view, request.priorityClass);
  const loadMs = loadWaitMs(view, settings);
  const zoneMs = description.zone === settings.zone ? 0 : CROSS_ZONE_PENALTY_MS;
  const savedMs =
    settings.mechanisms.prefixAffinity && prefixServer === description.server
      ? PREFIX_SAVING_MS
      : 0;
  const penaltyMs =
    view.slotState === 'absent'
      ? LOAD_PENALTY_MS + evictionPenaltyMs(view, settings)
      : 0;
  const batchFill = Math.min(1, view.busy / description.batchPositions);
  const packingBonusMs = settings.mechanisms.packing
    ? settings.objectives.batchEfficiencyWeight * MAXIMUM_PACKING_BONUS_MS
    : 0;
  const waitMs = queueMs + loadMs;
  return {
    view,
    waitMs,
    costMs: waitMs + penaltyMs + zoneMs - savedMs - packingBonusMs * batchFill,
  };
};

/**
 * Returns the cost of the eviction that a load on the server needs. A high
 * cost spreads adapters over all slots and avoids loads; a low one
 * concentrates work on few servers and fills their batches.
 */
const evictionPenaltyMs = (
  {evictionRate}: ServerView,
  {mechanisms, objectives}: CoreSettings,
): number => {
  const {loadStallWeight, batchEfficiencyWeight} = objectives;
  const ratio =
    loadStallWeight / Math.max(MINIMUM_BATCH_WEIGHT, batchEfficiencyWeight);
  return mechanisms.evictionPrice
    ? evictionRate * EVICTION_PENALTY_MS * ratio ** 2
    : 0;
};

/**
 * Returns the expected wait for a batch position, in milliseconds, behind
 * requests of the same and of higher classes.
 */
export const queueWaitMs = (
  view: ServerView,
  priorityClass: PriorityClass,
): number => {
  const {batchPositions} = view.description;
  const behind = view.waiting
    .slice(CLASS_RANK[priorityClass] + 1)
    .reduce((sum, count) => sum + count, 0);
  const ahead = view.busy - behind - batchPositions + 1;
  return ahead <= 0 ? 0 : (ahead * view.serviceMs) / batchPositions;
};

const loadWaitMs = (view: ServerView, settings: CoreSettings): number => {
  if (view.slotState === 'ready') {
    return 0;
  }
  if (view.slotState === 'loading') {
    return settings.weightStore.loadMs;
  }
  const slotMs = view.usableSlots > 0 ? 0 : view.serviceMs;
  return view.loadWaitMs + slotMs;
};

const CLASS_RANK: Readonly<Record<PriorityClass, number>> = {
  urgent: 0,
  standard: 1,
  deferrable: 2,
};
