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
import type {PlatformProtocol} from '../../ports.js';
import {FleetSimulation, serverEntry} from '../views/fleet-simulation.js';

const ADAPTER_NAME = {model: 'base', adapter: 'a1'};

const entry = (id: string, leaving: boolean): ServerEntry => ({
  ...serverEntry(id),
  service: 'engines',
  leaving,
  models: ['base'],
});

type PrepareListener = (server: Server, request: PrepareRequest) => void;

type Permits = ConstructorParameters<typeof ServerSelector>[2];

const GRANT_ALL: Permits = {
  acquire: () => Promise.resolve({granted: true}),
  denial: () => undefined,
};

/** Denies permits for servers that `retryAfterMsOf` returns a time for. */
const denyPermits = (
  retryAfterMsOf: (id: string) => number | undefined,
): Permits => ({
  ...GRANT_ALL,
  acquire: ({entry: {id}}) => {
    const retryAfterMs = retryAfterMsOf(id);
    return Promise.resolve(
      retryAfterMs === undefined
        ? {granted: true}
        : {granted: false, nextMs: 100, retryAfterMs},
    );
  },
});

const residentAnswer = ({version}: PrepareRequest): PrepareAnswer => ({
  outcome: 'resident',
  version,
  validMs: 500,
});

/** A platform whose requests all have a prompt of a thousand tokens. */
const PLATFORM = {
  forwarding: {
    headers: {tokenUsage: 'X-Usage'},
    parseTokenUsage: () => ({promptTokens: 1_000, outputTokens: 100}),
  },
} as unknown as PlatformProtocol;

/**
 * Selects a server with issuers that make every adapter resident after the
 * listener was called.
 */
const select = async (
  createListener: (controls: {
    readonly versions: AdapterVersions;
    readonly startLeaving: (id: string) => void;
    /** Adds a server. */
    readonly join: (id: string) => void;
    /** Closes the caller's connection. */
    readonly disconnect: () => void;
  }) => PrepareListener,
  permits: Permits = GRANT_ALL,
  answerOf = residentAnswer,
  route: Partial<Route> = {},
  allows?: (server: Server) => boolean,
) => {
  const fleet = new FleetSimulation(1);
  const {context: hostContext} = fleet.startHost('h0');
  const context = {...hostContext, platform: PLATFORM};
  const at = context.clock.now();
  const ids = new Set(['s0', 's1', 's2']);
  const updateServers = (leavingId?: string) => {
    const entries = [...ids].map((id) => ({
      entry: entry(id, id === leavingId),
      revision: 1,
    }));
    context.servers.update(entries, undefined, at);
  };
  updateServers();
  const versions = new AdapterVersions();
  const abort = new AbortController();
  const disconnect = () => {
    abort.abort();
  };
  const onPrepare = createListener({
    versions,
    startLeaving: updateServers,
    join: (id) => {
      ids.add(id);
      updateServers();
    },
    disconnect,
  });
  const prepared: (readonly [string, number])[] = [];
  const broker = {
    hasIssuer: () => true,
    request: (
      server: Server,
      request: PrepareRequest,
    ): Promise<PrepareAnswer> => {
      prepared.push([server.entry.id, request.version]);
      onPrepare(server, request);
      return Promise.resolve(answerOf(request));
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
    request: {
      id: 'r',
      model: 'base/a1',
      rawHeaders: [] as readonly string[],
    } as CallerRequest,
    route: {priority: 0, ...route} as Route,
    service: {name: 'engines', engine: {}} as Service,
    remainingMs: 5_000,
    patienceMs: 2_000,
    latencyBudgetMs: 600,
    tried: new Set(),
    allows,
    firstSend: true,
    signal: abort.signal,
  });
  fleet.close();
  return {selection, prepared};
};

test('a request goes to the server where its adapter became resident', async (t) => {
  const {selection, prepared} = await select(() => () => undefined);
  t.is(selection.type, 'server');
  t.is(prepared.length, 1);
});

test('a request whose caller disconnects during the wait acquires no permit', async (t) => {
  const permits: string[] = [];
  const {selection, prepared} = await select(
    ({disconnect}) => disconnect,
    denyPermits((id) => {
      permits.push(id);
      return undefined;
    }),
  );
  t.like(selection, {type: 'none', reason: 'its caller left'});
  t.is(prepared.length, 1);
  t.deepEqual(permits, []);
});

