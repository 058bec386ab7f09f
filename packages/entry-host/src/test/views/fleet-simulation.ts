import {setMaxListeners} from 'node:events';

import {
  FailureTallies,
  PromptReports,
  FleetLoad,
  type HostStatus,
  Membership,
  type RouteTable,
  type ServerEntry,
  ServerOutliers,
  ServerPaths,
  ServerTable,
  STORE_KINDS,
  StoreViews,
  type StreamAnswer,
  type StreamOrigin,
} from '@basilworks/dispatch';
import {fleet} from '@basilworks/protocol';

import {
  type ClaimManager,
  CrashMonitor,
  type EntryHostContext,
  EntryHostMetrics,
  entryHostSettingsSchema,
  type KeyCompletion,
  PeerExchange,
  type PlatformProtocol,
  type ProbeResult,
  SendPermits,
  ServerTableUpdater,
  StoreReader,
} from '../../index.js';
import {StreamVersions} from '../../streams/index.js';
import {StoreConnection, StoreModel} from './store-model.js';
import {VirtualTime, VirtualTimers} from './virtual-time.js';

/** One-way latency between hosts, milliseconds. */
const PEER_LATENCY_MS = 2;

/** Timeouts of requests to peers, milliseconds. */
const EXCHANGE_TIMEOUT_MS = 700;
const PERMIT_TIMEOUT_MS = 120;
const CRASH_TIMEOUT_MS = 400;
const STREAM_TIMEOUT_MS = 200;

/** Interval of removals of expired servers as in `EntryHost`, milliseconds. */
const MAINTENANCE_PERIOD_MS = 250;

/**
 * The components of an entry host that keep its views of the store current, on
 * virtual time.
 */
export class SimulatedHost {
  readonly context: EntryHostContext;
  readonly storeConnection: StoreConnection;
  readonly exchange: PeerExchange;
  readonly permits: SendPermits;
  readonly crashes: CrashMonitor;
  /** Only in fleets that track streams. */
  readonly streams: StreamVersions | undefined;
  /** Whether the host is cut off from all other hosts. */
  partitioned = false;
  /** Whether the host has stopped for good. */
  closed = false;
  /** Messages sent and received, requests and responses, and their bytes. */
  readonly traffic = {messages: 0, bytes: 0};
  private readonly abortController = new AbortController();
  private deferredCallbacks: (() => void)[] | undefined;

