import {randomBytes} from 'node:crypto';
import {setMaxListeners} from 'node:events';
import type {Server as HttpServer} from 'node:http';

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
  FailureTallies,
  PromptReports,
  FairShares,
  FleetLoad,
  hostCapacity,
  ItemDecoder,
  type HostStatus,
  KeyRing,
  MAXIMUM_UNREACHED,
  Membership,
  reportedOccupancy,
  ResidencyCache,
  RouteTable,
  selectCallerAddresses,
  type Server,
  ServerOutliers,
  ServerPaths,
  ServerTable,
  servingConfigurationSchema,
  type StoreKind,
  StoreViews,
} from '@basilworks/dispatch';
import {ok, Result} from 'neverthrow';

import type {EntryHostContext} from './context.js';
import {CrashMonitor, type ServerIdentity} from './crashes/index.js';
import {FrontListener, ServerSelector, TenantShares} from './front/index.js';
import {RateLimitedLogger} from './lib/rate-limited-logger.js';
import type {RouteHandler} from './lib/route-listener.js';
import {createRouteServer} from './lib/route-server.js';
import {EntryHostMetrics} from './metrics.js';
import {AdapterBroker, ClaimManager} from './orders/index.js';
import {SendPermits} from './permits/index.js';
import {FleetPeerService, PeerExchange, PeerLink} from './peers/index.js';
import type {PlatformProtocol} from './ports.js';
import {
  ReachabilityMonitor,
  RelayListener,
  RelaySessions,
  ServerDialer,
} from './relay/index.js';
import {reloadSettings} from './settings-reload.js';
import type {EntryHostSettings} from './settings-schema.js';
import {
  ServerTableUpdater,
  StoreReader,
  type ViewSource,
  createSelectionGates,
} from './store/index.js';
import {StreamVersions} from './streams/index.js';
import {TenantQuotas} from './tenants/index.js';
import {
  type ConnectSocket,
  headerValue,
  ServerCaller,
  UpstreamPools,
} from './upstream/index.js';

/**
 * Interval between removals of expired server entries and health checks of
 * unhealthy servers, milliseconds.
 */
const MAINTENANCE_PERIOD_MS = 250;

/** Timeout of a health check, milliseconds. */
const HEALTH_CHECK_TIMEOUT_MS = 500;

/** Time within which another server at an address shows itself, milliseconds. */
const IDENTIFICATION_TIMEOUT_MS = 100;

/** Status with which a server answers a request for another one. */
const MISDIRECTED = 421;

/** Minimum interval between health checks of one server, milliseconds. */
const HEALTH_CHECK_INTERVAL_MS = 1_000;

/** Health checks wait for permits of limited servers behind all requests. */
const HEALTH_CHECK_PRIORITY = 10;

/** Share of the grace period after which a stop abandons open requests. */
const STOP_GRACE_SHARE = 0.9;

/**
 * How long a stopping host still accepts new requests, milliseconds, so that
 * callers can switch to other hosts. Requests accepted in this time have to
 * finish within the grace period.
 */
const DRAIN_MS = 1_200;

/**
 * Maximum lifetime of a response of the address directory, seconds. It bounds
 * how long callers take to notice that a host is stopping.
 */
const MAXIMUM_ADDRESS_LIFETIME_S = 2;

/** Interval of checks whether all requests have finished, milliseconds. */
const STOP_CHECK_PERIOD_MS = 50;

/** Time over which releases for issuers are batched, milliseconds. */
const RELEASE_DELAY_MS = 40;

/**
 * Delay of reports of prefilled prompts, milliseconds: short, as other prompts
 * wait for them, but long enough to combine those of one engine step.
 */
const PROMPT_REPORT_DELAY_MS = 3;

/** Interval of measurements of the event loop's lag, milliseconds. */
const LOOP_LAG_PERIOD_MS = 1_000;

/** Lag of the event loop that is logged: delays every answer, milliseconds. */
const LOGGED_LOOP_LAG_MS = 200;

/** Dependencies that tests replace. */
export interface EntryHostOverrides {
  readonly clock?: Clock;
  readonly logger?: Logger;
  readonly random?: () => number;
  /** Opens connections to servers. */
  readonly connectSocket?: ConnectSocket;
}