test('a server that begins to leave during the wait is skipped', async (t) => {
  let first: string | undefined;
  const {selection} = await select(({startLeaving}) => ({entry: {id}}) => {
    first ??= id;
    startLeaving(first);
  });
  t.is(selection.type, 'server');
  t.not(selection.type === 'server' ? selection.server.entry.id : first, first);
});

// Guards against a request that waits for an adapter to load and then runs on a
// version older than one announced in the meantime.
test('a version superseded during the wait is not used', async (t) => {
  const {selection, prepared} = await select(({versions}) => () => {
    const learnedAt = {monotonicMs: 0, wallMs: 0};
    versions.update([{...ADAPTER_NAME, version: 2}], learnedAt);
  });
  t.deepEqual(
    prepared.map(([, version]) => version),
    [1, 2],
  );
  t.is(selection.type === 'server' ? selection.version : undefined, 2);
});

test('a request goes to another server at once when one is at its rate limit', async (t) => {
  const [first = ''] = (await select(() => () => undefined)).prepared.map(
    ([id]) => id,
  );
  const {selection, prepared} = await select(
    () => () => undefined,
    denyPermits((id) => (id === first ? 3_000 : undefined)),
  );
  t.is(prepared.length, 2);
  t.not(selection.type === 'server' ? selection.server.entry.id : first, first);
});

test('a request is refused at once when all servers are at their rate limits', async (t) => {
  const waits: Readonly<Record<string, number>> = {s0: 900, s1: 700, s2: 800};
  const {selection, prepared} = await select(
    () => () => undefined,
    denyPermits((id) => waits[id]),
  );
  t.is(prepared.length, 3, 'each was asked once');
  t.like(selection, {type: 'none', retryAfterMs: 700});
});

// Requests for rare adapters were held until their callers gave up after four
// seconds, as the last attempt waited for half of the time until the timeout.
// Guards against streams that begin or go on at a software version which joined
// while their requests waited: servers were left out before the first choice only.
test('a server that joins during the wait is left out like the others of its version', async (t) => {
  let join: (id: string) => void = () => undefined;
  const {selection} = await select(
    (controls) => {
      join = controls.join;
      return () => undefined;
    },
    denyPermits((id) => {
      if (id === 's3') {
        return undefined;
      }
      join('s3');
      return 700;
    }),
    residentAnswer,
    {},
    ({entry: {id}}) => id !== 's3',
  );
  t.is(selection.type, 'none');
});

test('no attempt waits longer than half of the patience of the caller', async (t) => {
  const waitsMs: number[] = [];
  const {selection} = await select(
    () => () => undefined,
    GRANT_ALL,
    ({maximumWaitMs}) => {
      waitsMs.push(maximumWaitMs);
      return {outcome: 'refused', reason: 'too-long', retryAfterMs: 100};
    },
  );
  t.is(selection.type, 'none');
  t.is(waitsMs.length, 4);
  t.true(Math.max(...waitsMs) <= 1_000, String(waitsMs));
});

// The adapter is resident there, so that the prompt could be sent although the
// issuer refused it for the sake of the running streams.
test('a prompt is not sent to a server where too many prompts wait', async (t) => {
  const {selection} = await select(
    () => () => undefined,
    GRANT_ALL,
    ({takesCrowded}) => ({
      outcome: 'refused',
      reason: takesCrowded ? 'prompts-waiting' : 'crowded',
      retryAfterMs: 800,
    }),
    {kind: 'stream', eventGapMs: 250},
  );
  t.like(selection, {type: 'none', retryAfterMs: 800});
});

test('a prompt is announced only where prompts are limited', async (t) => {
  const streamRoute = {kind: 'stream', eventGapMs: 250} as const;
  const prefillLimit = {limitMs: 200, targetMs: 250};
  const announcedAs = async (answer: Partial<PrepareAnswer>) => {
    const {selection} = await select(
      () => () => undefined,
      GRANT_ALL,
      (request) => ({...residentAnswer(request), ...answer}) as PrepareAnswer,
      streamRoute,
    );
    return selection.type === 'server' ? selection.announcedAs : undefined;
  };
  t.is(await announcedAs({}), undefined);
  t.truthy(await announcedAs({prefillLimit}));
});
