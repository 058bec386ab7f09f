import {rankByWeightedRendezvous} from '@basilworks/core';

import type {Server} from './server-table.js';

/** Maximum number of cached keys: the frequently used adapters of a fleet. */
const MAXIMUM_KEYS = 512;

/**
 * Cache of rendezvous rankings by key, least recently used evicted first. Most
 * requests are for few adapters, and servers and their weights seldom change.
 *
 * With 10,000 adapters on 70 servers, hashing each server for each request
 * takes most of the time of a choice.
 */
export class RendezvousCache {
  private names: readonly string[] = [];
  private slowdowns: readonly number[] = [];
  private readonly rankings = new Map<string, Uint16Array>();

  /** Returns the servers in the order of the key's ranking. */
  rank(key: string, servers: readonly Server[]): readonly Server[] {
    if (!this.isSame(servers)) {
      this.names = servers.map(({entry}) => entry.id);
      this.slowdowns = servers.map(({health}) => health.speed.longTermSlowdown);
      this.rankings.clear();
    }
    const known = this.rankings.get(key);
    this.rankings.delete(key);
    const ranking = known ?? rankingOf(key, this.names, this.slowdowns);
    this.rankings.set(key, ranking);
    if (this.rankings.size > MAXIMUM_KEYS) {
      const [oldest = key] = this.rankings.keys();
      this.rankings.delete(oldest);
    }
    return servers.map(
      (server, index) => servers[ranking[index] ?? 0] ?? server,
    );
  }

  private isSame(servers: readonly Server[]): boolean {
    return (
      servers.length === this.names.length &&
      servers.every(
        ({entry, health}, index) =>
          entry.id === this.names[index] &&
          health.speed.longTermSlowdown === this.slowdowns[index],
      )
    );
  }
}

const rankingOf = (
  key: string,
  names: readonly string[],
  slowdowns: readonly number[],
): Uint16Array => {
  const positions = new Map(names.map((name, index) => [name, index]));
  const candidates = names.map((name, index) => ({
    name,
    weight: 1 / (slowdowns[index] ?? 1),
  }));
  return Uint16Array.from(
    rankByWeightedRendezvous(key, candidates),
    (name) => positions.get(name) ?? 0,
  );
};
