import {
  type CallDescription,
  configurationRevision,
  coreSettingsSchema,
  type EntryHost,
  fencingNumberOf,
  mayAct,
  type RequestDescription,
  type ServerDescription,
} from '@basilworks/core';
import {
  DEFAULT_ENGINE_OPTIONS,
  EngineModel,
  HostListModel,
  ObjectStoreModel,
  PlainServiceModel,
  type Random,
  seededRandom,
  VirtualScheduler,
  WeightStoreModel,
} from '@basilworks/stand-ins';

import {emptyHistory, type History} from '../history.js';
import {sendToServer} from './engine-runners.js';
import {HostClock} from './host-clock.js';
import {Network} from './network.js';
import type {FleetObserver, SimulatedServer, Surroundings} from './outside.js';
import {SimulatedHost} from './simulated-host.js';

/** Size and manners of a simulated deployment. */
export interface FleetOptions {
  readonly seed: number;
  /** Entry hosts, spread over the zones in turn. */
  readonly hosts: number;
  readonly zones: number;
  readonly servers: readonly ServerDescription[];
  /** Delay of the host list against what happened. */
  readonly hostListLagMs: number;
  /** Largest difference of a clock's rate from true time. */
  readonly maximumClockDrift: number;
}

const WEIGHT_STORE_OPTIONS = {
  loadsPerSecond: 4,
  fullSpeedLoads: 4,
  transitLimit: 16,
  loadMs: 250,
};

/** Clocks of two hosts differ by at most this much, milliseconds. */
const MAXIMUM_CLOCK_OFFSET_MS = 1_000_000;

/** A wall clock time at the beginning of a run. */
const START_WALL_MS = 1_800_000_000_000;

/** Entry hosts, servers and the platform, on virtual time. */
export class Fleet implements Surroundings {
  readonly scheduler = new VirtualScheduler();
  readonly random: Random;
  readonly network: Network;
  readonly store: ObjectStoreModel;
  readonly hostList: HostListModel;
  readonly servers = new Map<string, SimulatedServer>();
  readonly history: History = emptyHistory();
  observer: FleetObserver | undefined;
  readonly requests = new Map<string, RequestDescription>();
  readonly calls = new Map<string, CallDescription>();
  private readonly running = new Map<string, SimulatedHost>();
  private starts = 0;
  private numbers = 0;

  constructor(private readonly options: FleetOptions) {
    this.random = seededRandom(options.seed);
    this.network = new Network(this.scheduler, this.random);
    this.store = new ObjectStoreModel(this.scheduler, this.random);
    this.hostList = new HostListModel(this.scheduler, options.hostListLagMs);
    const weightStore = new WeightStoreModel(
      this.scheduler,
      this.random,
      WEIGHT_STORE_OPTIONS,
    );
    for (const description of options.servers) {
      this.servers.set(
        description.server,
        this.model(description, weightStore),
      );
      this.hostList.putServer(description);
    }
    for (let index = 0; index < options.hosts; index += 1) {
      this.hostList.putHost(this.describeHost(index));
    }
  }

  /** Names of all entry hosts, whether they run or not. */
  get hostNames(): readonly string[] {
    return Array.from({length: this.options.hosts}, (_, i) => `host-${i}`);
  }

  /** The processes that run, paused ones included. */
  get hosts(): readonly SimulatedHost[] {
    return [...this.running.values()].filter(({isRunning}) => isRunning);
  }

  host(name: string): SimulatedHost | undefined {
    const host = this.running.get(name);
    return host?.isRunning === true ? host : undefined;
  }

  /** A number that this run has not used yet. */
  nextNumber(): number {
    this.numbers += 1;
    return this.numbers;
  }

  /** Puts a host on the host list. */
  listHost(name: string): void {
    this.hostList.putHost(this.describeHost(hostIndexOf(name)));
  }

  /** Starts a new process under a host's name, as another incarnation. */
  start(name: string): void {
    this.running.get(name)?.kill();
    const {host, zone, peerAddress, callerAddress} = this.describeHost(
      hostIndexOf(name),
    );
    this.starts += 1;
    const settings = coreSettingsSchema.parse({
      host,
      zone,
      peerAddress,
      callerAddress,
      operations: [
        {pool: 'billing-desk', operation: 'top-up', idempotent: false},
        {pool: 'billing-desk', operation: 'balance', idempotent: true},
      ],
    });
    const started = new SimulatedHost(
      settings,
      `${name}#${this.starts}`,
      this.starts,
      this.createClock(),
      this,
    );
    this.running.set(name, started);
    started.handle({type: 'started'});
  }

  /** Lets every host that believes it may act send to its servers. */
  probeServers(): void {
    for (const host of this.hosts) {
      this.probeHost(host);
    }
  }

  probeHost(host: SimulatedHost): void {
    if (!host.isAwake) {
      return;
    }
    for (const [server, {description}] of this.servers) {
      if (
        description.kind === 'engine' &&
        mayAct(host.state, server, host.now())
      ) {
        this.probe(host, server);
      }
    }
  }

  /** Highest revision that any process holds. */
  highestRevision(): number {
    return Math.max(
      0,
      ...this.hosts.map(({state}) => configurationRevision(state)),
    );
  }

  /** An engine's answer to a probe tells by the fencing number only. */
  private probe(host: SimulatedHost, server: string): void {
    const fencingNumber = fencingNumberOf(host.state, server);
    sendToServer(host, server, fencingNumber, ({engine}) => {
      const adapter = {adapter: 'probe', version: 'v0', fencingNumber};
      return engine?.unload(adapter) !== 'stale-fencing';
    });
  }

  private model(
    description: ServerDescription,
    weightStore: WeightStoreModel,
  ): SimulatedServer {
    const {server, slots, batchPositions, checksFencing, kind} = description;
    if (kind === 'plain') {
      const plain = new PlainServiceModel(this.scheduler, this.random, 5);
      return {description, engine: undefined, plain};
    }
    const engine = new EngineModel(this.scheduler, this.random, weightStore, {
      ...DEFAULT_ENGINE_OPTIONS,
      server,
      slots,
      batchPositions,
      checksFencing,
    });
    return {description, engine, plain: undefined};
  }

  private describeHost(index: number): EntryHost {
    return {
      host: `host-${index}`,
      zone: `zone-${index % this.options.zones}`,
      peerAddress: `127.0.0.1:${5000 + index}`,
      callerAddress: `127.0.0.1:${6000 + index}`,
      state: 'live',
    };
  }

  private createClock(): HostClock {
    const drift = this.options.maximumClockDrift;
    return new HostClock({
      monotonicOffsetMs: this.random() * MAXIMUM_CLOCK_OFFSET_MS,
      wallOffsetMs: START_WALL_MS + this.random() * MAXIMUM_CLOCK_OFFSET_MS,
      rate: 1 + drift * (2 * this.random() - 1),
    });
  }
}

const hostIndexOf = (name: string): number =>
  Number(name.slice('host-'.length));
