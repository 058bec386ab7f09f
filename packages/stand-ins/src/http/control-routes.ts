import {Hono} from 'hono';

import type {StandInPlatform} from '../stand-in-platform.js';
import {
  entryHostsSchema,
  type Fault,
  faultSchema,
  type StandInHistory,
} from './control-protocol.js';
import type {NodeEnvironment} from './listen.js';

/** Switches faults, registers entry hosts and tells what happened. */
export const controlRoutes = (
  platform: StandInPlatform,
): Hono<NodeEnvironment> => {
  const routes = new Hono<NodeEnvironment>();
  routes.post('/faults', async (context) => {
    const fault = faultSchema.safeParse(await context.req.json());
    if (!fault.success) {
      return context.json({problem: fault.error.message}, 400);
    }
    applyFault(platform, fault.data);
    return context.json({atMs: platform.scheduler.nowMs()});
  });
  routes.post('/entry-hosts', async (context) => {
    const hosts = entryHostsSchema.safeParse(await context.req.json());
    if (!hosts.success) {
      return context.json({problem: hosts.error.message}, 400);
    }
    for (const host of hosts.data) {
      platform.hostList.putHost(host);
    }
    return context.json({});
  });
  routes.get('/history', (context) => context.json(historyOf(platform)));
  return routes;
};

type FaultHandlers = {
  readonly [Target in Fault['target']]: (
    platform: StandInPlatform,
    fault: Extract<Fault, {readonly target: Target}>,
  ) => void;
};

const faultHandlers: FaultHandlers = {
  'object-api': ({objectStore}, {target: _, ...faults}) => {
    objectStore.setFaults(withoutUndefined(faults));
  },
  'weight-store': ({weightStore}, {target: _, ...faults}) => {
    weightStore.setFaults(withoutUndefined(faults));
  },
  'plain-services': ({plainServices}, {target: _, ...faults}) => {
    for (const service of plainServices.values()) {
      service.setFaults(withoutUndefined(faults));
    }
  },
  'engine-restart': ({engines}, {server}) => {
    engines.get(server)?.restart();
  },
  'server-state': ({hostList}, {server, state}) => {
    hostList.setServerState(server, state);
  },
  'entry-host-state': ({hostList}, {host, state}) => {
    if (state === 'gone') {
      hostList.removeHost(host);
    } else {
      hostList.setHostState(host, state);
    }
  },
};

const applyFault = (platform: StandInPlatform, fault: Fault): void => {
  const handler = faultHandlers[fault.target] as (
    platform: StandInPlatform,
    fault: Fault,
  ) => void;
  handler(platform, fault);
};

type Defined<Type> = {
  [Key in keyof Type]?: Exclude<Type[Key], undefined>;
};

const withoutUndefined = <Type extends object>(value: Type): Defined<Type> =>
  Object.fromEntries(
    Object.entries(value).filter(([, entry]) => entry !== undefined),
  ) as Defined<Type>;

const historyOf = (platform: StandInPlatform): StandInHistory => {
  const engines = [...platform.engines.values()];
  const uses = engines.map((engine) => engine.batchUse());
  return {
    clockOriginMs: performance.timeOrigin,
    runs: engines.flatMap(({history}) => history),
    calls: [...platform.plainServices].flatMap(([server, service]) =>
      service.history().map((call) => ({...call, server})),
    ),
    evictedInUse: sum(engines.map(({evictedInUse}) => evictedInUse)),
    loads: platform.weightStore.orderedLoads,
    batchUse: {
      filledPositionMs: sum(uses.map((use) => use.filledPositionMs)),
      offeredPositionMs: sum(uses.map((use) => use.offeredPositionMs)),
    },
    storeCalls: {...platform.objectStore.counts},
  };
};

const sum = (values: readonly number[]): number =>
  values.reduce((total, value) => total + value, 0);
