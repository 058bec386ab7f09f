import {elapsedMs, type Instant} from '@basilworks/core';

/** Demand and throughput of a tenant at a service, per second. */
export interface TenantUse {
  readonly service: string;
  readonly tenant: string;
  /** Demand, refused requests included. */
  readonly offered: number;
  readonly served: number;
}

/** Time constant of the exponential decay, milliseconds. */
const DECAY_MS = 2_000;

/** Sum of rates below which an entry is dropped, units per second. */
const MIN_RATE = 0.01;

/** Demand and throughput of tenants on one host, as decaying rates. */
export class UseRates {
  private readonly uses = new Map<
    string,
    {service: string; tenant: string; offered: DecayingSum; served: DecayingSum}
  >();

  recordOffered(
    service: string,
    tenant: string,
    amount: number,
    at: Instant,
  ): void {
    this.of(service, tenant).offered.add(amount, at);
  }

  recordServed(
    service: string,
    tenant: string,
    amount: number,
    at: Instant,
  ): void {
    this.of(service, tenant).served.add(amount, at);
  }

  rates(at: Instant): readonly TenantUse[] {
    const rates: TenantUse[] = [];
    for (const [key, {service, tenant, ...sums}] of this.uses) {
      const [offered, served] = [sums.offered.rate(at), sums.served.rate(at)];
      if (offered + served < MIN_RATE) {
        this.uses.delete(key);
      } else {
        rates.push({service, tenant, offered, served});
      }
    }
    return rates;
  }

  private of(service: string, tenant: string) {
    const key = `${service} ${tenant}`;
    const use = this.uses.get(key) ?? {
      service,
      tenant,
      offered: new DecayingSum(),
      served: new DecayingSum(),
    };
    this.uses.set(key, use);
    return use;
  }
}

/** Exponentially decaying sum. */
class DecayingSum {
  private sum = 0;
  private since: Instant | undefined;

  add(amount: number, at: Instant): void {
    this.decay(at);
    this.sum += amount;
  }

  /** Amount per second. */
  rate(at: Instant): number {
    this.decay(at);
    return (this.sum * 1_000) / DECAY_MS;
  }

  private decay(at: Instant): void {
    const elapsed = Math.max(0, elapsedMs(this.since ?? at, at));
    this.sum *= Math.exp(-elapsed / DECAY_MS);
    this.since = at;
  }
}
