import type {PriorityClass} from '@basilworks/core';

import type {Arrival} from './arrivals.js';
import type {Arena} from './contender.js';
import {ENGINE_OPTIONS} from './deployments.js';
import type {DirectStrategy} from './direct-contender.js';
import type {DirectServer, DirectSlot} from './direct-server.js';

/** Load of a server over the mean, above which hashing passes it over. */
const HASH_LOAD_BOUND = 1.25;

const CLASS_PRIORITY: Readonly<Record<PriorityClass, number>> = {
  urgent: 0,
  standard: 10,
  deferrable: 20,
};

const leastRecentlyUsed = (
  idle: readonly DirectSlot[],
): DirectSlot | undefined => minimumBy(idle, ({lastUsedMs}) => lastUsedMs);

/** Least-loaded server, least-recently-used eviction, first-come loads. */
export const baselineStrategy = (): DirectStrategy => ({
  chooseServer: ({key}, servers) =>
    minimumBy(
      servers,
      ({outstanding, slots}) => outstanding + (slots.has(key) ? 0 : 0.5),
    ),
  chooseVictim: leastRecentlyUsed,
  enginePriority: () => 0,
  loadOrder: undefined,
});

/** Consistent hashing with bounded loads, least-recently-used eviction. */
export const hashStrategy = (): DirectStrategy => ({
  chooseServer: ({key}, servers) => {
    const total = servers.reduce((sum, {outstanding}) => sum + outstanding, 1);
    const bound = Math.ceil((HASH_LOAD_BOUND * total) / servers.length);
    const open = servers.filter(({outstanding}) => outstanding < bound);
    return minimumBy(open, ({server}) => hashOf(`${key}|${server}`));
  },
  chooseVictim: leastRecentlyUsed,
  enginePriority: () => 0,
  loadOrder: undefined,
});

/**
 * Knows all arrivals: evicts what is asked for last, and loads first what can
 * wait least. It does not load before a request has arrived.
 */
export const clairvoyantStrategy = (arena: Arena): DirectStrategy => {
  const uses = new FutureUses(arena);
  const deadline = (arrival: Arrival): number =>
    CLASS_PRIORITY[arrival.priorityClass] * 1e9 +
    arrival.atMs +
    arrival.deadlineMs;
  return {
    chooseServer: (arrival, servers) =>
      minimumBy(servers, (server) => clairvoyantCost(arrival, server, uses)),
    chooseVictim: (idle) => minimumBy(idle, ({key}) => -uses.nextUseMs(key)),
    enginePriority: ({priorityClass}) => CLASS_PRIORITY[priorityClass],
    loadOrder: (first, second) => deadline(first) - deadline(second),
  };
};

/** Cost of a load that a server with room has to make, milliseconds. */
const LOAD_COST_MS = 2_000;

const clairvoyantCost = (
  {key}: Arrival,
  server: DirectServer,
  uses: FutureUses,
): number => {
  const {outstanding, slots, wanted} = server;
  const over = Math.max(0, outstanding + 1 - ENGINE_OPTIONS.batchPositions);
  const queueMs = over * 200 + outstanding;
  if (slots.has(key) || server.stalled.has(key)) {
    return queueMs;
  }
  const victimMs =
    slots.size < ENGINE_OPTIONS.slots
      ? Infinity
      : Math.max(
          0,
          ...[...slots.values()]
            .filter(({users, state}) => users === 0 && state === 'ready')
            .map((slot) => uses.nextUseMs(slot.key)),
        );
  const untilMs = Math.max(0, victimMs - uses.nowMs());
  const evictionMs = (LOAD_COST_MS * 10_000) / (10_000 + untilMs);
  return queueMs + LOAD_COST_MS + evictionMs + wanted.length * 500;
};

/** When each adapter is asked for next. */
class FutureUses {
  private readonly times = new Map<string, number[]>();

  constructor(private readonly arena: Arena) {
    for (const {key, atMs} of arena.arrivals) {
      const times = this.times.get(key) ?? [];
      times.push(atMs);
      this.times.set(key, times);
    }
  }

  nowMs(): number {
    return this.arena.scheduler.nowMs();
  }

  nextUseMs(key: string): number {
    const times = this.times.get(key) ?? [];
    const nowMs = this.nowMs();
    while (times.length > 0 && (times[0] ?? 0) <= nowMs) {
      times.shift();
    }
    return times[0] ?? Number.MAX_SAFE_INTEGER;
  }
}

const minimumBy = <Item>(
  items: readonly Item[],
  cost: (item: Item) => number,
): Item | undefined => {
  let best: Item | undefined;
  let least = Infinity;
  for (const item of items) {
    const itemCost = cost(item);
    if (itemCost < least) {
      best = item;
      least = itemCost;
    }
  }
  return best;
};

/** FNV-1a over the text. */
const hashOf = (text: string): number => {
  let hash = 0x811c9dc5;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193) >>> 0;
  }
  return hash;
};
