import {randomBytes} from 'node:crypto';
import {setMaxListeners} from 'node:events';
import {
  createServer,
  type RequestListener,
  type Server as HttpServer,
} from 'node:http';

import {elapsedMs, type Instant} from '@basilworks/core';
import {
  type Clock,
  createLogger,
  type ListenError,
  type Logger,
  systemClock,
  TimerService,
} from '@basilworks/daemon';
import {
  AdapterVersions,
  adapterVersionRecordSchema,
  selectCallerAddresses,
  FailureTallies,
  FairShares,
  FleetLoad,
  hostCapacity,
  type HostStatus,
  KeyRing,
  Membership,
  ResidencyCache,
  RouteTable,
  type Server,
  ServerOutliers,
  ServerTable,
  servingConfigurationSchema,
  type StoreKind,
  StoreViews,
  reportedOccupancy,
} from '@basilworks/dispatch';
import {ok, type Result} from 'neverthrow';

import type {EntryHostContext} from './context.js';
import {RateLimitedLogger} from './lib/rate-limited-logger.js';
import {createRouteListener} from './lib/route-listener.js';
import {FrontListener, ServerSelector, TenantShares} from './front/index.js';
import {EntryHostMetrics} from './metrics.js';
import {AdapterBroker, ClaimManager} from './orders/index.js';
import {SendPermits} from './permits/index.js';
import {FleetPeerService, PeerExchange, PeerLink} from './peers/index.js';
import type {PlatformProtocol} from './ports.js';
import {reloadSettings} from './settings-reload.js';
import type {EntryHostSettings} from './settings-schema.js';
import {ServersView, StoreReader} from './store/index.js';
import {TenantQuotas} from './tenants/index.js';
import {ServerCaller, UpstreamPools} from './upstream/index.js';

/** How often entries that lapsed and servers in doubt are looked at, ms. */
const UPKEEP_PERIOD_MS = 250;

/** Longest wait for a health check, milliseconds. */
const CHECK_TIMEOUT_MS = 500;

/** Between two health checks of a server in doubt, milliseconds. */
const CHECK_PERIOD_MS = 1_000;

/** Checks take permits of limited servers behind all requests. */
const LAST_PRIORITY = 10;

/** Share of the grace after which a stop no longer waits for answers. */
const STOP_SHARE = 0.9;

/**
 * How long a stopping host takes new requests, so that callers turn away,
 * milliseconds. Requests that it takes have to be finished within the grace.
 */
const LEAVING_MS = 1_200;

/** Lifetime of an address answer, seconds: how fast callers learn of a stop. */
const ADDRESS_LIFETIME_S = 2;

/** Between two looks whether all answers are out, milliseconds. */
const STOP_CHECK_MS = 50;

/** Time in which news for issuers are joined, milliseconds. */
const NEWS_PAUSE_MS = 40;

/** Between two measurements of the loop's lag, milliseconds. */
const LAG_PERIOD_MS = 1_000;

/** Parts that tests put in place of the real ones. */
export interface EntryHostOverrides {
  readonly clock?: Clock;
  readonly logger?: Logger;
  readonly random?: () => number;
}

/** One entry host whose requests go straight to the servers. */
export class EntryHost {
  readonly context: EntryHostContext;
  private readonly abort = new AbortController();
  private readonly listeners: HttpServer[] = [];
  private readonly versions = new AdapterVersions();
  private readonly residency = new ResidencyCache();
  private readonly pools: UpstreamPools;
  private readonly caller: ServerCaller;
  private readonly reader: StoreReader;
  private readonly serversView: ServersView;
  private readonly exchange: PeerExchange;
  private readonly claims: ClaimManager;
  private readonly permits: SendPermits;
  private readonly broker: AdapterBroker;
  private readonly quotas: TenantQuotas;
  private readonly peerService: FleetPeerService;
  private readonly front: FrontListener;
  private readonly checkedAt = new Map<string, Instant>();
  private routes: RouteTable | undefined;
  private stopping = false;
  private tellsIssuers = false;

