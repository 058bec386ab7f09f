import type {CoreSettings} from '../settings.js';
import type {PriorityClass, RequestDescription} from '../request.js';
import type {ServerView} from './server-view.js';

/** Price of a load beyond its wait: it delays the loads of others. */
const LOAD_PRICE_MS = 500;

/**
 * Price of an eviction, per expected miss and second that it causes, where
 * stalls and batches weigh the same.
 */
const EVICTION_PRICE_MS = 1_800;

/** Least weight of batch efficiency that the price is divided by. */
const MINIMUM_BATCH_WEIGHT = 0.05;

/** Cost of a server in another zone than the home. */
const ZONE_PRICE_MS = 2;

/** Processing time that a cached prompt prefix saves. */
const PREFIX_SAVING_MS = 45;

/** Most that a busy server is preferred by, to fill its batch. */
const PACKING_MS = 100;

/** Where a request could run, and what that would cost. */
export interface Choice {
  readonly view: ServerView;
  /** Expected wait before the first token, with prices, milliseconds. */
  readonly costMs: number;
  /** Expected wait for a batch position and a load, without prices. */
  readonly waitMs: number;
}

/** What a choice depends on besides the servers. */
export interface ChoiceContext {
  readonly settings: CoreSettings;
  readonly request: RequestDescription;
  /** Server that may have the prompt's prefix in its cache. */
  readonly prefixServer: string | undefined;
}

/** Returns the cheapest server for a request, or undefined without any. */
export const chooseServer = (
  views: readonly ServerView[],
  context: ChoiceContext,
): Choice | undefined => {
  let best: Choice | undefined;
  for (const view of views) {
    const choice = rateServer(view, context);
    if (!best || choice.costMs < best.costMs) {
      best = choice;
    }
  }
  return best;
};

const rateServer = (view: ServerView, context: ChoiceContext): Choice => {
  const {settings, request, prefixServer} = context;
  const {description} = view;
  const queueMs = queueWaitMs(view, request.priorityClass);
  const loadMs = loadWaitMs(view, settings);
  const zoneMs = description.zone === settings.zone ? 0 : ZONE_PRICE_MS;
  const savedMs =
    settings.mechanisms.prefixAffinity && prefixServer === description.server
      ? PREFIX_SAVING_MS
      : 0;
  const priceMs =
    view.slot === 'absent'
      ? LOAD_PRICE_MS + evictionPriceMs(view, settings)
      : 0;
  const fill = Math.min(1, view.busy / description.batchPositions);
  const packingMs = settings.mechanisms.packing
    ? settings.objectives.batchEfficiencyWeight * PACKING_MS
    : 0;
  const waitMs = queueMs + loadMs;
  return {
    view,
    waitMs,
    costMs: waitMs + priceMs + zoneMs - savedMs - packingMs * fill,
  };
};

/**
 * A high price spreads adapters over all slots and saves loads; a low one
 * gathers the work on few servers and fills their batches.
 */
const evictionPriceMs = (
  {evictionRate}: ServerView,
  {mechanisms, objectives}: CoreSettings,
): number => {
  const {loadStallWeight, batchEfficiencyWeight} = objectives;
  const ratio =
    loadStallWeight / Math.max(MINIMUM_BATCH_WEIGHT, batchEfficiencyWeight);
  return mechanisms.evictionPrice
    ? evictionRate * EVICTION_PRICE_MS * ratio ** 2
    : 0;
};

/** Expected wait for a batch position behind equal and higher classes. */
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
  if (view.slot === 'ready') {
    return 0;
  }
  if (view.slot === 'loading') {
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
