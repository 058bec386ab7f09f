import {setMaxListeners} from 'node:events';

import {
  FailureTallies,
  FleetLoad,
  type HostStatus,
  Membership,
  type RouteTable,
  type ServerEntry,
  ServerOutliers,
  ServerTable,
  STORE_KINDS,
  StoreViews,
} from '@basilworks/dispatch';
import {fleet} from '@basilworks/protocol';

import {
  type ClaimManager,
  type EntryHostContext,
  EntryHostMetrics,
  entryHostSettingsSchema,
  PeerExchange,
  SendPermits,
  type PlatformProtocol,
  ServersView,
  StoreReader,
} from '../../index.js';
import {StoreModel, StorePath} from './store-model.js';
import {VirtualTime, VirtualTimers} from './virtual-time.js';

/** One way between hosts, and the longest wait for an exchange, ms. */
const PEER_LATENCY_MS = 2;
const EXCHANGE_TIMEOUT_MS = 700;
const PERMIT_TIMEOUT_MS = 120;

/** Between two looks for lapsed servers, as the entry host makes them, ms. */
const UPKEEP_PERIOD_MS = 250;

/** The parts of an entry host that learn what the store holds. */
export class ViewHost {
  readonly context: EntryHostContext;
  readonly path: StorePath;
  readonly exchange: PeerExchange;
  readonly permits: SendPermits;
  /** It is cut off from all other hosts. */
  isolated = false;
  /** It takes callers' requests. */
  closed = false;
  /** Messages sent and received, requests and answers, and their bytes. */
  readonly traffic = {messages: 0, bytes: 0};
  private readonly abort = new AbortController();
  private frozen: (() => void)[] | undefined;

  constructor(
    readonly name: string,
    fleet_: ViewFleet,
    incarnation: string,
  ) {
    setMaxListeners(0, this.abort.signal);
    const {time} = fleet_;
    const whenRunning = (run: () => void) => {
      if (this.closed) {
        return;
      }
      if (this.frozen === undefined) {
        run();
      } else {
        this.frozen.push(run);
      }
    };
    this.path = new StorePath(fleet_.store, whenRunning);
    const clock = {
      now: () => ({monotonicMs: time.nowMs, wallMs: time.nowMs}),
    };
    const views = new StoreViews();
    const status = (): HostStatus => ({
      host: name,
      incarnation,
      zone: fleet_.zoneOf(name),
      peerAddress: address(name),
      callerAddress: address(name),
      ready: true,
      readsStore: this.reader.working,
      capacity: fleet_.capacityOf(name),
    });
    const ignore = () => undefined;
    this.context = {
      settings: entryHostSettingsSchema.parse({
        host: name,
        zone: fleet_.zoneOf(name),
        callerAddress: address(name),
        readinessAddress: address(name),
        directoryAddress: address(name),
        peerAddress: address(name),
        seeds: fleet_.names.slice(0, SEEDS).map(address),
        storeAddress: '127.0.0.1:1',
        addressLifetimeS: 5,
        stopGraceS: 8,
        orderLeaseMs: 300,
        newsBounds: fleet_.shape.newsBounds,
        retryBudget: {ratio: 0.2, extra: 50, windowS: 10},
      }),
      platform: {store: this.path} as Partial<PlatformProtocol> as never,
      clock,
      timers: new VirtualTimers(time, whenRunning),
      logger: {debug: ignore, info: ignore, warn: ignore, error: ignore},
      metrics: new EntryHostMetrics(() => 0),
      membership: new Membership(status, 1 + time.nowMs),
      views,
      servers: new ServerTable(),
      fleetLoad: new FleetLoad(),
      tallies: new FailureTallies(),
      suspects: new ServerOutliers(),
      signal: this.abort.signal,
      random: () => 0.5,
    };
    const serversView = new ServersView(this.context);
    const onNewer = (kind: string) => {
      if (kind === 'servers') {
        serversView.use();
      }
    };
    this.reader = new StoreReader(this.context, onNewer, () => {
      this.exchange.askReaders();
    });
    this.exchange = new PeerExchange(this.context, onNewer, (to) => ({
      exchange: (request) => fleet_.exchange(this, to, request, whenRunning),
      prepare: () => Promise.reject(new Error('not part of this rig')),
      permit: (request) => fleet_.permit(this, to, request, whenRunning),
      quota: () => Promise.reject(new Error('not part of this rig')),
      release: ignore,
      doubtful: false,
      close: ignore,
    }));
    const claims = {
      holder: (server: string) => fleet_.issuers.get(server),
      fenceFor: (server: string) =>
        fleet_.issuers.get(server) === name ? 1 : undefined,
    };
    const routes = {
      service: () => (fleet_.issuers.size > 0 ? {engine: {}} : {}),
    };
    this.permits = new SendPermits(
      this.context,
      claims as unknown as ClaimManager,
      () => routes as unknown as RouteTable,
      (host) => this.exchange.linkTo(host),
    );
    this.reader.start();
    this.exchange.start();
    this.context.timers.every('upkeep', UPKEEP_PERIOD_MS, () => {
      serversView.expire();
    });
  }

  private readonly reader: StoreReader;

  get running(): boolean {
    return !this.closed && this.frozen === undefined;
  }

  /** Whether it would send a request to a server. */
  sendsTo(server: string): boolean {
    const known = this.context.servers.byId(server);
    return (
      this.running &&
      known !== undefined &&
      this.context.servers
        .open(known.entry.service, this.context.clock.now())
        .includes(known)
    );
  }

  freeze(): void {
    this.frozen ??= [];
  }