/** An entry host that sends requests directly to the servers. */
export class EntryHost {
  readonly context: EntryHostContext;
  private readonly abortController = new AbortController();
  private readonly listeners: HttpServer[] = [];
  private readonly versions = new AdapterVersions();
  private readonly versionRecords = new ItemDecoder(adapterVersionRecordSchema);
  private readonly residency = new ResidencyCache();
  private readonly pools: UpstreamPools;
  private readonly relaySessions: RelaySessions;
  private readonly relayListener: RelayListener;
  private readonly reachability: ReachabilityMonitor;
  private readonly serverCaller: ServerCaller;
  private readonly reader: StoreReader;
  private readonly serverTableUpdater: ServerTableUpdater;
  private readonly exchange: PeerExchange;
  private readonly claims: ClaimManager;
  private readonly permits: SendPermits;
  private readonly broker: AdapterBroker;
  private readonly quotas: TenantQuotas;
  private readonly crashes: CrashMonitor;
  private readonly streams: StreamVersions;
  private readonly peerService: FleetPeerService;
  private readonly front: FrontListener;
  private readonly healthCheckedAt = new Map<string, Instant>();
  private routes: RouteTable | undefined;
  private stopping = false;
  private promptReportScheduled = false;
  private releaseScheduled = false;

  constructor(
    private settings: EntryHostSettings,
    platform: PlatformProtocol,
    /** Called when a planned stop has completed. */
    private readonly onStopped: () => void,
    overrides: EntryHostOverrides = {},
  ) {
    // Every component and each of its timers listens for the abort.
    setMaxListeners(0, this.abortController.signal);
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
        () => this.hostStatus(incarnation),
        Math.floor(clock.now().wallMs),
      ),
      views,
      servers: new ServerTable(),
      fleetLoad: new FleetLoad(),
      tallies: new FailureTallies(),
      promptReports: new PromptReports(() => {
        this.schedulePromptReport();
      }),
      outliers: new ServerOutliers(),
      paths: new ServerPaths(),
      signal: this.abortController.signal,
      random: overrides.random ?? Math.random,
    };
    const onNewer = (kind: StoreKind) => {
      Result.fromThrowable(
        VIEW_HANDLERS[kind],
        String,
      )(this).mapErr((error) => {
        this.context.logger.error('view could not be applied', {kind, error});
      });
    };
    const headers = platform.forwarding.headers;
    const {fleetLoad, servers, random} = this.context;
    const fairShares = new FairShares(
      (service, at) =>
        fleetLoad.occupancy(service, at) ??
        reportedOccupancy(servers.open(service, at), at),
      random,
    );
    this.relaySessions = new RelaySessions(timers, clock);
    this.relayListener = new RelayListener(this.context);
    const dialer = new ServerDialer(
      this.context,
      this.relaySessions,
      overrides.connectSocket,
    );
    this.pools = new UpstreamPools(
      headers.requestId.toLowerCase(),
      (server) => dialer.dialsFor(server),
      (service) => {
        metrics.connections.inc({service});
      },
    );
    this.reachability = new ReachabilityMonitor(
      this.context,
      dialer,
      this.pools,
      () => {
        this.exchange.announce();
      },
    );
    this.serverCaller = new ServerCaller(this.context, this.pools);
    this.reader = new StoreReader(this.context, onNewer, () => {
      this.exchange.queryReaders();
    });
    this.serverTableUpdater = new ServerTableUpdater(this.context);
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
    const viewSource = (kind: StoreKind): ViewSource => ({
      refresh: () => this.reader.refresh(kind),
      failingMs: () => this.reader.failingMs(kind),
      responseMs: () => this.reader.responseMs(kind),
    });
    const routes = () => this.routes;
    const linkTo = (host: string) => this.exchange.linkTo(host);
    this.permits = new SendPermits(this.context, this.claims, routes, linkTo);
    this.broker = new AdapterBroker(
      this.context,
      this.claims,
      this.serverCaller,
      this.permits,
      routes,
      linkTo,
    );
    this.quotas = new TenantQuotas(this.context, linkTo);
    this.crashes = new CrashMonitor(
      this.context,
      linkTo,
      (server) => dialer.check(server),
      (server) => this.identify(server),
    );
    this.streams = new StreamVersions(this.context, linkTo, viewSource);
    this.peerService = new FleetPeerService(
      this.exchange,
      this.broker,
      this.permits,
      this.quotas,
      this.crashes,
      this.streams,
      this.context.logger,
    );
    const selector = new ServerSelector(
      this.context,
      this.broker,
      this.permits,
      this.residency,
      this.versions,
      () => {
        this.scheduleRelease();
      },
      createSelectionGates(this.context, viewSource),
    );
    this.front = new FrontListener(
      this.context,
      this.pools,
      selector,
      new TenantShares(this.context, fairShares),
      this.quotas,
      this.crashes,
      viewSource('configuration'),
      this.streams,
    );
  }

  /** Whether this host can serve callers. */
  get ready(): boolean {
    return (
      !this.stopping &&
      this.routes !== undefined &&
      this.crashes.isReady() &&
      this.context.servers.all().length > 0
    );
  }

  /** Version of the configuration in use, 0 if there is none. */
  get configurationVersion(): number {
    return this.routes?.configuration.version ?? 0;
  }

  /** Opens all listeners and starts all components. */
  async start(): Promise<Result<void, ListenError>> {
    const {settings} = this;
    const peers = await this.peerService.listen(settings.peerAddress);
    if (peers.isErr()) {
      return peers.map(() => undefined);
    }
    const [host, port] = parseAddress(settings.callerAddress);
    const front = await this.front.listen(host, port);
    if (front.isErr()) {
      return front.map(() => undefined);
    }
    if (settings.relayAddress !== undefined) {
      const [relayHost, relayPort] = parseAddress(settings.relayAddress);
      const relay = await this.relayListener.listen(relayHost, relayPort);
      if (relay.isErr()) {
        return relay;
      }
    }
    this.listen(settings.readinessAddress, this.readinessRoutes());
    this.listen(settings.directoryAddress, this.directoryRoutes());
    if (settings.metricsAddress !== undefined) {
      this.listen(settings.metricsAddress, this.metricsRoutes());
    }
    this.reader.start();
    this.exchange.start();
    this.claims.start();
    this.broker.start();
    this.quotas.start();
    this.crashes.start();
    this.streams.start();
    this.reachability.start();
    this.startMaintenance();
    this.context.logger.info('started', {
      incarnation: this.context.membership.self().incarnation,
    });
    return ok(undefined);
  }

  /** Begins a planned stop; further calls have no effect. */
  requestStop(): void {
    if (this.stopping) {
      return;
    }
    this.stopping = true;
    const {logger, timers, clock} = this.context;
    logger.info('planned stop requested', {
      unfinished: this.front.requestsInProgress,
    });
    this.front.beginDraining();
    this.exchange.announce();
    const since = clock.now();
    timers.every('stop/check', STOP_CHECK_PERIOD_MS, () => {
      const elapsed = elapsedMs(since, clock.now());
      if (elapsed > DRAIN_MS) {
        this.front.stopAccepting();
      }
      const done = elapsed > DRAIN_MS && this.front.requestsInProgress === 0;
      if (
        done ||
        elapsed > this.settings.stopGraceS * 1_000 * STOP_GRACE_SHARE
      ) {
        timers.cancel('stop/check');
        logger.info('stopped', {unfinished: this.front.requestsInProgress});
        this.onStopped();
      }
    });
  }

  /** Applies reloaded settings, except those that need a restart. */
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

  /** Closes all listeners and connections immediately. */
  close(): void {
    this.abortController.abort();
    this.context.timers.close();
    this.front.close();
    this.peerService.close();
    this.exchange.close();
    this.pools.close();
    this.relaySessions.close();
    this.relayListener.close();
    for (const listener of this.listeners) {
      listener.close();
      listener.closeAllConnections();
    }
  }

  /** Applies the latest view of the configuration. */
  applyConfiguration(): void {
    const {views, logger} = this.context;
    const snapshot = views.get('configuration')?.snapshot;
    const value = snapshot?.items[0]?.value;
    if (snapshot === undefined || value === undefined) {
      return;
    }
    const parsed = servingConfigurationSchema.safeParse(value);
    if (!parsed.success) {
      const problem = parsed.error.message;
      logger.error('malformed configuration ignored', {problem});
      return;
    }
    const {version, tenants} = parsed.data;
    if (version < this.configurationVersion) {
      // The configuration in use is not the latest, so its keys are not
      // confirmed again until a newer version is applied.
      logger.error('outdated configuration ignored', {version});
      return;
    }
    const ring = tenants === undefined ? ok(undefined) : KeyRing.of(tenants);
    if (ring.isErr()) {
      const problem = ring.error.message;
      logger.error('ambiguous configuration ignored', {version, problem});
      return;
    }
    this.routes = new RouteTable(parsed.data);
    this.front.applyConfiguration(this.routes, ring.value, snapshot.revision);
    this.quotas.use(parsed.data);
    this.broker.review();
    logger.info('configuration applied', {
      version,
      routes: parsed.data.routes.length,
      ageMs: Math.round(views.ageMs('configuration', this.context.clock.now())),
    });
  }

  /** Applies the latest view of the servers. */
  applyServers(): void {
    this.serverTableUpdater.applyLatestView();
    const {servers} = this.context;
    const keys = new Set(servers.all().map(({key}) => key));
    this.context.paths.retain(keys);
    this.pools.retain(keys);
    this.permits.retain(keys);
    this.streams.applyServers();
    this.broker.review();
  }

  /** Applies the latest view of the adapter versions. */
  applyAdapterVersions(): void {
    const {views, clock, logger} = this.context;
    const {snapshot, changedAfter} = views.get('adapter-versions') ?? {};
    this.versions.update(
      (snapshot?.items ?? []).flatMap((item) => {
        const record = this.versionRecords.decode(item);
        if (record === undefined) {
          logger.warn('malformed adapter version ignored', {name: item.name});
          return [];
        }
        return [record];
      }),
      clock.now(),
      changedAfter,
    );
  }

  /** Applies the latest view of the fleet records. */
  applyRecords(): void {
    this.claims.applyRecords();
    this.crashes.applyRecords();
    this.streams.applyRecords();
  }

  private hostStatus(incarnation: string): HostStatus {
    const {host, zone, peerAddress, callerAddress, machine, relayAddress} =
      this.settings;
    return {
      host,
      incarnation,
      zone,
      peerAddress,
      callerAddress,
      ready: this.ready,
      readsStore: this.reader.isHealthy,
      capacity: hostCapacity(machine),
      relayAddress,
      ...this.reachedServers(),
    };
  }

  /** Which servers only other hosts reach, as far as they are told. */
  private reachedServers(): Pick<
    HostStatus,
    'cutFromServers' | 'unreachedServers'
  > {
    const {paths, servers} = this.context;
    const known = paths.isImpaired ? servers.all() : [];
    const unreached = known.filter((server) => paths.usesRelay(server));
    const cutFromServers =
      known.length > 0 && unreached.length === known.length;
    return {
      cutFromServers,
      unreachedServers: cutFromServers
        ? []
        : unreached
            .map(({entry}) => entry.id)
            .sort()
            .slice(0, MAXIMUM_UNREACHED),
    };
  }

  private startMaintenance(): void {
    const {timers, signal, clock, metrics, logger} = this.context;
    timers.every(
      'maintenance',
      MAINTENANCE_PERIOD_MS,
      () => {
        this.serverTableUpdater.expire();
        this.checkUnhealthyServers();
      },
      {signal},
    );
    let expected = clock.now().monotonicMs + LOOP_LAG_PERIOD_MS;
    timers.every(
      'loop-lag',
      LOOP_LAG_PERIOD_MS,
      () => {
        const now = clock.now().monotonicMs;
        const lagMs = Math.max(0, now - expected);
        metrics.loopLagSeconds.set(lagMs / 1_000);
        if (lagMs > LOGGED_LOOP_LAG_MS) {
          logger.warn('event loop was blocked', {lagMs: Math.round(lagMs)});
        }
        expected = now + LOOP_LAG_PERIOD_MS;
      },
      {signal},
    );
  }

  /**
   * Schedules a report to issuers of the adapters that this host has released
   * and of its numbers of requests at servers.
   */
  private scheduleRelease(delayMs = RELEASE_DELAY_MS): void {
    if (this.releaseScheduled) {
      return;
    }
    this.releaseScheduled = true;
    const {timers, clock} = this.context;
    timers.after('issuers/release', Math.max(RELEASE_DELAY_MS, delayMs), () => {
      this.releaseScheduled = false;
      this.broker.release(this.residency.releaseExpired(clock.now()));
      const nextMs = this.residency.nextReleaseMs(clock.now());
      if (nextMs !== undefined) {
        this.scheduleRelease(nextMs);
      }
    });
  }

  /** Schedules a report to issuers of prefilled prompts. */
  private schedulePromptReport(): void {
    if (!this.promptReportScheduled) {
      this.promptReportScheduled = true;
      const {timers} = this.context;
      timers.after('issuers/prompts', PROMPT_REPORT_DELAY_MS, () => {
        this.promptReportScheduled = false;
        this.broker.reportPrompts();
      });
    }
  }

  /** Checks whether unreachable servers have recovered. */
  private checkUnhealthyServers(): void {
    const {servers, clock} = this.context;
    const at = clock.now();
    for (const server of servers.all()) {
      const path = this.routes?.service(server.entry.service)?.healthPath;
      const last = this.healthCheckedAt.get(server.key);
      if (
        path === undefined ||
        server.entry.leaving ||
        server.notices.refuses(at) ||
        !server.health.needsCheck() ||
        server.health.isPaused(at) ||
        (last !== undefined && elapsedMs(last, at) < HEALTH_CHECK_INTERVAL_MS)
      ) {
        continue;
      }
      this.healthCheckedAt.set(server.key, at);
      void this.checkServerHealth(server, path);
    }
  }

  /** Checks the health of one server, if its rate limit allows. */
  private async checkServerHealth(server: Server, path: string): Promise<void> {
    const {logger, clock} = this.context;
    const permit = await this.permits.acquire(server, HEALTH_CHECK_PRIORITY);
    if (!permit.granted) {
      return;
    }
    const answer = await this.serverCaller.call(
      server,
      'check',
      {method: 'GET', path, body: ''},
      HEALTH_CHECK_TIMEOUT_MS,
    );
    const status = answer instanceof Error ? 0 : answer.status;
    server.health.recordHealthCheck(status === 200, clock.now());
    logger.info('health check completed', {server: server.entry.id, status});
  }

  /**
   * Asks whoever listens at a server's address whether it is that server, if its
   * rate limit allows. Another one refuses at once, while the server itself may
   * have no slot for the answer.
   */
  private async identify(server: Server): Promise<ServerIdentity> {
    const {platform} = this.context;
    const {service, id} = server.entry;
    const path = this.routes?.service(service)?.healthPath;
    if (path === undefined) {
      return 'unknown';
    }
    const permit = await this.permits.acquire(server, HEALTH_CHECK_PRIORITY);
    if (!permit.granted) {
      return 'unknown';
    }
    const answer = await this.serverCaller.call(
      server,
      'check',
      {method: 'GET', path, body: ''},
      IDENTIFICATION_TIMEOUT_MS,
    );
    if (answer instanceof Error) {
      return 'unknown';
    }
    const name = platform.forwarding.headers.serverId.toLowerCase();
    const answeredBy = headerValue(answer.rawHeaders, name) ?? id;
    return answer.status === MISDIRECTED || answeredBy !== id
      ? 'other'
      : 'same';
  }

  private readinessRoutes(): RouteHandlers {
    return {
      [this.context.platform.host.readyPath]: () => ({
        status: this.ready ? 200 : 503,
      }),
    };
  }

  private directoryRoutes(): RouteHandlers {
    const {platform, membership, random} = this.context;
    const {host} = platform;
    return {
      [host.addressPath]: (query) => {
        const addresses = selectCallerAddresses(
          membership.live(),
          query.get(host.zoneParameter) ?? undefined,
          membership.self(),
          random,
        );
        const lifetimeS = Math.min(
          MAXIMUM_ADDRESS_LIFETIME_S,
          this.settings.addressLifetimeS,
        );
        return {
          status: 200,
          contentType: 'application/json',
          body: JSON.stringify(host.addressResponse(addresses, lifetimeS)),
        };
      },
    };
  }

  private metricsRoutes(): RouteHandlers {
    const {registry} = this.context.metrics;
    return {
      '/metrics': async () => ({
        status: 200,
        contentType: 'text/plain;charset=UTF-8',
        body: await registry.metrics(),
      }),
    };
  }

  private listen(address: string, routes: RouteHandlers): void {
    const [host, port] = parseAddress(address);
    const server = createRouteServer(routes);
    server.on('error', (error) => {
      this.context.logger.error('HTTP listener failed', {
        address,
        error: error.message,
      });
    });
    server.listen({host, port});
    this.listeners.push(server);
  }
}

type RouteHandlers = Readonly<Record<string, RouteHandler>>;

const VIEW_HANDLERS: Readonly<Record<StoreKind, (host: EntryHost) => void>> = {
  configuration: (host) => {
    host.applyConfiguration();
  },
  servers: (host) => {
    host.applyServers();
  },
  'adapter-versions': (host) => {
    host.applyAdapterVersions();
  },
  records: (host) => {
    host.applyRecords();
  },
};

const parseAddress = (address: string): readonly [string, number] => {
  const [host = '', port = ''] = address.split(':');
  return [host, Number(port)];
};