  constructor(
    readonly name: string,
    simulation: FleetSimulation,
    incarnation: string,
  ) {
    setMaxListeners(0, this.abortController.signal);
    const {time} = simulation;
    const whenRunning = (run: () => void) => {
      if (this.closed) {
        return;
      }
      if (this.deferredCallbacks === undefined) {
        run();
      } else {
        this.deferredCallbacks.push(run);
      }
    };
    this.storeConnection = new StoreConnection(simulation.store, whenRunning);
    const clock = {
      now: () => ({monotonicMs: time.nowMs, wallMs: time.nowMs}),
    };
    const views = new StoreViews();
    const status = (): HostStatus => ({
      host: name,
      incarnation,
      zone: simulation.zoneOf(name),
      peerAddress: addressOf(name),
      callerAddress: addressOf(name),
      ready: true,
      readsStore: this.storeReader.isHealthy,
      capacity: simulation.capacityOf(name),
    });
    const ignore = () => undefined;
    this.context = {
      settings: entryHostSettingsSchema.parse({
        host: name,
        zone: simulation.zoneOf(name),
        callerAddress: addressOf(name),
        readinessAddress: addressOf(name),
        directoryAddress: addressOf(name),
        peerAddress: addressOf(name),
        seeds: simulation.names.slice(0, SEED_COUNT).map(addressOf),
        storeAddress: '127.0.0.1:1',
        addressLifetimeS: 5,
        stopGraceS: 8,
        orderLeaseMs: 300,
        newsBounds: simulation.layout.newsBounds,
        retryBudget: {ratio: 0.2, extra: 50, windowS: 10},
      }),
      platform: {
        store: this.storeConnection,
      } as Partial<PlatformProtocol> as never,
      clock,
      timers: new VirtualTimers(time, whenRunning),
      logger: {debug: ignore, info: ignore, warn: ignore, error: ignore},
      metrics: new EntryHostMetrics(() => 0),
      membership: new Membership(status, 1 + time.nowMs),
      views,
      servers: new ServerTable(),
      fleetLoad: new FleetLoad(),
      tallies: new FailureTallies(),
      promptReports: new PromptReports(() => undefined),
      outliers: new ServerOutliers(),
      paths: new ServerPaths(),
      signal: this.abortController.signal,
      random: () => 0.5,
    };
    const serverTableUpdater = new ServerTableUpdater(this.context);
    const onNewer = (kind: string) => {
      if (kind === 'servers') {
        serverTableUpdater.applyLatestView();
      } else if (kind === 'records') {
        this.crashes.applyRecords();
        this.streams?.applyRecords();
      }
      if (kind === 'servers') {
        this.streams?.applyServers();
      }
    };
    this.storeReader = new StoreReader(this.context, onNewer, () => {
      this.exchange.queryReaders();
    });
    this.exchange = new PeerExchange(this.context, onNewer, (to) => ({
      exchange: (request, timeoutMs) =>
        simulation.exchange(this, to, request, whenRunning, timeoutMs),
      prepare: () => Promise.reject(new Error('not part of this simulation')),
      permit: (request) => simulation.permit(this, to, request, whenRunning),
      quota: () => Promise.reject(new Error('not part of this simulation')),
      release: ignore,
      reportCrashes: (from, reports) =>
        simulation.callPeer(this, to, whenRunning, false, (peer) => {
          peer.crashes.applyReports(from, reports);
          return true;
        }),
      queryCompletions: (keys) =>
        simulation.callPeer<readonly KeyCompletion[] | undefined>(
          this,
          to,
          whenRunning,
          undefined,
          (peer) => peer.crashes.completionsOf(keys),
        ),
      announceQuarantine: (keys) =>
        simulation.callPeer(this, to, whenRunning, false, (peer) => {
          peer.crashes.announce(keys);
          return true;
        }),
      reportStreams: (origins) => {
        void simulation.tellStreams(this, to, whenRunning, origins);
      },
      announceStreams: (origins) =>
        simulation.tellStreams(this, to, whenRunning, origins),
      queryStream: (service, requestId) =>
        simulation.callPeer<StreamAnswer | undefined>(
          this,
          to,
          whenRunning,
          undefined,
          (peer) => peer.streams?.answer(service, requestId),
          STREAM_TIMEOUT_MS,
        ),
      isUnresponsive: false,
      close: ignore,
    }));
    const claims = {
      holder: (server: string) => simulation.issuers.get(server),
      fenceFor: (server: string) =>
        simulation.issuers.get(server) === name ? 1 : undefined,
    };
    const routes = {
      service: () => (simulation.issuers.size > 0 ? {engine: {}} : {}),
    };
    this.permits = new SendPermits(
      this.context,
      claims as unknown as ClaimManager,
      () => routes as unknown as RouteTable,
      (host) => this.exchange.linkTo(host),
    );
    this.crashes = new CrashMonitor(
      this.context,
      (host) => this.exchange.linkTo(host),
      ({entry}) => Promise.resolve(simulation.probe(entry.port)),
      () => Promise.resolve('unknown'),
    );
    this.streams = simulation.layout.tracksStreams
      ? new StreamVersions(
          this.context,
          (host) => this.exchange.linkTo(host),
          (kind) => ({
            refresh: () => this.storeReader.refresh(kind),
            failingMs: () => this.storeReader.failingMs(kind),
            responseMs: () => this.storeReader.responseMs(kind),
          }),
        )
      : undefined;
    this.storeReader.start();
    this.crashes.start();
    this.streams?.start();
    this.exchange.start();
    this.context.timers.every('maintenance', MAINTENANCE_PERIOD_MS, () => {
      serverTableUpdater.expire();
    });
  }

  readonly storeReader: StoreReader;

  get running(): boolean {
    return !this.closed && this.deferredCallbacks === undefined;
  }

