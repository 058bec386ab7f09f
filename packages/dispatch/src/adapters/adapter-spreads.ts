import {elapsedMs, type Instant} from '@basilworks/core';

import {adapterKey, type AdapterName} from './adapter-key.js';

/**
 * How long a host goes by what an issuer said of an adapter, milliseconds: of
 * hundreds of hosts, each asks for the most popular one every few seconds.
 */
const VALIDITY_MS = 6_000;

/** Over how many servers adapters are spread, by the word of issuers. */
export class AdapterSpreads {
  private readonly spreads = new Map<string, {servers: number; at: Instant}>();

  /** An issuer said over how many servers an adapter should be spread. */
  update(name: AdapterName, servers: number, at: Instant): void {
    const key = adapterKey(name);
    if (servers > 1) {
      this.spreads.set(key, {servers, at});
    } else {
      this.spreads.delete(key);
    }
  }

  /** Servers to choose among. */
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
 * Returns the server to ask next for a request whose adapter is spread over some
 * servers: one of these at random, else the next as ranked.
 */
export const nextCandidate = <Item>(
  spreadOver: readonly Item[],
  ranked: readonly Item[],
  asked: ReadonlySet<Item>,
  random: () => number,
): Item | undefined => {
  const left = spreadOver.filter((item) => !asked.has(item));
  return (
    left[Math.floor(random() * left.length)] ??
    ranked.find((item) => !asked.has(item))
  );
};
