/** Time in which the memory of a request falls to 1/e. */
const DEMAND_MEMORY_MS = 300_000;

/** Entries at which those with the least demand are dropped. */
const DEMAND_CAPACITY = 20_000;

interface Demand {
  /** Decayed sum of the weights of requests. */
  weight: number;
  /** Monotonic time at which `weight` was brought up to date. */
  atMs: number;
}

/** Exponentially decayed demand for adapter versions. */
export type DemandTable = Map<string, Demand>;

export const createDemandTable = (): DemandTable => new Map();

/** Adds one request of the given weight. */
export const addDemand = (
  table: DemandTable,
  key: string,
  weight: number,
  nowMs: number,
): void => {
  const entry = table.get(key);
  if (entry) {
    entry.weight = decayed(entry, nowMs) + weight;
    entry.atMs = nowMs;
    return;
  }
  if (table.size >= DEMAND_CAPACITY) {
    dropLeast(table, nowMs);
  }
  table.set(key, {weight, atMs: nowMs});
};

/** Returns the weight of requests within the memory, per memory time. */
export const demandOf = (
  table: DemandTable,
  key: string,
  nowMs: number,
): number => {
  const entry = table.get(key);
  return entry ? decayed(entry, nowMs) : 0;
};

const decayed = ({weight, atMs}: Demand, nowMs: number): number =>
  weight * Math.exp((atMs - nowMs) / DEMAND_MEMORY_MS);

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