  constructor(
    private settings: EntryHostSettings,
    platform: PlatformProtocol,
    /** Called when a planned stop is complete. */
    private readonly onStopped: () => void,
    overrides: EntryHostOverrides = {},
  ) {
    // Every part and each of its timers waits for the end of the process.
    setMaxListeners(0, this.abort.signal);
    const incarnation = randomBytes(8).toString('hex');
    const clock = overrides.clock ?? systemClock;
    const timers = new TimerService();
    const views = new StoreViews();
    const metrics = new EntryHostMetrics((kind) =>
      views.ageMs(kind, clock.now()),
    );
    const currentSettings = () => this.settings;
    this.context = {
      get settings() {
        return currentSettings();
      },
      platform,
      clock,
      timers,
      metrics,
      logger: new RateLimitedLogger(
        overrides.logger ?? createLogger(settings.host, settings.logLevel),
        clock,
      ),
      membership: new Membership(
        () => this.status(incarnation),
        Math.floor(clock.now().wallMs),
      ),
      views,
      servers: new ServerTable(),
      fleetLoad: new FleetLoad(),
      tallies: new FailureTallies(),
      suspects: new ServerOutliers(),
      signal: this.abort.signal,
      random: overrides.random ?? Math.random,
    };
    const onNewer = (kind: StoreKind) => {
      VIEW_HANDLERS[kind](this);
    };
    const names = platform.forwarding.headers;
    const {fleetLoad, servers, random} = this.context;
    const fairShares = new FairShares(
      (service, at) =>
        fleetLoad.occupancy(service, at) ??
        reportedOccupancy(servers.open(service, at), at),
      random,
    );
    this.pools = new UpstreamPools(
      names.requestId.toLowerCase(),
      timers,
      (service) => {
        metrics.connections.inc({service});
      },
    );
    this.caller = new ServerCaller(this.context, this.pools);
    this.reader = new StoreReader(this.context, onNewer, () => {
      this.exchange.askReaders();
    });
    this.serversView = new ServersView(this.context);
    this.exchange = new PeerExchange(
      this.context,
      onNewer,
      (address) => new PeerLink(address, timers, clock),
      {
        awaitedHosts: () => this.claims.awaitedHosts(),
        issuedLoads: () => this.broker.issuedLoads(),
        fairShares,
      },
    );
    this.claims = new ClaimManager(
      this.context,
      () => this.routes,
      () => {
        this.broker.review();
      },
    );
    const routes = () => this.routes;
    const linkTo = (host: string) => this.exchange.linkTo(host);
    this.permits = new SendPermits(this.context, this.claims, routes, linkTo);
    this.broker = new AdapterBroker(
      this.context,
      this.claims,
      this.caller,
      this.permits,
      routes,
      linkTo,
    );
    this.quotas = new TenantQuotas(this.context, linkTo);
    this.peerService = new FleetPeerService(
      this.exchange,
      this.broker,
      this.permits,
      this.quotas,
    );
    const selector = new ServerSelector(
      this.context,
      this.broker,
      this.permits,
      this.residency,
      this.versions,
      () => {
        this.tellIssuers();
      },
    );
    this.front = new FrontListener(
      this.context,
      this.pools,
      selector,
      new TenantShares(this.context, fairShares),
      this.quotas,
    );
  }

  /** Whether this host can serve callers. */
  get ready(): boolean {
    return (
      !this.stopping &&
      this.routes !== undefined &&
      this.context.servers.all().length > 0
    );
  }

  /** Version of the configuration in use, 0 when there is none. */
  get routeVersion(): number {
    return this.routes?.configuration.version ?? 0;
  }

  /** Listens and starts all parts. */
  async start(): Promise<Result<void, ListenError>> {
    const {settings} = this;
    const peers = await this.peerService.listen(settings.peerAddress);
    if (peers.isErr()) {
      return peers.map(() => undefined);
    }
    const [host, port] = splitAddress(settings.callerAddress);
    const front = await this.front.listen(host, port);
    if (front.isErr()) {
      return front.map(() => undefined);
    }
    this.serve(settings.readinessAddress, this.readinessRoutes());
    this.serve(settings.directoryAddress, this.directoryRoutes());
    if (settings.metricsAddress !== undefined) {
      this.serve(settings.metricsAddress, this.metricsRoutes());
    }
    this.reader.start();
    this.exchange.start();
    this.claims.start();
    this.broker.start();
    this.quotas.start();
    this.startUpkeep();
    this.context.logger.info('started', {
      incarnation: this.context.membership.self().incarnation,
    });
    return ok(undefined);
  }

