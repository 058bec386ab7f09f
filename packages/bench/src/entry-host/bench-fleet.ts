import {type ChildProcess, execFileSync, spawn} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

import {hostProtocol} from '@basilworks/platform';
import {
  createBenchServers,
  createConfiguration,
  freeAddresses,
  ObjectStoreStandIn,
  type ServerStandIn,
} from '@basilworks/platform/stand-ins';

import {readProcessUsage} from '../data-path/process-usage.js';

/** Between two words of a server to the store, milliseconds. */
const BEAT_MS = 1_200;
const READY_POLL_MS = 200;
const ZONES = 3;
const VARIABLE = 'BENCH_SETTINGS';
const ROOT = fileURLToPath(new URL('../../../../', import.meta.url));

/** How many of each there are. */
export interface FleetSize {
  readonly hosts: number;
  readonly engines: number;
  readonly plainServers: number;
}

/** What all hosts used up to a moment. */
export interface FleetUsage {
  readonly processorSeconds: number;
  readonly residentBytes: number;
  /** New connections to servers. */
  readonly connections: number;
}

interface BenchHost {
  readonly process: ChildProcess;
  readonly callerAddress: string;
  readonly readinessAddress: string;
  readonly metricsAddress: string;
}

/** Entry hosts as processes of their own, as the platform starts them. */
export class BenchFleet {
  private readonly store = new ObjectStoreStandIn();
  private servers: ReadonlyMap<string, ServerStandIn> = new Map();
  private readonly hosts: BenchHost[] = [];
  private readonly directory = mkdtempSync(join(tmpdir(), 'bench-'));
  private beats: NodeJS.Timeout | undefined;

  /** Addresses for callers. */
  get callerAddresses(): readonly string[] {
    return this.hosts.map(({callerAddress}) => callerAddress);
  }

  async start(size: FleetSize): Promise<void> {
    execFileSync(process.execPath, ['scripts/bundle-entry-host.mjs'], {
      cwd: ROOT,
    });
    const storeAddress = await this.store.listen();
    this.store.put('config', 'main', createConfiguration());
    await this.startServers(size);
    for (let index = 0; index < size.hosts; index += 1) {
      await this.startHost(`host-${index}`, index % ZONES, storeAddress);
    }
    for (const {readinessAddress} of this.hosts) {
      await untilReady(`http://${readinessAddress}${hostProtocol.readyPath}`);
    }
  }

  async usage(): Promise<FleetUsage> {
    let processorSeconds = 0;
    let residentBytes = 0;
    let connections = 0;
    for (const {process: child, metricsAddress} of this.hosts) {
      const usage = await readProcessUsage(child.pid ?? 0);
      processorSeconds += usage.processorSeconds;
      residentBytes += usage.residentBytes;
      const answer = await fetch(`http://${metricsAddress}/metrics`);
      const lines = (await answer.text()).matchAll(
        /^basilworks_upstream_connections_total\S* (\d+)$/gm,
      );
      for (const [, count] of lines) {
        connections += Number(count);
      }
    }
    return {processorSeconds, residentBytes, connections};
  }

  end(): void {
    clearInterval(this.beats);
    for (const {process: child} of this.hosts) {
      child.kill('SIGKILL');
    }
    for (const server of this.servers.values()) {
      server.close();
    }
    this.store.close();
    rmSync(this.directory, {recursive: true, force: true});
  }

  private async startServers({
    engines,
    plainServers,
  }: FleetSize): Promise<void> {
    this.servers = createBenchServers(engines, plainServers);
    for (const server of this.servers.values()) {
      await server.listen();
    }
    const beat = () => {
      for (const [id, server] of this.servers) {
        this.store.put('servers', id, server.entry());
      }
    };
    beat();
    this.beats = setInterval(beat, BEAT_MS);
  }

  private async startHost(
    host: string,
    zone: number,
    storeAddress: string,
  ): Promise<void> {
    const [callerAddress, readinessAddress, directoryAddress, peerAddress] =
      await freeAddresses(4);
    const [metricsAddress = ''] = await freeAddresses(1);
    const file = join(this.directory, `${host}.json`);
    writeFileSync(
      file,
      JSON.stringify({
        host,
        zone: `zone-${zone}`,
        callerAddress,
        readinessAddress,
        directoryAddress,
        peerAddress,
        metricsAddress,
        seeds: [],
        storeAddress,
        addressLifetimeS: 5,
        stopGraceS: 8,
        orderLeaseMs: 300,
        retryBudget: {ratio: 0.2, extra: 50, windowS: 10},
      }),
    );
    const child = spawn(process.execPath, [...hostWords(), VARIABLE], {
      cwd: ROOT,
      env: {PATH: process.env.PATH, [VARIABLE]: file},
      // Lines are written and read, as where a platform collects them.
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    child.stdout.resume();
    this.hosts.push({
      process: child,
      callerAddress: callerAddress ?? '',
      readinessAddress: readinessAddress ?? '',
      metricsAddress,
    });
  }
}

/** Words of the host's command line, its flags included. */
const hostWords = (): readonly string[] => {
  const file = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const words = /^run = "node (.*) \S+"$/m.exec(file)?.[1] ?? '';
  return words.split(' ');
};

const untilReady = async (url: string): Promise<void> => {
  for (;;) {
    const answer = await fetch(url).catch(() => undefined);
    if (answer?.status === 200) {
      return;
    }
    await sleep(READY_POLL_MS);
  }
};
