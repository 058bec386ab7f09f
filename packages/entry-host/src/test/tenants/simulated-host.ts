import {
  EntryHostMetrics,
  entryHostSettingsSchema,
  TenantQuotas,
  type TenantQuotasContext,
} from '../../index.js';
import {VirtualTimers} from '../views/virtual-time.js';
import type {QuotaSimulation} from './quota-simulation.js';

const ADDRESS = '127.0.0.1:1';

/** One host with its own view of the live hosts. */
export class SimulatedHost {
  quotas!: TenantQuotas;
  isUp = true;
  isolated = false;
  changedMs = -1e6;
  /** Side of the network partition, if there is one. */
  side = 0;
  private incarnation = 0;
  private frozen: (() => void)[] | undefined;
  private timers: VirtualTimers | undefined;

  constructor(
    readonly name: string,
    private readonly simulation: QuotaSimulation,
    /** Delay until it learns that other hosts came or failed. */
    readonly membershipLagMs: number,
  ) {
    this.restart();
  }

  get running(): boolean {
    return this.isUp && this.frozen === undefined;
  }

  restart(): void {
    const {time} = this.simulation;
    this.isUp = true;
    this.frozen = undefined;
    this.changedMs = time.nowMs;
    this.timers?.close();
    const instance = (this.incarnation += 1);
    const incarnation = `${instance}`;
    const whenRunning = (callback: () => void) => {
      if (!this.isUp || instance !== this.incarnation) {
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
    const items = [...this.simulation.hosts.keys(), this.name].map((host) => ({
      value: {type: 'host', host, zone: 'z', ...ADDRESSES},
    }));
    const context = {
      settings: entryHostSettingsSchema.parse({
        ...SETTINGS,
        host: this.name,
        quotaTolerance: this.simulation.tolerance,
      }),
      clock: {now: () => ({monotonicMs: time.nowMs, wallMs: time.nowMs})},
      timers,
      logger: {debug: ignore, info: ignore, warn: ignore, error: ignore},
      metrics: new EntryHostMetrics(() => 0),
      membership: {
        live: () => this.simulation.liveAsSeenBy(this).map(status),
        self: () => ({incarnation}),
      },
      views: {
        get: () => ({snapshot: {items: this.simulation.records ?? items}}),
      },
      platform: {
        forwarding: {
          parseTokenUsage: (value: string) => ({
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
        quota: (request) =>
          this.simulation.exchange(this, host, request, whenRunning),
      }),
    );
    this.quotas.use(this.simulation.configuration());
    this.quotas.start();
  }

  kill(): void {
    this.isUp = false;
    this.changedMs = this.simulation.time.nowMs;
    this.timers?.close();
  }

  freeze(): void {
    this.frozen ??= [];
    this.changedMs = this.simulation.time.nowMs;
  }

  thaw(): void {
    const callbacks = this.frozen ?? [];
    this.frozen = undefined;
    this.changedMs = this.simulation.time.nowMs;
    for (const callback of callbacks) {
      callback();
    }
  }

  setIsolated(isolated: boolean): void {
    this.isolated = isolated;
    this.changedMs = this.simulation.time.nowMs;
  }
}

/** Placeholders; nothing connects to them. */
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