  /** Whether the host would send a request to the server now. */
  wouldSendTo(server: string): boolean {
    const known = this.context.servers.byId(server);
    return (
      this.running &&
      known !== undefined &&
      this.context.servers
        .open(known.entry.service, this.context.clock.now())
        .includes(known)
    );
  }

  /** Pauses the process; its callbacks wait until `thaw`. */
  freeze(): void {
    this.deferredCallbacks ??= [];
  }

  /** Resumes the process and runs the deferred callbacks. */
  thaw(): void {
    const callbacks = this.deferredCallbacks ?? [];
    this.deferredCallbacks = undefined;
    for (const run of callbacks) {
      run();
    }
  }

  close(): void {
    this.closed = true;
    this.abortController.abort();
    this.context.timers.close();
  }
}

/** Number of hosts listed as seeds in the settings. */
const SEED_COUNT = 3;

/** Zones and machine sizes of a fleet. */
export interface FleetLayout {
  readonly zones: number;
  /** Number of hosts on large machines in each zone. */
  readonly largeHostsPerZone: number;
  /** Whether hosts keep streams at their software versions. */
  readonly tracksStreams?: boolean;
  readonly newsBounds?: {
    readonly leavingServerMs: number;
    readonly configurationMs: number;
    readonly adapterVersionMs: number;
  };
}

const ONE_ZONE: FleetLayout = {zones: 1, largeHostsPerZone: 0};

/** Capacities of large and small machines, thousandths of a core. */
const LARGE_CAPACITY = 1_350;
const SMALL_CAPACITY = 140;

/** A fleet of entry hosts that share one store, on virtual time. */
export class FleetSimulation {
  readonly time = new VirtualTime();
  readonly store = new StoreModel(this.time);
  readonly names: readonly string[];
  readonly hosts = new Map<string, SimulatedHost>();
  /** Issuer of each server; if not empty, every server has an engine. */
  readonly issuers = new Map<string, string>();
  /** Ports at which no server listens. */
  readonly closedPorts = new Set<number>();
  private incarnations = 0;

  constructor(
    count: number,
    readonly layout: FleetLayout = ONE_ZONE,
  ) {
    this.names = Array.from({length: count}, (_unused, index) => `h${index}`);
  }

  /** What an attempt to connect to a server shows. */
  probe(port: number): ProbeResult {
    return this.closedPorts.has(port) ? 'refused' : 'open';
  }

  zoneOf(name: string): string {
    return `z${hostIndex(name) % this.layout.zones}`;
  }

  capacityOf(name: string): number {
    const {zones, largeHostsPerZone} = this.layout;
    return hostIndex(name) < zones * largeHostsPerZone
      ? LARGE_CAPACITY
      : SMALL_CAPACITY;
  }

  /** Starts all hosts and waits until all have views of the store. */
  async start(): Promise<void> {
    for (const kind of STORE_KINDS) {
      this.store.put(kind, 'first', {});
    }
    for (const name of this.names) {
      this.startHost(name);
    }
    await this.time.advance(this.time.nowMs + 6_000);
  }

  startHost(name: string): SimulatedHost {
    const host = new SimulatedHost(name, this, `${(this.incarnations += 1)}`);
    this.hosts.set(name, host);
    return host;
  }

  host(name: string): SimulatedHost {
    const host = this.hosts.get(name);
    if (host === undefined) {
      throw new Error(`no host ${name}`);
    }
    return host;
  }

  /** Current store readers, as seen by the first running host. */
  readers(): readonly string[] {
    const [first] = [...this.hosts.values()].filter(({running}) => running);
    return (first?.context.membership.readers(2) ?? []).map(({host}) => host);
  }

  /** First store reader of each group, as seen by the first running host. */
  leaders(): readonly string[] {
    const [first] = [...this.hosts.values()].filter(({running}) => running);
    const {membership} = first?.context ?? {};
    return [
      ...(membership?.readers(1) ?? []),
      ...(membership?.otherGroupLeaders() ?? []),
    ].map(({host}) => host);
  }

  /** Writes the entry of a server as the server itself does. */
  putServer(id: string, extra: Partial<ServerEntry> = {}): void {
    this.store.put('servers', id, {...serverEntry(id), ...extra});
  }

