import {setTimeout as sleep} from 'node:timers/promises';

import {applySheet, Catalogue, exchange, Fleet} from '@basilworks/demo';
import {type Deployment, HALLORAN} from '@basilworks/stand-ins';

const ADAPTERS = 4;
const WARM_UP_TIMEOUT_MS = 30_000;
const WARM_UP_RETRY_MS = 200;

/** Thrown when no answer comes through the host. */
export class WarmUpError extends Error {
  override readonly name = 'WarmUpError';
}

/** One entry host before stand-in engines that keep every adapter loaded. */
export class BenchHost {
  private constructor(
    private readonly fleet: Fleet,
    private readonly catalogue: Catalogue,
  ) {}

  /** Starts the processes and loads the adapters. */
  static async start(changes: Partial<Deployment>): Promise<BenchHost> {
    const deployment: Deployment = {
      ...HALLORAN,
      checksFencing: false,
      pools: [{pool: 'assistant-models', kind: 'engine', servers: 1}],
      weightStore: {
        loadsPerSecond: 100,
        fullSpeedLoads: 16,
        transitLimit: 16,
        loadMs: 10,
      },
      ...changes,
    };
    const fleet = await Fleet.start(deployment, {hosts: 1});
    const host = new BenchHost(fleet, new Catalogue(deployment, ADAPTERS));
    try {
      await host.warmUp();
    } catch (error) {
      await host.end();
      throw error;
    }
    return host;
  }

  get pid(): number {
    return this.fleet.hosts[0]?.pid ?? 0;
  }

  /** Address of the entry host for callers. */
  get hostAddress(): string {
    return this.fleet.hosts[0]?.entry.callerAddress ?? '';
  }

  /** Address of the stand-in engine itself. */
  get engineAddress(): string {
    return this.fleet.platform.addresses.servers[0]?.address ?? '';
  }

  get headers(): Record<string, string> {
    const token = this.fleet.members[0]?.token ?? '';
    return {
      authorization: `Bearer ${token}`,
      'content-type': 'application/json',
    };
  }

  /** Body of a request on one of the adapters. */
  body(options: {readonly stream: boolean; readonly tokens: number}): string {
    const adapter = this.catalogue.adapters[0];
    return JSON.stringify({
      model: `${adapter?.adapter ?? ''}@${adapter?.version ?? ''}`,
      messages: [{role: 'user', content: 'Is the terminal in range?'}],
      stream: options.stream,
      max_tokens: options.tokens,
    });
  }

  async end(): Promise<void> {
    await this.fleet.end({keepFiles: false});
  }

  private async warmUp(): Promise<void> {
    const {fleet, catalogue, hostAddress} = this;
    await fleet.waitUntilReady();
    await applySheet(hostAddress, fleet.operator, catalogue.toSheet());
    const deadline = performance.now() + WARM_UP_TIMEOUT_MS;
    while (performance.now() < deadline) {
      const {status} = await exchange({
        address: hostAddress,
        path: '/v1/chat/completions',
        method: 'POST',
        headers: this.headers,
        body: this.body({stream: false, tokens: 1}),
        timeoutMs: WARM_UP_TIMEOUT_MS,
      });
      if (status === 200) {
        return;
      }
      await sleep(WARM_UP_RETRY_MS);
    }
    throw new WarmUpError(`no answer within ${WARM_UP_TIMEOUT_MS} ms`);
  }
}
