import {elapsedMs, type Instant} from '@basilworks/core';

import {adapterKey, type AdapterName} from './adapter-key.js';

/** Half-life of request rates, ms: a burst shows within a second. */
const HALF_LIFE_MS = 2_000;

/**
 * Half-life of the rates that detect a burst on one adapter, ms. It is short
 * because a burst overloads the adapter's server within a tenth of a second.
 */
const BURST_HALF_LIFE_MS = 250;

/** Decayed request count from which a burst is recognized. */
const MINIMUM_BURST = 8;

/** Adapters with a tracked rate; those with the lowest rates are dropped. */
const MAXIMUM_ADAPTERS = 256;

/** Assumed service time of a request while the request rate is low, seconds. */
const ASSUMED_SERVICE_S = 1;

/**
 * Fraction of a server's overload threshold that the requests for one adapter
 * may use, as requests for other adapters run there as well.
 */
const ADAPTER_FRACTION = 0.5;

/** Maximum number of servers among which one adapter is spread. */
export const MAXIMUM_SPREAD = 32;

interface Rate {
  /** Request count, decayed with `HALF_LIFE_MS`. */
  count: number;
  /** Request count, decayed with `BURST_HALF_LIFE_MS`. */
  burst: number;
  at: Instant;
}

/** State of a server that determines the spread of its adapters. */
export interface SpreadContext {
  /** Requests in flight at the server, for all adapters. */
  readonly requests: number;
  /** Number of requests from which the server is overloaded. */
  readonly overloadThreshold: number;
  /** Whether the spread also follows bursts shorter than a second. */
  readonly detectBursts?: boolean;
}

/**
 * Tracks the request rate of each adapter of a server over all hosts, and
 * derives the number of servers among which its requests have to be spread.
 * A host that chose one of several servers reports their number, and its
 * request is counted that many times.
 */
export class AdapterDemand {
  private readonly rates = new Map<string, Rate>();
  private readonly total: Rate = {
    count: 0,
    burst: 0,
    at: {monotonicMs: 0, wallMs: 0},
  };

  /**
   * Records a request whose host chose one of `among` servers, together with
   * `unreported` earlier requests that the host had not reported yet.
   */
  recordRequest(
    name: AdapterName,
    among: number,
    at: Instant,
    unreported = 0,
  ): void {
    const key = adapterKey(name);
    const known = this.rates.get(key);
    this.rates.delete(key);
    this.rates.set(key, {
      count: decayed(known, at) + among * (1 + unreported),
      burst: decayedBurst(known, at) + among,
      at,
    });
    this.total.count = decayed(this.total, at) + 1;
    this.total.at = at;
    if (this.rates.size > MAXIMUM_ADAPTERS) {
      this.prune(at);
    }
  }

  /** Number of servers among which the adapter should be spread. */
  spread(
    name: AdapterName,
    {requests, overloadThreshold, detectBursts}: SpreadContext,
    at: Instant,
  ): number {
    const arrivalsPerS = perSecond(this.total, at);
    const serviceS =
      arrivalsPerS < 1
        ? ASSUMED_SERVICE_S
        : Math.min(ASSUMED_SERVICE_S * 2, requests / arrivalsPerS);
    const rate = this.rates.get(adapterKey(name));
    const burst = detectBursts === true ? burstPerSecond(rate, at) : 0;
    const concurrency = Math.max(perSecond(rate, at), burst) * serviceS;
    const servers = Math.ceil(
      concurrency / Math.max(1, overloadThreshold * ADAPTER_FRACTION),
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
  return burst < MINIMUM_BURST
    ? 0
    : (burst * Math.LN2 * 1_000) / BURST_HALF_LIFE_MS;
};

const perSecond = (rate: Rate | undefined, at: Instant): number =>
  (decayed(rate, at) * Math.LN2 * 1_000) / HALF_LIFE_MS;