  /** Has the given servers rewrite their entries in every period. */
  startHeartbeats(ids: () => readonly string[], periodMs: number): void {
    const {time, store} = this;
    const sendHeartbeats = () => {
      if (store.fault === 'none') {
        for (const item of store.list('servers')) {
          if (ids().includes(item.name)) {
            store.put('servers', item.name, item.value);
          }
        }
      }
      time.after(periodMs, sendHeartbeats);
    };
    time.after(periodMs, sendHeartbeats);
  }

  close(): void {
    for (const host of this.hosts.values()) {
      host.close();
    }
  }

  exchange(
    from: SimulatedHost,
    to: string,
    request: fleet.ExchangeRequest,
    whenRunning: (run: () => void) => void,
    timeoutMs = EXCHANGE_TIMEOUT_MS,
  ): Promise<fleet.ExchangeResponse | undefined> {
    const requestBytes = fleet.ExchangeRequest.encode(request).finish().length;
    const answer = (peer: SimulatedHost) => {
      const response = peer.exchange.handleRequest(request);
      const responseBytes =
        fleet.ExchangeResponse.encode(response).finish().length;
      for (const {traffic} of [from, peer]) {
        traffic.messages += 2;
        traffic.bytes += requestBytes + responseBytes;
      }
      return response;
    };
    return this.call(from, to, timeoutMs, answer, whenRunning);
  }

  permit(
    from: SimulatedHost,
    to: string,
    request: fleet.PermitRequest,
    whenRunning: (run: () => void) => void,
  ): Promise<fleet.PermitResponse | undefined> {
    const answer = (peer: SimulatedHost) => peer.permits.grant(request);
    return this.call(from, to, PERMIT_TIMEOUT_MS, answer, whenRunning);
  }

  /** Tells a peer where streams began; false if it does not confirm that. */
  tellStreams(
    from: SimulatedHost,
    to: string,
    whenRunning: (run: () => void) => void,
    origins: readonly StreamOrigin[],
  ): Promise<boolean> {
    const apply = ({streams}: SimulatedHost) => {
      streams?.applyOrigins(origins);
      return true;
    };
    return this.callPeer(
      from,
      to,
      whenRunning,
      false,
      apply,
      STREAM_TIMEOUT_MS,
    );
  }

  /** Calls a peer; resolves to `missed` if no response arrives in time. */
  async callPeer<Answer>(
    from: SimulatedHost,
    to: string,
    whenRunning: (run: () => void) => void,
    missed: Answer,
    answer: (peer: SimulatedHost) => Answer,
    timeoutMs = CRASH_TIMEOUT_MS,
  ): Promise<Answer> {
    return (
      (await this.call(from, to, timeoutMs, answer, whenRunning)) ?? missed
    );
  }

  /** Delivers a request to a host and its response, if both are reachable. */
  private call<Answer>(
    from: SimulatedHost,
    to: string,
    timeoutMs: number,
    answer: (peer: SimulatedHost) => Answer,
    whenRunning: (run: () => void) => void,
  ): Promise<Answer | undefined> {
    const {time} = this;
    return new Promise((resolve) => {
      time.after(timeoutMs, () => {
        whenRunning(() => {
          resolve(undefined);
        });
      });
      time.after(PEER_LATENCY_MS, () => {
        const peer = this.hosts.get(`h${Number(to.split(':')[1]) - 1_000}`);
        if (peer?.running !== true || peer.partitioned || from.partitioned) {
          return;
        }
        const response = answer(peer);
        time.after(PEER_LATENCY_MS, () => {
          if (!peer.partitioned && !from.partitioned) {
            whenRunning(() => {
              resolve(response);
            });
          }
        });
      });
    });
  }
}

const hostIndex = (name: string): number => Number(name.slice(1));

const addressOf = (name: string): string =>
  `127.0.0.1:${1_000 + hostIndex(name)}`;

/** Returns the entry of a server without adapters. */
export const serverEntry = (id: string): ServerEntry => ({
  id,
  service: 'service',
  host: '127.0.0.1',
  port: 1,
  zone: 'z',
  slots: 4,
  leaving: false,
  startedAtWallMs: 1,
  softwareVersion: 'v1',
  models: [],
});
