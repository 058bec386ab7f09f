import {request as httpRequest} from 'node:http';

import type {LogFields} from '@basilworks/daemon';
import {
  FairShares,
  type KeyRing,
  RouteTable,
  type ServingConfiguration,
  ServerTable,
  StoreViews,
} from '@basilworks/dispatch';
import type {EntryHostContext} from '../../context.js';
import {
  FrontListener,
  type ServerSelector,
  TenantShares,
} from '../../front/index.js';
import {
  type ExchangeObserver,
  UpstreamError,
  type UpstreamPools,
} from '../../upstream/index.js';
import type {ViewSource} from '../../store/index.js';
import {HEADER_NAMES} from './header-names.js';
import {FleetSimulation, serverEntry} from '../views/fleet-simulation.js';

export const route = (name: string, open: boolean) => ({
  name,
  host: 'h',
  pathPrefix: `/${name}/`,
  kind: 'idempotent' as const,
  targets: [{service: 'plain', weight: 1}],
  timeoutMs: 2_000,
  latencyTargetMs: 500,
  priority: 5,
  maximumAttempts: 2,
  sticky: false,
  resumable: false,
  open,
});

export const CONFIGURATION = {
  version: 3,
  routes: [route('keyed', false), route('open', true)],
  services: [{name: 'plain', healthPath: '/', maximumConnections: 10}],
  limits: {
    maximumHeaderBytes: 9_000,
    maximumBodyBytes: 9_000,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 3_000,
  },
};

/** Starts a listener that records sends, on clocks that the test sets. */
export const startListener = async (
  keyRing: KeyRing | undefined,
  /** Runs after a server is selected, before the first byte is sent. */
  beforeFirstByte: (world: {
    at: {monotonicMs: number; wallMs: number};
  }) => void = () => undefined,
  configurationSource?: ViewSource,
  /** Headers of the server's answers, besides its signature. */
  answerHeaders: readonly string[] = [],
) => {
  const fleet = new FleetSimulation(1);
  const {context: hostContext} = fleet.startHost('h0');
  const world = {at: {monotonicMs: 9_000, wallMs: 9_000}};
  const lines: string[] = [];
  const log = (message: string, fields?: LogFields) => {
    lines.push(`${message} ${JSON.stringify(fields)}`);
  };
  const views = new StoreViews();
  const confirm = (revision = 1) => {
    const snapshot = {kind: 'configuration', revision, items: []} as const;
    views.update(snapshot, world.at, world.at);
  };
  views.update({kind: 'servers', revision: 1, items: []}, world.at, world.at);
  const servers = new ServerTable();
  servers.update([{entry: serverEntry('s'), revision: 1}], undefined, world.at);
  const context = {
    ...hostContext,
    settings: {...hostContext.settings, keyRevocationMs: 5_000},
    clock: {now: () => world.at},
    logger: {debug: log, info: log, warn: log, error: log},
    views,
    servers,
    platform: {
      forwarding: {
        headers: HEADER_NAMES,
        lowestPriority: 9,
        parseNotice: () => ({leaving: false}),
        parseLoad: () => undefined,
        parseTokenUsage: () => ({promptTokens: 90, outputTokens: 10}),
      },
    },
  } as unknown as EntryHostContext;
  const sends: string[] = [];
  const pools = {
    poolFor: () => ({
      start: (
        {head}: {head: string},
        _maximum: number,
        observer: ExchangeObserver,
      ) => {
        setImmediate(() => {
          beforeFirstByte(world);
          if (observer.mayWrite?.() === false) {
            observer.failed(new UpstreamError(false, 'withheld', 'withheld'));
            return;
          }
          sends.push(head);
          const rawHeaders = ['X-Signature', 's', ...answerHeaders];
          observer.head({status: 200, rawHeaders, endsWithConnection: false});
          observer.end();
        });
        return {pause: () => 0, resume: () => 0, cancel: () => 0};
      },
    }),
  } as unknown as UpstreamPools;
  const noop = () => undefined;
  const select = () =>
    Promise.resolve({type: 'server', server: servers.byId('s')});
  const selector = {
    select,
    isCurrent: () => true,
    requestStarted: noop,
    versionGuard: {track: () => () => undefined, logFields: () => ({})},
    requestEnded: noop,
    markAdapterAbsent: noop,
  };
  const shares = new FairShares(
    () => 2,
    () => 1,
  );
  const front = new FrontListener(
    context,
    pools,
    selector as unknown as ServerSelector,
    new TenantShares(context, shares),
    undefined,
    undefined,
    configurationSource,
  );
  const applyConfiguration = (
    keyRing: KeyRing | undefined,
    revision = 1,
    configuration: ServingConfiguration = CONFIGURATION,
  ) => {
    front.applyConfiguration(new RouteTable(configuration), keyRing, revision);
  };
  confirm();
  applyConfiguration(keyRing);
  const port = (await front.listen('127.0.0.1', 0))._unsafeUnwrap();
  const request = (
    path: string,
    headers: Record<string, string | string[]> = {},
  ) =>
    new Promise<{status: number; retryAfter: string | undefined}>(
      (resolve, reject) => {
        const outgoing = httpRequest(
          {port, path, headers: {Host: 'h', 'X-Id': 'r', ...headers}},
          (response) => {
            const {statusCode: status = 0, headers: answered} = response;
            response.resume();
            resolve({status, retryAfter: answered['retry-after']});
          },
        );
        outgoing.on('error', reject);
        outgoing.end();
      },
    );
  const close = () => {
    front.close();
    fleet.close();
  };
  return {
    world,
    lines,
    sends,
    shares,
    confirm,
    applyConfiguration,
    request,
    close,
  };
};
