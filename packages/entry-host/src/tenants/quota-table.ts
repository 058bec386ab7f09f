import {
  type QuotaBounds,
  quotaBounds,
  type QuotaTolerance,
  type ServingConfiguration,
  type TenantQuota,
} from '@basilworks/dispatch';

/** The quotas of the configuration in use, with their enforcement bounds. */
export class QuotaTable {
  private quotas = new Map<string, TenantQuota>();
  private readonly bounds = new Map<string, QuotaBounds>();
  private boundsTolerance: QuotaTolerance | undefined;
  private currentVersion = 0;

  constructor(private readonly tolerance: () => QuotaTolerance) {}

  /** Whether no tenant has a quota. */
  get empty(): boolean {
    return this.quotas.size === 0;
  }

  get version(): number {
    return this.currentVersion;
  }

  use({version, tenants = []}: ServingConfiguration): void {
    this.currentVersion = version;
    this.quotas = new Map(
      tenants.flatMap(({name, quota}) =>
        quota === undefined ? [] : [[name, quota]],
      ),
    );
    this.bounds.clear();
  }

  quotaOf(tenant: string): TenantQuota | undefined {
    return this.quotas.get(tenant);
  }

  boundsOf(tenant: string): QuotaBounds | undefined {
    const tolerance = this.tolerance();
    if (this.boundsTolerance !== tolerance) {
      this.boundsTolerance = tolerance;
      this.bounds.clear();
    }
    const quota = this.quotas.get(tenant);
    const known = this.bounds.get(tenant);
    if (quota === undefined || known !== undefined) {
      return known;
    }
    const bounds = quotaBounds(quota, tolerance);
    this.bounds.set(tenant, bounds);
    return bounds;
  }
}
