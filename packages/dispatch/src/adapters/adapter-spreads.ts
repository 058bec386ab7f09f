import {elapsedMs, type Instant} from '@basilworks/core';

import {adapterKey, type AdapterName} from './adapter-key.js';

/**
 * Time for which a host uses an issuer's spread of an adapter, ms. Among
 * hundreds of hosts, each requests even the most popular adapter only every
 * few seconds.
 */
const VALIDITY_MS = 6_000;

/** The spread of each adapter (a number of servers), as set by issuers. */
export class AdapterSpreads {
  private readonly spreads = new Map<string, {servers: number; at: Instant}>();

  /** Applies the spread of an adapter from an issuer's answer. */
  update(name: AdapterName, servers: number, at: Instant): void {
    const key = adapterKey(name);
    if (servers > 1) {
      this.spreads.set(key, {servers, at});
    } else {
      this.spreads.delete(key);
    }
  }

  /** Number of servers to choose among; 1 without a current spread. */
  get(name: AdapterName, at: Instant): number {
    const key = adapterKey(name);
    const known = this.spreads.get(key);
    if (known !== undefined && elapsedMs(known.at, at) > VALIDITY_MS) {
      this.spreads.delete(key);
      return 1;
    }
    return known?.servers ?? 1;
  }
}

/**
 * Returns the server to query next: a random one of the preferred servers that
 * were not queried yet, else the first such server of the ranking.
 */
export const nextCandidate = <Item>(
  preferred: readonly Item[],
  ranked: readonly Item[],
  queried: ReadonlySet<Item>,
  random: () => number,
): Item | undefined => {
  const remaining = preferred.filter((item) => !queried.has(item));
  return (
    remaining[Math.floor(random() * remaining.length)] ??
    ranked.find((item) => !queried.has(item))
  );
};
