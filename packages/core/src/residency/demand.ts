/** Time in which the memory of a visit falls to 1/e. */
const VISIT_MEMORY_MS = 600_000;

/** Gap after which a request counts as a new visit. */
const VISIT_GAP_MS = 5_000;

/** Time after which a visit that goes on is silent with a chance of 1/e. */
const SESSION_MEMORY_MS = 20_000;

/** Chance that a request is followed by another of the same visit. */
const SESSION_CHANCE = 0.8;

/** Entries at which those with the least demand are dropped. */
const DEMAND_CAPACITY = 20_000;

interface Demand {
  /** Decayed sum of the weights of visits. */
  visits: number;
  /** Weight of the last request. */
  weight: number;
  /** Monotonic time at which `visits` was brought up to date. */
  visitsAtMs: number;
  /** Monotonic time of the last request. */
  lastMs: number;
}

/**
 * Demand for adapter versions. A visit is a run of requests with short gaps:
 * it costs one load however many requests it has, so visits are counted.
 */
export type DemandTable = Map<string, Demand>;

export const createDemandTable = (): DemandTable => new Map();

/** Notes one request of the given weight. */
export const addDemand = (
  table: DemandTable,
  key: string,
  weight: number,
  nowMs: number,
): void => {
  const entry = table.get(key);
  if (!entry) {
    if (table.size >= DEMAND_CAPACITY) {
      dropLeast(table, nowMs);
    }
    table.set(key, {visits: weight, weight, visitsAtMs: nowMs, lastMs: nowMs});
    return;
  }
  if (nowMs - entry.lastMs > VISIT_GAP_MS) {
    entry.visits = decayedVisits(entry, nowMs) + weight;
    entry.visitsAtMs = nowMs;
  }
  entry.weight = weight;
  entry.lastMs = nowMs;
};

/**
 * Returns the weighted rate per second at which requests are expected that
 * need the adapter version: new visits, and the present one going on.
 */
export const demandOf = (
  table: DemandTable,
  key: string,
  nowMs: number,
): number => {
  const entry = table.get(key);
  if (!entry) {
    return 0;
  }
  const visitRate = (decayedVisits(entry, nowMs) * 1_000) / VISIT_MEMORY_MS;
  const silent =
    SESSION_CHANCE * Math.exp((entry.lastMs - nowMs) / SESSION_MEMORY_MS);
  const chance = silent / (silent + 1 - SESSION_CHANCE);
  return visitRate + (entry.weight * chance * 1_000) / SESSION_MEMORY_MS;
};

/** Expects the requests of one adapter version for another from now on. */
export const moveDemand = (
  table: DemandTable,
  from: string,
  to: string,
): void => {
  const entry = table.get(from);
  if (entry && !table.has(to)) {
    table.delete(from);
    table.set(to, entry);
  }
};

const decayedVisits = (entry: Demand, nowMs: number): number =>
  entry.visits * Math.exp((entry.visitsAtMs - nowMs) / VISIT_MEMORY_MS);

/** Drops the half of the entries with the least demand. */
const dropLeast = (table: DemandTable, nowMs: number): void => {
  const keys = [...table.keys()].sort(
    (first, second) =>
      demandOf(table, first, nowMs) - demandOf(table, second, nowMs),
  );
  for (const key of keys.slice(0, keys.length / 2)) {
    table.delete(key);
  }
};