  thaw(): void {
    const held = this.frozen ?? [];
    this.frozen = undefined;
    for (const run of held) {
      run();
    }
  }

  close(): void {
    this.closed = true;
    this.abort.abort();
    this.context.timers.close();
  }
}

/** Hosts that the settings name. */
const SEEDS = 3;

/** A fleet's layout. */
export interface FleetShape {
  readonly zones: number;
  /** Hosts of each zone on larger machines. */
  readonly largeOfZone: number;
  readonly newsBounds?: {
    readonly leavingServerMs: number;
    readonly configurationMs: number;
    readonly adapterVersionMs: number;
  };
}

const ONE_ZONE: FleetShape = {zones: 1, largeOfZone: 0};

/** Capacities of large and small machines, thousandths of a core. */
const LARGE = 1_350;
const SMALL = 140;

/** Entry hosts that share one store, on virtual time. */
export class ViewFleet {
  readonly time = new VirtualTime();
  readonly store = new StoreModel(this.time);
  readonly names: readonly string[];
  readonly hosts = new Map<string, ViewHost>();
  /** Hosts that issue orders, by server; where there are any, all have one. */
  readonly issuers = new Map<string, string>();
  private incarnations = 0;

  constructor(
    count: number,
    readonly shape: FleetShape = ONE_ZONE,
  ) {
    this.names = Array.from({length: count}, (_unused, index) => `h${index}`);
  }

  zoneOf(name: string): string {
    return `z${indexOf(name) % this.shape.zones}`;
  }

  capacityOf(name: string): number {
    const {zones, largeOfZone} = this.shape;
    return indexOf(name) < zones * largeOfZone ? LARGE : SMALL;
  }

  /** Starts all hosts and waits until all know the store. */
  async start(): Promise<void> {
    for (const kind of STORE_KINDS) {
      this.store.put(kind, 'first', {});
    }
    for (const name of this.names) {
      this.startHost(name);
    }
    await this.time.advance(this.time.nowMs + 6_000);
  }

  startHost(name: string): ViewHost {
    const host = new ViewHost(name, this, `${(this.incarnations += 1)}`);
    this.hosts.set(name, host);
    return host;
  }

  host(name: string): ViewHost {
    const host = this.hosts.get(name);
    if (host === undefined) {
      throw new Error(`no host ${name}`);
    }
    return host;
  }

  /** Hosts that read a kind now, by the word of the first host that runs. */
  readers(): readonly string[] {
    const [first] = [...this.hosts.values()].filter(({running}) => running);
    return (first?.context.membership.readers(2) ?? []).map(({host}) => host);
  }

  /** The first reader of each group, by the word of the first host that runs. */
  leaders(): readonly string[] {
    const [first] = [...this.hosts.values()].filter(({running}) => running);
    const {membership} = first?.context ?? {};
    return [
      ...(membership?.readers(1) ?? []),
      ...(membership?.otherGroupLeaders() ?? []),
    ].map(({host}) => host);
  }

  /** Server entries as their servers write them. */
  putServer(id: string, extra: Partial<ServerEntry> = {}): void {
    this.store.put('servers', id, {...serverEntry(id), ...extra});
  }

  /** Lets every server write its beat until a moment. */
  beat(ids: () => readonly string[], periodMs: number): void {
    const {time, store} = this;
    const run = () => {
      if (store.fault === 'none') {
        for (const item of store.list('servers')) {
          if (ids().includes(item.name)) {
            store.put('servers', item.name, item.value);
          }
        }
      }
      time.after(periodMs, run);
    };
    time.after(periodMs, run);
  }

  close(): void {
    for (const host of this.hosts.values()) {
      host.close();
    }
  }

  exchange(
    from: ViewHost,
    to: string,
    request: fleet.ExchangeRequest,
    whenRunning: (run: () => void) => void,
  ): Promise<fleet.ExchangeResponse | undefined> {
    const sent = fleet.ExchangeRequest.encode(request).finish().length;
    const answer = (peer: ViewHost) => {
      const response = peer.exchange.answer(request);
      const got = fleet.ExchangeResponse.encode(response).finish().length;
      for (const {traffic} of [from, peer]) {
        traffic.messages += 2;
        traffic.bytes += sent + got;
      }
      return response;
    };
    return this.call(from, to, EXCHANGE_TIMEOUT_MS, answer, whenRunning);
  }

  permit(
    from: ViewHost,
    to: string,
    request: fleet.PermitRequest,
    whenRunning: (run: () => void) => void,
  ): Promise<fleet.PermitResponse | undefined> {
    const answer = (peer: ViewHost) => peer.permits.grant(request);
    return this.call(from, to, PERMIT_TIMEOUT_MS, answer, whenRunning);
  }

  /** Carries a request to a host and its answer back, if both can be reached. */
  private call<Answer>(
    from: ViewHost,
    to: string,
    timeoutMs: number,
    answer: (peer: ViewHost) => Answer,
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
        if (peer?.running !== true || peer.isolated || from.isolated) {
          return;
        }
        const response = answer(peer);
        time.after(PEER_LATENCY_MS, () => {
          if (!peer.isolated && !from.isolated) {
            whenRunning(() => {
              resolve(response);
            });
          }
        });
      });
    });
  }
}

const indexOf = (name: string): number => Number(name.slice(1));

const address = (name: string): string => `127.0.0.1:${1_000 + indexOf(name)}`;

/** An entry of a plain server. */
export const serverEntry = (id: string): ServerEntry => ({
  id,
  service: 'service',
  host: '127.0.0.1',
  port: 1,
  zone: 'z',
  slots: 4,
  leaving: false,
  startedAtWallMs: 1,
  models: [],
});
