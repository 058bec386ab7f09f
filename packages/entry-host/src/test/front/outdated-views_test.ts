import {
  AdapterVersions,
  type PrepareRequest,
  ResidencyCache,
  type Route,
  type Service,
  type StoreKind,
} from '@basilworks/dispatch';
import test from 'ava';

import type {CallerRequest} from '../../front/caller-request.js';
import {ServerSelector} from '../../front/index.js';
import type {AdapterBroker} from '../../orders/index.js';
import type {PlatformProtocol} from '../../ports.js';
import {createSelectionGates, type ViewSource} from '../../store/index.js';
import {FleetSimulation, serverEntry} from '../views/fleet-simulation.js';

const ADAPTER_NAME = {model: 'base', adapter: 'a1'};

const PLATFORM = {
  forwarding: {
    headers: {tokenUsage: 'X-Usage'},
    parseTokenUsage: () => ({promptTokens: 10, outputTokens: 10}),
  },
} as unknown as PlatformProtocol;

/** State of the store, and of this host's reads. */
interface Store {
  leaving: string | undefined;
  version: number;
  failingMs: number;
  reads: number;
  /** Runs while the issuer makes the adapter resident. */
  onPrepare: () => void;
}

/** Selects servers by views that were read `ageMs` ago. */
const createWorld = (ageMs: number) => {
  const fleet = new FleetSimulation(1);
  const {context: hostContext} = fleet.startHost('h0');
  const world = {
    at: {monotonicMs: 90_000, wallMs: 90_000},
    leavingServerMs: 2_000,
  };
  const clock = {now: () => world.at};
  const context = {
    ...hostContext,
    clock,
    platform: PLATFORM,
    get settings() {
      const {leavingServerMs} = world;
      const {newsBounds} = hostContext.settings;
      return {
        ...hostContext.settings,
        newsBounds: {...newsBounds, leavingServerMs},
      };
    },
  };
  const versions = new AdapterVersions();
  const store: Store = {
    leaving: undefined,
    version: 1,
    failingMs: 0,
    reads: 0,
    onPrepare: () => undefined,
  };
  const update = (kind: StoreKind, freshAtMs: number) => {
    const freshAt = {monotonicMs: freshAtMs, wallMs: freshAtMs};
    const revision = 1 + context.views.revision(kind);
    context.views.update({kind, revision, items: []}, freshAt, world.at);
    const entries = ['s0', 's1'].map((id) => ({
      entry: {
        ...serverEntry(id),
        service: 'engines',
        models: ['base'],
        leaving: id === store.leaving,
      },
      revision,
    }));
    context.servers.update(entries, undefined, world.at);
    versions.update([{...ADAPTER_NAME, version: store.version}], world.at);
  };
  update('servers', world.at.monotonicMs - ageMs);
  update('adapter-versions', world.at.monotonicMs - ageMs);
  const source = (kind: StoreKind): ViewSource => ({
    refresh: () => {
      store.reads += 1;
      update(kind, world.at.monotonicMs);
      return Promise.resolve(true);
    },
    failingMs: () => store.failingMs,
    responseMs: () => 4,
  });
  const broker = {
    hasIssuer: () => true,
    request: (_server: unknown, {version}: PrepareRequest) => {
      store.onPrepare();
      return Promise.resolve({outcome: 'resident', version, validMs: 500});
    },
  } as unknown as AdapterBroker;
  const selector = new ServerSelector(
    context,
    broker,
    {
      acquire: () => Promise.resolve({granted: true}),
      denial: () => undefined,
    },
    new ResidencyCache(),
    versions,
    () => undefined,
    createSelectionGates(context, source),
  );
  const request = {
    id: 'r',
    rawHeaders: [],
    model: 'base/a1',
  } as unknown as CallerRequest;
  const select = () =>
    selector.select({
      request,
      route: {kind: 'stream', priority: 1} as Route,
      service: {name: 'engines', engine: {}} as Service,
      remainingMs: 6_000,
      patienceMs: 6_000,
      latencyBudgetMs: 600,
      tried: new Set(),
      firstSend: true,
      signal: new AbortController().signal,
    });
  return {world, store, select, fleet};
};

// Guards against requests that reach leaving servers or begin on older versions
// by a view that nobody has confirmed: its age was only logged.
test('an outdated view is confirmed before a server is chosen', async (t) => {
  const {store, select, fleet} = createWorld(7_000);
  store.leaving = 's0';
  store.version = 2;
  for (let request = 0; request < 8; request += 1) {
    t.like(await select(), {server: {entry: {id: 's1'}}, version: 2});
  }
  t.is(store.reads, 2, 'requests share one read of each kind');
  fleet.close();
});

test('a recent view is not read again', async (t) => {
  const {store, select, fleet} = createWorld(1_000);
  t.like(await select(), {type: 'server'});
  t.is(store.reads, 0);
  fleet.close();
});

// Guards against selections that outlive their view: what was chosen before a
// wait for an adapter was sent by what was known then.
test('a selection is confirmed again after a wait', async (t) => {
  const {world, store, select, fleet} = createWorld(1_000);
  store.onPrepare = () => {
    store.onPrepare = () => undefined;
    store.version = 3;
    const atMs = world.at.monotonicMs + 6_000;
    world.at = {monotonicMs: atMs, wallMs: atMs};
  };
  t.like(await select(), {type: 'server', version: 3});
  t.true(store.reads > 0);
  fleet.close();
});

test('reloaded bounds apply to the views', async (t) => {
  const {world, store, select, fleet} = createWorld(1_000);
  world.leavingServerMs = 500;
  t.like(await select(), {type: 'server'});
  t.is(store.reads, 1);
  fleet.close();
});

test('a store that is away for hours holds no request', async (t) => {
  const hoursMs = 3 * 3_600_000;
  const {store, select, fleet} = createWorld(hoursMs);
  store.failingMs = hoursMs;
  t.like(await select(), {type: 'server'});
  t.is(store.reads, 0);
  fleet.close();
});