  /** Begins a planned stop; further calls do nothing. */
  requestStop(): void {
    if (this.stopping) {
      return;
    }
    this.stopping = true;
    const {logger, timers, clock} = this.context;
    logger.info('planned stop requested', {unfinished: this.front.unfinished});
    this.front.beginClosing();
    this.exchange.announce();
    const since = clock.now();
    timers.every('stop/check', STOP_CHECK_MS, () => {
      const elapsed = elapsedMs(since, clock.now());
      if (elapsed > LEAVING_MS) {
        this.front.stopAccepting();
      }
      const done = elapsed > LEAVING_MS && this.front.unfinished === 0;
      if (done || elapsed > this.settings.stopGraceS * 1_000 * STOP_SHARE) {
        timers.cancel('stop/check');
        logger.info('stopped', {unfinished: this.front.unfinished});
        this.onStopped();
      }
    });
  }

  /** Goes by settings that were read again, as far as a running host can. */
  reload(next: EntryHostSettings): void {
    const {settings, applied, needRestart} = reloadSettings(
      this.settings,
      next,
    );
    this.settings = settings;
    this.context.logger.info('settings reloaded', {
      applied: applied.join(','),
      needRestart: needRestart.join(','),
    });
  }

  /** Closes everything at once. */
  close(): void {
    this.abort.abort();
    this.context.timers.close();
    this.front.close();
    this.peerService.close();
    this.exchange.close();
    this.pools.close();
    for (const listener of this.listeners) {
      listener.close();
      listener.closeAllConnections();
    }
  }

  /** Handlers of newer views; see `VIEW_HANDLERS`. */
  useConfiguration(): void {
    const {views, logger} = this.context;
    const snapshot = views.get('configuration')?.snapshot;
    const value = snapshot?.items[0]?.value;
    if (snapshot === undefined || value === undefined) {
      return;
    }
    const parsed = servingConfigurationSchema.safeParse(value);
    if (!parsed.success) {
      const problem = parsed.error.message;
      logger.error('a configuration is malformed', {problem});
      return;
    }
    const {version, tenants} = parsed.data;
    if (version < this.routeVersion) {
      // Keys wait for a newer one, as this host does not go by the newest.
      logger.error('a configuration is older than the one in use', {version});
      return;
    }
    const ring = tenants === undefined ? ok(undefined) : KeyRing.of(tenants);
    if (ring.isErr()) {
      const problem = ring.error.message;
      logger.error('a configuration is ambiguous', {version, problem});
      return;
    }
    this.routes = new RouteTable(parsed.data);
    this.front.use(this.routes, ring.value, snapshot.revision);
    this.quotas.use(parsed.data);
    this.broker.review();
    logger.info('configuration in use', {
      version,
      routes: parsed.data.routes.length,
      ageMs: Math.round(views.ageMs('configuration', this.context.clock.now())),
    });
  }

  useServers(): void {
    this.serversView.use();
    const {servers} = this.context;
    const keys = new Set(servers.all().map(({key}) => key));
    this.pools.retain(keys);
    this.permits.retain(keys);
    this.broker.review();
  }

  useVersions(): void {
    const {views, logger} = this.context;
    const items = views.get('adapter-versions')?.snapshot.items ?? [];
    this.versions.update(
      items.flatMap(({name, value}) => {
        const parsed = adapterVersionRecordSchema.safeParse(value);
        if (!parsed.success) {
          logger.warn('an adapter version is malformed', {name});
          return [];
        }
        return [parsed.data];
      }),
    );
  }

  useRecords(): void {
    this.claims.applyRecords();
  }

  private status(incarnation: string): HostStatus {
    const {host, zone, peerAddress, callerAddress, machine} = this.settings;
    return {
      host,
      incarnation,
      zone,
      peerAddress,
      callerAddress,
      ready: this.ready,
      readsStore: this.reader.working,
      capacity: hostCapacity(machine),
    };
  }

