import {elapsedMs, type Instant} from '@basilworks/core';

/** What a tenant asked of a service and got there, a second. */
export interface TenantUse {
  readonly service: string;
  readonly tenant: string;
  /** Asked, whether it was refused or not. */
  readonly offered: number;
  readonly served: number;
}

/** Time in which a rate forgets all but a third, milliseconds. */
const MEMORY_MS = 2_000;

/** Rates below this are nothing, in what uses are counted in. */
const LEAST_RATE = 0.01;

/** What one host's tenants ask and get, as rates that decay. */
export class UseRates {
  private readonly uses = new Map<
    string,
    {service: string; tenant: string; offered: Decaying; served: Decaying}
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
      if (offered + served < LEAST_RATE) {
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
      offered: new Decaying(),
      served: new Decaying(),
    };
    this.uses.set(key, use);
    return use;
  }
}

/** A sum that decays. */
class Decaying {
  private sum = 0;
  private since: Instant | undefined;

  add(amount: number, at: Instant): void {
    this.decay(at);
    this.sum += amount;
  }

  /** Amount a second. */
  rate(at: Instant): number {
    this.decay(at);
    return (this.sum * 1_000) / MEMORY_MS;
  }

  private decay(at: Instant): void {
    const elapsed = Math.max(0, elapsedMs(this.since ?? at, at));
    this.sum *= Math.exp(-elapsed / MEMORY_MS);
    this.since = at;
  }
}
