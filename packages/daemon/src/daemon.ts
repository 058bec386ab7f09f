import {randomBytes, randomInt} from 'node:crypto';

import {createState, reduce} from '@basilworks/core';
import {Hono} from 'hono';
import {ok, type Result} from 'neverthrow';
import {Agent} from 'undici';

import {type Clock, systemClock} from './clock.js';
import type {DaemonContext, Platform} from './context.js';
import {createParts, type Parts} from './parts.js';
import type {CallerEnvironment} from './http/caller-app.js';
import {registerHealthRoutes} from './http/health-routes.js';
import {HttpListener} from './http/listener.js';
import {BoundedRecord} from './lib/bounded-record.js';
import {HostDirectory} from './lib/host-directory.js';
import type {ListenError} from './lib/listen-error.js';
import {createLogger, type Logger} from './logger.js';
import {Loop} from './loop.js';
import {Metrics} from './metrics.js';
import {
  HttpClient,
  HttpEngineClient,
  HttpHostList,
  HttpObjectApi,
  HttpPlainServiceClient,
} from './platform/index.js';
import {Readiness} from './readiness.js';
import type {DaemonSettings} from './settings-schema.js';
import {TimerService} from './timer-service.js';

const CONNECT_TIMEOUT_MS = 1_000;

/** An engine that sends nothing for this long is taken as gone. */
const IDLE_ANSWER_TIMEOUT_MS = 30_000;

/** Parts that tests put in place of the real ones. */
export interface DaemonOverrides {
  readonly clock?: Clock;
  readonly logger?: Logger;
  readonly platform?: Platform;
}

/** Ports that the listeners got. */
export interface DaemonPorts {
  readonly callers: number;
  readonly peers: number;
}

/** One entry host: all parts around the loop. */
export class Daemon {
  readonly context: DaemonContext;
  private readonly abortController = new AbortController();
  private readonly parts: Parts;
  private readonly listeners: HttpListener[] = [];
  private stopping = false;

  constructor(
    private readonly settings: DaemonSettings,
    /** Called when a planned stop is complete. */
    onStopped: () => void,
    overrides: DaemonOverrides = {},
  ) {
    const signal = this.abortController.signal;
    this.context = createContext(settings, overrides, signal);
    this.parts = createParts(this.context, {
      onStopped,
      drainCallers: async () => {
        await Promise.all(this.listeners.map((listener) => listener.drain()));
      },
    });
  }

  /** Listens and starts the loop. */
  async start(): Promise<Result<DaemonPorts, ListenError>> {
    const {settings} = this;
    const callerListen = settings.callerListen ?? settings.callerAddress;
    const app = new Hono<CallerEnvironment>();
    for (const register of this.parts.routes) {
      register(app);
    }
    const metricsApp = settings.metricsListen
      ? new Hono<CallerEnvironment>()
      : app;
    registerHealthRoutes(metricsApp, this.context);
    const peers = await this.parts.peerService.listen(
      settings.peerListen ?? settings.peerAddress,
    );
    const callers = await this.listen(app, callerListen);
    if (settings.metricsListen !== undefined) {
      const metrics = await this.listen(metricsApp, settings.metricsListen);
      if (metrics.isErr()) {
        return metrics.map(() => ({callers: 0, peers: 0}));
      }
    }
    return peers.andThen((peerPort) =>
      callers.andThen((callerPort) => {
        this.context.loop.start(this.parts.runners);
        this.context.loop.post({type: 'started'});
        return ok({callers: callerPort, peers: peerPort});
      }),
    );
  }

  /** Begins a planned stop; further calls do nothing. */
  requestStop(): void {
    if (this.stopping) {
      return;
    }
    this.stopping = true;
    this.context.logger.info('planned stop requested');
    this.context.loop.post({type: 'stop-requested'});
  }

  /** Closes everything at once. */
  close(): void {
    this.abortController.abort();
    this.context.timers.close();
    this.parts.peerService.close();
    for (const listener of this.listeners) {
      listener.close();
    }
  }

  private async listen(app: Hono<CallerEnvironment>, address: string) {
    const listener = new HttpListener(app);
    this.listeners.push(listener);
    return listener.listen(address);
  }
}

const createContext = (
  settings: DaemonSettings,
  overrides: DaemonOverrides,
  signal: AbortSignal,
): DaemonContext => {
  const timers = new TimerService();
  const metrics = new Metrics();
  const logger =
    overrides.logger ?? createLogger(settings.host, settings.logLevel);
  const identity = {
    incarnation: `${settings.host}#${randomBytes(8).toString('hex')}`,
    seed: randomInt(2 ** 31),
  };
  const loop = new Loop({
    state: createState(settings, identity),
    clock: overrides.clock ?? systemClock,
    timers,
    reduce,
    observer: {
      turnFinished: ({type}, milliseconds) => {
        metrics.turns.inc({event: type});
        metrics.controlProcessorSeconds.inc(milliseconds / 1_000);
      },
      runnerFailed: ({type}, error) => {
        metrics.runnerFailures.inc({effect: type});
        logger.error('an effect failed', {effect: type, error: String(error)});
      },
    },
  });
  const {limits} = settings;
  return {
    settings,
    identity,
    loop,
    timers,
    logger,
    metrics,
    signal,
    readiness: new Readiness(),
    platform:
      overrides.platform ?? createPlatform(settings, timers, metrics, signal),
    directory: new HostDirectory(loop),
    auditTrail: new BoundedRecord(limits.recordEntries),
    decisions: new BoundedRecord(limits.recordEntries),
  };
};

const createPlatform = (
  settings: DaemonSettings,
  timers: TimerService,
  metrics: Metrics,
  signal: AbortSignal,
): Platform => {
  const agent = new Agent({
    connect: {timeout: CONNECT_TIMEOUT_MS},
    headersTimeout: 0,
    bodyTimeout: IDLE_ANSWER_TIMEOUT_MS,
  });
  signal.addEventListener('abort', () => {
    void agent.destroy();
  });
  const client = new HttpClient(agent, timers);
  const countStoreBytes = (sent: number, received: number) => {
    metrics.controlBytes.inc({direction: 'sent', channel: 'store'}, sent);
    const labels = {direction: 'received', channel: 'store'};
    metrics.controlBytes.inc(labels, received);
  };
  return {
    objectApi: new HttpObjectApi(
      client,
      settings.objectApiUrl,
      countStoreBytes,
    ),
    hostList: new HttpHostList(client, settings.hostListUrl),
    engines: new HttpEngineClient(client),
    plainServices: new HttpPlainServiceClient(client),
  };
};