  private startUpkeep(): void {
    const {timers, signal, clock, metrics} = this.context;
    timers.every(
      'upkeep',
      UPKEEP_PERIOD_MS,
      () => {
        this.serversView.expire();
        this.checkDoubtful();
      },
      {signal},
    );
    let expected = clock.now().monotonicMs + LAG_PERIOD_MS;
    timers.every(
      'loop-lag',
      LAG_PERIOD_MS,
      () => {
        const now = clock.now().monotonicMs;
        metrics.loopLagSeconds.set(Math.max(0, now - expected) / 1_000);
        expected = now + LAG_PERIOD_MS;
      },
      {signal},
    );
  }

  /** Tells issuers soon what this host is done with, and what it has. */
  private tellIssuers(delayMs = NEWS_PAUSE_MS): void {
    if (this.tellsIssuers) {
      return;
    }
    this.tellsIssuers = true;
    const {timers, clock} = this.context;
    timers.after('issuers/tell', Math.max(NEWS_PAUSE_MS, delayMs), () => {
      this.tellsIssuers = false;
      this.broker.release(this.residency.releaseExpired(clock.now()));
      const nextMs = this.residency.nextReleaseMs(clock.now());
      if (nextMs !== undefined) {
        this.tellIssuers(nextMs);
      }
    });
  }

  /** Asks servers that were unreachable whether they serve again. */
  private checkDoubtful(): void {
    const {servers, clock} = this.context;
    const at = clock.now();
    for (const server of servers.all()) {
      const path = this.routes?.service(server.entry.service)?.healthPath;
      const last = this.checkedAt.get(server.key);
      if (
        path === undefined ||
        server.entry.leaving ||
        server.notices.refuses(at) ||
        !server.health.needsCheck() ||
        server.health.isPaused(at) ||
        (last !== undefined && elapsedMs(last, at) < CHECK_PERIOD_MS)
      ) {
        continue;
      }
      this.checkedAt.set(server.key, at);
      void this.checkServer(server, path);
    }
  }

  /** Checks one server, if its limit allows. */
  private async checkServer(server: Server, path: string): Promise<void> {
    const {logger, clock} = this.context;
    const permit = await this.permits.acquire(server, LAST_PRIORITY);
    if (!permit.granted) {
      return;
    }
    const answer = await this.caller.call(
      server,
      'check',
      {method: 'GET', path, body: ''},
      CHECK_TIMEOUT_MS,
    );
    const status = answer instanceof Error ? 0 : answer.status;
    server.health.recordHealthCheck(status === 200, clock.now());
    logger.info('server checked', {server: server.entry.id, status});
  }

  private readinessRoutes(): RequestListener {
    return createRouteListener({
      [this.context.platform.host.readyPath]: () => ({
        status: this.ready ? 200 : 503,
      }),
    });
  }

  private directoryRoutes(): RequestListener {
    const {platform, membership, random} = this.context;
    const {host} = platform;
    return createRouteListener({
      [host.addressPath]: (query) => {
        const addresses = selectCallerAddresses(
          membership.live(),
          query.get(host.zoneParameter) ?? undefined,
          membership.self(),
          random,
        );
        const lifetimeS = Math.min(
          ADDRESS_LIFETIME_S,
          this.settings.addressLifetimeS,
        );
        return {
          status: 200,
          contentType: 'application/json',
          body: JSON.stringify(host.addressAnswer(addresses, lifetimeS)),
        };
      },
    });
  }

  private metricsRoutes(): RequestListener {
    const {registry} = this.context.metrics;
    return createRouteListener({
      '/metrics': async () => ({
        status: 200,
        contentType: 'text/plain;charset=UTF-8',
        body: await registry.metrics(),
      }),
    });
  }

  private serve(address: string, routes: RequestListener): void {
    const [host, port] = splitAddress(address);
    const server = createServer(routes);
    server.on('error', (error) => {
      this.context.logger.error('a listener failed', {
        address,
        error: error.message,
      });
    });
    server.listen({host, port});
    this.listeners.push(server);
  }
}

const VIEW_HANDLERS: Readonly<Record<StoreKind, (host: EntryHost) => void>> = {
  configuration: (host) => {
    host.useConfiguration();
  },
  servers: (host) => {
    host.useServers();
  },
  'adapter-versions': (host) => {
    host.useVersions();
  },
  records: (host) => {
    host.useRecords();
  },
};

const splitAddress = (address: string): readonly [string, number] => {
  const [host = '', port = ''] = address.split(':');
  return [host, Number(port)];
};
