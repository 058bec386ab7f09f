import {
  EntryHostMetrics,
  entryHostSettingsSchema,
  TenantQuotas,
  type TenantQuotasContext,
} from '../../index.js';
import {VirtualTimers} from '../views/virtual-time.js';
import type {QuotaSimulation} from './quota-simulation.js';

const ADDRESS = '127.0.0.1:1';

/** One host with its own belief in who lives. */
export class SimulatedHost {
  quotas!: TenantQuotas;
  up = true;
  isolated = false;
  changedMs = -1e6;
  /** Part of the fleet that it is in while that is split. */
  side = 0;
  private incarnation = 0;
  private frozen: (() => void)[] | undefined;
  private timers: VirtualTimers | undefined;

  constructor(
    readonly name: string,
    private readonly fleet_: QuotaSimulation,
    /** How late it learns of others, milliseconds. */
    readonly lagMs: number,
  ) {
    this.restart();
  }

  get running(): boolean {
    return this.up && this.frozen === undefined;
  }

  restart(): void {
    const {time} = this.fleet_;
    this.up = true;
    this.frozen = undefined;
    this.changedMs = time.nowMs;
    this.timers?.close();
    const run = (this.incarnation += 1);
    const incarnation = `${run}`;
    const whenRunning = (callback: () => void) => {
      if (!this.up || run !== this.incarnation) {
        return;
      }
      if (this.frozen === undefined) {
        callback();
      } else {
        this.frozen.push(callback);
      }
    };
    const timers = new VirtualTimers(time, whenRunning);
    this.timers = timers;
    const ignore = () => undefined;
    const status = (name: string) => ({host: name, capacity: 500});
    const items = [...this.fleet_.hosts.keys(), this.name].map((host) => ({
      value: {type: 'host', host, zone: 'z', ...ADDRESSES},
    }));
    const context = {
      settings: entryHostSettingsSchema.parse({
        ...SETTINGS,
        host: this.name,
        quotaTolerance: this.fleet_.tolerance,
      }),
      clock: {now: () => ({monotonicMs: time.nowMs, wallMs: time.nowMs})},
      timers,
      logger: {debug: ignore, info: ignore, warn: ignore, error: ignore},
      metrics: new EntryHostMetrics(() => 0),
      membership: {
        live: () => this.fleet_.believedLive(this).map(status),
        self: () => ({incarnation}),
      },
      views: {get: () => ({snapshot: {items: this.fleet_.records ?? items}})},
      platform: {
        forwarding: {
          readTokenUsage: (value: string) => ({
            promptTokens: Number(value),
            outputTokens: 0,
          }),
        },
      },
      signal: new AbortController().signal,
    };
    this.quotas = new TenantQuotas(
      context as unknown as TenantQuotasContext,
      (host) => ({
        quota: (request) => this.fleet_.carry(this, host, request, whenRunning),
      }),
    );
    this.quotas.use(this.fleet_.configuration());
    this.quotas.start();
  }

  kill(): void {
    this.up = false;
    this.changedMs = this.fleet_.time.nowMs;
    this.timers?.close();
  }

  freeze(): void {
    this.frozen ??= [];
    this.changedMs = this.fleet_.time.nowMs;
  }

  thaw(): void {
    const held = this.frozen ?? [];
    this.frozen = undefined;
    this.changedMs = this.fleet_.time.nowMs;
    for (const callback of held) {
      callback();
    }
  }

  cut(isolated: boolean): void {
    this.isolated = isolated;
    this.changedMs = this.fleet_.time.nowMs;
  }
}

/** Nobody connects to them. */
export const ADDRESSES = {peerAddress: ADDRESS, callerAddress: ADDRESS};

const SETTINGS = {
  ...ADDRESSES,
  zone: 'z',
  readinessAddress: ADDRESS,
  directoryAddress: ADDRESS,
  storeAddress: ADDRESS,
  seeds: [],
  addressLifetimeS: 5,
  stopGraceS: 8,
  orderLeaseMs: 300,
  retryBudget: {ratio: 0.2, extra: 50, windowS: 10},
};
