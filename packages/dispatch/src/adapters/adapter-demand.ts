import {elapsedMs, type Instant} from '@basilworks/core';

import {adapterKey, type AdapterName} from './adapter-key.js';

/** Half-life of the rates, milliseconds: a burst is seen within a second. */
const HALF_LIFE_MS = 2_000;

/**
 * Half-life of the rates by which a burst on one adapter is seen, milliseconds:
 * its server is crowded within a tenth of a second.
 */
const BURST_HALF_LIFE_MS = 250;

/** Requests within a burst before it counts as one. */
const LEAST_BURST = 8;

/** Adapters whose rates are kept; the least asked for go first. */
const MAXIMUM_ADAPTERS = 256;

/** Time of a request at a server until some were seen, seconds. */
const ASSUMED_RUN_S = 1;

/**
 * Share of the room below the crowding limit that one adapter's requests may
 * take on each server, as others run there as well.
 */
const ADAPTER_SHARE = 0.5;

/** Most servers that one adapter is spread over. */
export const MAXIMUM_SPREAD = 32;

interface Rate {
  /** Decayed count. */
  count: number;
  /** The same, decayed so fast that only a burst counts. */
  burst: number;
  at: Instant;
}

/** What the spread of an adapter depends on besides its own demand. */
export interface SpreadContext {
  /** Requests at the server, of all adapters. */
  readonly requests: number;
  /** Requests from which the server counts as crowded. */
  readonly overloadThreshold: number;
  /** Whether a burst within a fraction of a second counts. */
  readonly detectBursts?: boolean;
}

/**
 * How much each adapter of a server is asked for over all hosts, and so over
 * how many servers its requests have to be spread. A host that chose among
 * several servers says so, and its request stands for as many.
 */
export class AdapterDemand {
  private readonly rates = new Map<string, Rate>();
  private readonly all: Rate = {
    count: 0,
    burst: 0,
    at: {monotonicMs: 0, wallMs: 0},
  };

  /**
   * Counts a request whose host chose one of `among` servers, and earlier ones
   * of which it did not tell at once.
   */
  recordRequest(
    name: AdapterName,
    among: number,
    at: Instant,
    earlier = 0,
  ): void {
    const key = adapterKey(name);
    const known = this.rates.get(key);
    this.rates.delete(key);
    this.rates.set(key, {
      count: decayed(known, at) + among * (1 + earlier),
      burst: decayedBurst(known, at) + among,
      at,
    });
    this.all.count = decayed(this.all, at) + 1;
    this.all.at = at;
    if (this.rates.size > MAXIMUM_ADAPTERS) {
      this.prune(at);
    }
  }

  /** Servers over which requests for the adapter should be spread. */
  spread(
    name: AdapterName,
    {requests, overloadThreshold, detectBursts}: SpreadContext,
    at: Instant,
  ): number {
    const arrivalsPerS = perSecond(this.all, at);
    const runS =
      arrivalsPerS < 1
        ? ASSUMED_RUN_S
        : Math.min(ASSUMED_RUN_S * 2, requests / arrivalsPerS);
    const rate = this.rates.get(adapterKey(name));
    const burst = detectBursts === true ? burstPerSecond(rate, at) : 0;
    const wanted = Math.max(perSecond(rate, at), burst) * runS;
    const servers = Math.ceil(
      wanted / Math.max(1, overloadThreshold * ADAPTER_SHARE),
    );
    return Math.max(1, Math.min(MAXIMUM_SPREAD, servers));
  }

  private prune(at: Instant): void {
    const byRate = [...this.rates].sort(
      ([, first], [, second]) => decayed(first, at) - decayed(second, at),
    );
    for (const [key] of byRate.slice(0, MAXIMUM_ADAPTERS / 4)) {
      this.rates.delete(key);
    }
  }
}

const decayed = (rate: Rate | undefined, at: Instant): number =>
  rate === undefined
    ? 0
    : rate.count * 0.5 ** (Math.max(0, elapsedMs(rate.at, at)) / HALF_LIFE_MS);

const decayedBurst = (rate: Rate | undefined, at: Instant): number =>
  rate === undefined
    ? 0
    : rate.burst *
      0.5 ** (Math.max(0, elapsedMs(rate.at, at)) / BURST_HALF_LIFE_MS);

const burstPerSecond = (rate: Rate | undefined, at: Instant): number => {
  const burst = decayedBurst(rate, at);
  return burst < LEAST_BURST
    ? 0
    : (burst * Math.LN2 * 1_000) / BURST_HALF_LIFE_MS;
};

const perSecond = (rate: Rate | undefined, at: Instant): number =>
  (decayed(rate, at) * Math.LN2 * 1_000) / HALF_LIFE_MS;
