import {request as httpRequest} from 'node:http';

import {
  digestKey,
  FairShares,
  KeyRing,
  RouteTable,
  ServerTable,
  StoreViews,
} from '@basilworks/dispatch';
import test from 'ava';

import type {EntryHostContext} from '../../context.js';
import {
  FrontListener,
  type ServerSelector,
  TenantShares,
} from '../../front/index.js';
import type {Admission, QuotaRequest} from '../../tenants/index.js';
import {
  type ExchangeObserver,
  UpstreamError,
  type UpstreamPools,
} from '../../upstream/index.js';
import {FleetSimulation, serverEntry} from '../views/fleet-simulation.js';
import {HEADER_NAMES} from './header-names.js';

const ROUTE = {
  name: 'keyed',
  host: 'h',
  pathPrefix: '/',
  kind: 'idempotent' as const,
  targets: [{service: 'plain', weight: 1}],
  timeoutMs: 2_000,
  latencyTargetMs: 500,
  priority: 5,
  maximumAttempts: 2,
  sticky: false,
  resumable: false,
};

const ROUTES = new RouteTable({
  version: 3,
  routes: [ROUTE],
  services: [{name: 'plain', healthPath: '/', maximumConnections: 10}],
  limits: {
    maximumHeaderBytes: 9_000,
    maximumBodyBytes: 9_000,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 3_000,
  },
});

const KEY_RING = KeyRing.of([
  {name: 'acme', keyDigests: [digestKey('k')]},
])._unsafeUnwrap();

/** Outcomes of successive sends; if empty, no server is found. */
type SendOutcomes = readonly ('answered' | 'not-sent' | 'lost')[];

/** Sends one request to a front listener; returns its answer and effects. */
const serve = async (
  admission: Admission | undefined,
  outcomes: SendOutcomes,
) => {
  const fleet = new FleetSimulation(1);
  const {context: hostContext} = fleet.startHost('h0');
  const at = {monotonicMs: 9_000, wallMs: 9_000};
  const views = new StoreViews();
  views.update({kind: 'configuration', revision: 1, items: []}, at, at);
  const servers = new ServerTable();
  servers.update([{entry: serverEntry('s'), revision: 1}], undefined, at);
  const context = {
    ...hostContext,
    clock: {now: () => at},
    views,
    servers,
    platform: {
      forwarding: {
        headers: HEADER_NAMES,
        lowestPriority: 9,
        parseNotice: () => ({leaving: false}),
        parseLoad: () => undefined,
        parseTokenUsage: () => undefined,
      },
    },
  } as unknown as EntryHostContext;
  const remaining = [...outcomes];
  const start = (_sent: unknown, _most: number, observer: ExchangeObserver) => {
    const outcome = remaining.shift();
    setImmediate(() => {
      if (outcome === 'answered') {
        const rawHeaders = ['X-Signature', 's'];
        observer.head({status: 200, rawHeaders, endsWithConnection: false});
        observer.end();
      } else {
        const sent = outcome === 'lost';
        observer.failed(new UpstreamError(sent, 'interrupted', 'lost'));
      }
    });
    return {pause: () => 0, resume: () => 0, cancel: () => 0};
  };
  const ignore = () => undefined;
  const select = () =>
    Promise.resolve(
      remaining.length === 0
        ? {type: 'none', reason: 'none is open', retryAfterMs: 0}
        : {type: 'server', server: servers.byId('s')},
    );
  const selector = {
    select,
    isCurrent: () => true,
    requestStarted: ignore,
    versionGuard: {track: () => () => undefined, logFields: () => ({})},
    requestEnded: ignore,
    markAdapterAbsent: ignore,
  };
  const quotaRequests: (string | undefined)[] = [];
  const endReports: boolean[] = [];
  const admit = ({caller, usage}: QuotaRequest): Promise<Admission> => {
    quotaRequests.push(
      caller.type === 'tenant' ? caller.tenant.name : '',
      usage,
    );
    const end = (ran: boolean) => {
      endReports.push(ran);
    };
    return Promise.resolve(admission ?? {type: 'admitted', end});
  };
  const front = new FrontListener(
    context,
    {poolFor: () => ({start})} as unknown as UpstreamPools,
    selector as unknown as ServerSelector,
    new TenantShares(context, new FairShares(() => undefined, Math.random)),
    {admit},
  );
  front.applyConfiguration(ROUTES, KEY_RING, 1);
  const port = (await front.listen('127.0.0.1', 0))._unsafeUnwrap();
  const answer = await new Promise<{
    status: number;
    retryAfter: string | undefined;
  }>((resolve, reject) => {
    const headers = {
      Host: 'h',
      [HEADER_NAMES.requestId]: 'r',
      [HEADER_NAMES.key]: 'k',
      [HEADER_NAMES.tokenUsage]: '640,72',
    };
    const request = httpRequest({port, path: '/', headers}, (response) => {
      response.resume();
      response.on('end', () => {
        const {statusCode: status = 0, headers: responseHeaders} = response;
        resolve({status, retryAfter: responseHeaders['retry-after']});
      });
    });
    request.on('error', reject);
    request.end();
  });
  front.close();
  fleet.close();
  return {
    ...answer,
    quotaRequests,
    endReports,
    sends: outcomes.length - remaining.length,
  };
};

test('a request beyond its quota is not sent to any server', async (t) => {
  for (const status of [429, 503] as const) {
    const reason = status === 429 ? 'over-quota' : 'unheard';
    const response = await serve(
      {type: 'refused', status, reason, retryAfterMs: 1_250},
      ['answered'],
    );
    t.like(response, {status, retryAfter: '1.25', sends: 0});
    t.deepEqual(response.quotaRequests, ['acme', '640,72']);
  }
});

// Guards against a retried request that is charged its tokens once per send.
test('a request is charged its tokens once, without refund if it may have run', async (t) => {
  for (const outcomes of [
    ['answered'],
    ['not-sent', 'answered'],
    ['lost', 'answered'],
    ['lost'],
  ] as const) {
    const {quotaRequests, endReports} = await serve(undefined, outcomes);
    t.deepEqual(quotaRequests, ['acme', '640,72']);
    t.deepEqual(endReports, [true], outcomes.join());
  }
});

test('a request that found no server has its tokens refunded', async (t) => {
  for (const outcomes of [[], ['not-sent']] as const) {
    const {status, endReports} = await serve(undefined, outcomes);
    t.is(status, 503);
    t.deepEqual(endReports, [false]);
  }
});
