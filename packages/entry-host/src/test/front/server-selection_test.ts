import {
  AdapterVersions,
  type PrepareAnswer,
  type PrepareRequest,
  ResidencyCache,
  type Route,
  type Server,
  type ServerEntry,
  type Service,
} from '@basilworks/dispatch';
import test from 'ava';

import type {CallerRequest} from '../../front/caller-request.js';
import {ServerSelector} from '../../front/server-selection.js';
import type {AdapterBroker} from '../../orders/index.js';
import {FleetSimulation, serverEntry} from '../views/fleet-simulation.js';

const NAME = {model: 'base', adapter: 'a1'};

const entry = (id: string, leaving: boolean): ServerEntry => ({
  ...serverEntry(id),
  service: 'engines',
  leaving,
  models: ['base'],
});

type Issuer = (server: Server, request: PrepareRequest) => void;

type Permits = ConstructorParameters<typeof ServerSelector>[2];

const FREE: Permits = {
  acquire: () => Promise.resolve({granted: true}),
  denial: () => undefined,
};

/** Denies the servers that `denies` names, with the time that it gives. */
const denying = (denies: (id: string) => number | undefined): Permits => ({
  ...FREE,
  acquire: ({entry: {id}}) => {
    const retryAfterMs = denies(id);
    return Promise.resolve(
      retryAfterMs === undefined
        ? {granted: true}
        : {granted: false, nextMs: 100, retryAfterMs},
    );
  },
});

/** Selects with issuers that have every adapter ready after `issuer` ran. */
const select = async (
  issuer: (world: {
    readonly versions: AdapterVersions;
    readonly close: (id: string) => void;
    /** The caller closes its connection. */
    readonly leave: () => void;
  }) => Issuer,
  permits: Permits = FREE,
) => {
  const fleet = new FleetSimulation(1);
  const {context} = fleet.startHost('h0');
  const at = context.clock.now();
  const list = (closed?: string) => {
    const entries = ['s0', 's1', 's2'].map((id) => ({
      entry: entry(id, id === closed),
      revision: 1,
    }));
    context.servers.update(entries, undefined, at);
  };
  list();
  const versions = new AdapterVersions();
  const abort = new AbortController();
  const leave = () => {
    abort.abort();
  };
  const run = issuer({versions, close: list, leave});
  const asked: (readonly [string, number])[] = [];
  const broker = {
    hasIssuer: () => true,
    request: (
      server: Server,
      request: PrepareRequest,
    ): Promise<PrepareAnswer> => {
      asked.push([server.entry.id, request.version]);
      run(server, request);
      const {version} = request;
      return Promise.resolve({outcome: 'resident', version, validMs: 500});
    },
  } as unknown as AdapterBroker;
  const selector = new ServerSelector(
    context,
    broker,
    permits,
    new ResidencyCache(),
    versions,
    () => undefined,
  );
  const selection = await selector.select({
    request: {id: 'r', model: 'base/a1'} as CallerRequest,
    route: {priority: 0} as Route,
    service: {name: 'engines', engine: {}} as Service,
    remainingMs: 5_000,
    untilLateMs: 600,
    tried: new Set(),
    firstSend: true,
    signal: abort.signal,
  });
  fleet.close();
  return {selection, asked};
};

test('a request goes where its adapter was made resident', async (t) => {
  const {selection, asked} = await select(() => () => undefined);
  t.is(selection.type, 'server');
  t.is(asked.length, 1);
});

test('a request whose caller leaves during the wait takes no permit', async (t) => {
  const permits: string[] = [];
  const {selection, asked} = await select(
    ({leave}) => leave,
    denying((id) => {
      permits.push(id);
      return undefined;
    }),
  );
  t.like(selection, {type: 'none', reason: 'its caller left'});
  t.is(asked.length, 1);
  t.deepEqual(permits, []);
});

test('a server that leaves during the wait is passed over', async (t) => {
  let first: string | undefined;
  const {selection} = await select(({close}) => ({entry: {id}}) => {
    first ??= id;
    close(first);
  });
  t.is(selection.type, 'server');
  t.not(selection.type === 'server' ? selection.server.entry.id : first, first);
});

// A request that waited for a load could begin on a version older than one that
// was announced in the meantime.
test('a version that grew old during the wait is not used', async (t) => {
  const {selection, asked} = await select(({versions}) => () => {
    versions.update([{...NAME, version: 2}]);
  });
  t.deepEqual(
    asked.map(([, version]) => version),
    [1, 2],
  );
  t.is(selection.type === 'server' ? selection.version : undefined, 2);
});

test('a request goes elsewhere at once when a server is at its limit', async (t) => {
  const [first = ''] = (await select(() => () => undefined)).asked.map(
    ([id]) => id,
  );
  const {selection, asked} = await select(
    () => () => undefined,
    denying((id) => (id === first ? 3_000 : undefined)),
  );
  t.is(asked.length, 2);
  t.not(selection.type === 'server' ? selection.server.entry.id : first, first);
});

test('a request is refused at once when all servers are at their limits', async (t) => {
  const waits: Readonly<Record<string, number>> = {s0: 900, s1: 700, s2: 800};
  const {selection, asked} = await select(
    () => () => undefined,
    denying((id) => waits[id]),
  );
  t.is(asked.length, 3, 'each was asked once');
  t.like(selection, {type: 'none', retryAfterMs: 700});
});
