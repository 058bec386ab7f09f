import {setTimeout as sleep} from 'node:timers/promises';

import type {Fault, Random} from '@basilworks/stand-ins';

import type {Fleet} from './fleet.js';
import type {LeavingServer} from './history.js';
import {
  type EntryHostProcess,
  NotReadyError,
} from './launch/entry-host-process.js';

const MS_PER_SECOND = 1_000;

/** Time after which a restarted process is known not to have failed at once. */
const RESTART_CHECK_MS = 1_000;

/** What a fault may use. */
export interface FaultContext {
  readonly fleet: Fleet;
  readonly random: Random;
  /** Length of the run. */
  readonly seconds: number;
  /** Filled with servers that were announced as leaving. */
  readonly leaving: LeavingServer[];
  readonly report: (message: string) => void;
}

type FaultScript = (context: FaultContext) => Promise<void>;

/** Each fault's course over a run; every one ends with all in order again. */
export const FAULTS = {
  'kill-host': async (context) => {
    const host = pick(context, context.fleet.hosts);
    await waitFor(context, 0.3);
    context.report(`${host.entry.host} is killed`);
    host.signal('SIGKILL');
    await host.waitForEnd();
    await waitFor(context, 0.3);
    context.report(`${host.entry.host} starts again under its old address`);
    await host.start();
    await sleep(RESTART_CHECK_MS);
    if (!host.running) {
      throw new NotReadyError(`${host.entry.host} ended after its restart`);
    }
  },
  'pause-host': async (context) => {
    const host = pick(context, context.fleet.hosts);
    await waitFor(context, 0.3);
    context.report(`${host.entry.host} is paused`);
    host.signal('SIGSTOP');
    await waitFor(context, 0.35);
    context.report(`${host.entry.host} goes on`);
    host.signal('SIGCONT');
  },
  'store-outage': async (context) => {
    await during(
      context,
      'the object API is down',
      {target: 'object-api', outage: true},
      {target: 'object-api', outage: false},
    );
  },
  'lost-answer': async (context) => {
    const lostAnswerProbability = 0.3;
    await during(
      context,
      'answers of the object API and of plain services are lost',
      {target: 'object-api', lostAnswerProbability},
      {target: 'object-api', lostAnswerProbability: 0},
      {target: 'plain-services', lostAnswerProbability},
      {target: 'plain-services', lostAnswerProbability: 0},
    );
  },
  'engine-restart': async (context) => {
    const {fleet} = context;
    const engines = engineNames(fleet);
    for (const share of [0.3, 0.3]) {
      await waitFor(context, share);
      const server = pick(context, engines);
      context.report(`${server} restarts`);
      await fleet.platform.setFault({target: 'engine-restart', server});
    }
  },
  'load-failure': async (context) => {
    await during(
      context,
      'loads fail',
      {target: 'weight-store', failureProbability: 0.3},
      {target: 'weight-store', failureProbability: 0},
    );
  },
  'leaving-server': async (context) => {
    const {fleet, leaving} = context;
    const server = pick(context, engineNames(fleet));
    await waitFor(context, 0.3);
    context.report(`${server} is leaving`);
    const atMs = await fleet.platform.setFault({
      target: 'server-state',
      server,
      state: 'leaving',
    });
    const visibleMs = atMs + fleet.deployment.hostListLagMs;
    leaving.push({server, visibleMs});
  },
  'rolling-stop': async (context) => {
    await waitFor(context, 0.1);
    for (const host of context.fleet.hosts) {
      await restartHost(context, host);
    }
  },
} satisfies Record<string, FaultScript>;

export type FaultName = keyof typeof FAULTS;

/** Whether a word names a fault. */
export const isFaultName = (word: string): word is FaultName =>
  Object.hasOwn(FAULTS, word);

/** Stops a host as planned, waits for its end and starts it again. */
const restartHost = async (
  {report}: FaultContext,
  host: EntryHostProcess,
): Promise<void> => {
  report(`${host.entry.host} stops as planned`);
  host.signal('SIGTERM');
  const exitCode = await host.waitForEnd();
  report(`${host.entry.host} ended with exit code ${exitCode ?? 'none'}`);
  await host.start();
  await host.waitUntilReady();
};

/** Switches faults on for the middle of the run; pairs of on and off. */
const during = async (
  context: FaultContext,
  message: string,
  ...faults: readonly Fault[]
): Promise<void> => {
  const {platform} = context.fleet;
  await waitFor(context, 0.25);
  context.report(message);
  for (const fault of faults.filter((_, index) => index % 2 === 0)) {
    await platform.setFault(fault);
  }
  await waitFor(context, 0.4);
  context.report(`over: ${message}`);
  for (const fault of faults.filter((_, index) => index % 2 === 1)) {
    await platform.setFault(fault);
  }
};

const waitFor = ({seconds}: FaultContext, shareOfRun: number): Promise<void> =>
  sleep(shareOfRun * seconds * MS_PER_SECOND);

const engineNames = ({deployment}: Fleet): readonly string[] =>
  deployment.pools
    .filter(({kind}) => kind === 'engine')
    .flatMap(({pool, servers}) =>
      Array.from({length: servers}, (_, index) => `${pool}-${index + 1}`),
    );

const pick = <Item>({random}: FaultContext, items: readonly Item[]): Item => {
  const item = items[Math.floor(random() * items.length)];
  if (item === undefined) {
    throw new RangeError('nothing to pick from');
  }
  return item;
};
