import {
  EngineModel,
  seededRandom,
  VirtualScheduler,
  WeightStoreModel,
} from '@basilworks/stand-ins';

import {type Arrival, generateArrivals} from './arrivals.js';
import type {Arena, Contender} from './contender.js';
import {type Deployment, ENGINE_OPTIONS, serversOf} from './deployments.js';
import {
  ALL_MECHANISMS,
  type Mechanisms,
  POLICIES,
  type PolicyName,
} from './policies.js';
import {Recorder} from './recorder.js';
import {type PolicyResult, summarize, totalBatchUse} from './result.js';
import type {Incident, Scenario} from './scenarios.js';

/** Time for which a run goes on after the last arrival. */
const DRAIN_SECONDS = 330;

/** Lag with which the host list tells that servers are gone. */
const HOST_LIST_LAG_MS = 2_000;

/** Offsets that keep the seeds of the models apart from the arrivals'. */
const MODEL_SEED_OFFSET = 1_000_003;

/** Runs one scenario under one policy on virtual time. */
export const runScenario = (
  scenario: Scenario,
  policy: PolicyName,
  seed: number,
  mechanisms: Mechanisms = ALL_MECHANISMS,
): PolicyResult => {
  const arrivals = generateArrivals(scenario, seed);
  const arena = createArena(scenario.deployment, arrivals, seed);
  const {scheduler} = arena;
  const contender = POLICIES[policy](arena, mechanisms);
  for (const arrival of arena.arrivals) {
    scheduler.schedule(arrival.atMs, () => {
      contender.submit(arrival);
    });
  }
  if (scenario.incident) {
    scheduleIncident(arena, contender, scenario.incident);
  }
  scheduler.runUntil(scenario.warmUpSeconds * 1_000);
  const before = totalBatchUse(arena.engines.values());
  scheduler.runUntil(scenario.seconds * 1_000);
  const after = totalBatchUse(arena.engines.values());
  scheduler.runUntil((scenario.seconds + DRAIN_SECONDS) * 1_000);
  const use = {
    filledPositionMs: after.filledPositionMs - before.filledPositionMs,
    offeredPositionMs: after.offeredPositionMs - before.offeredPositionMs,
  };
  return summarize(scenario, policy, seed, arena.recorder, use);
};

/** Makes the engines and the weight store of a deployment. */
export const createArena = (
  deployment: Deployment,
  arrivals: readonly Arrival[],
  seed: number,
): Arena => {
  const scheduler = new VirtualScheduler();
  const random = seededRandom(seed + MODEL_SEED_OFFSET);
  const weightStore = new WeightStoreModel(
    scheduler,
    random,
    deployment.weightStore,
  );
  const engines = new Map(
    serversOf(deployment).map(({server}) => [
      server,
      new EngineModel(scheduler, random, weightStore, {
        ...ENGINE_OPTIONS,
        server,
      }),
    ]),
  );
  return {
    scheduler,
    deployment,
    engines,
    weightStore,
    recorder: new Recorder(scheduler),
    arrivals,
    seed,
  };
};

const scheduleIncident = (
  arena: Arena,
  contender: Contender,
  {atSeconds, kind}: Incident,
): void => {
  const {scheduler, deployment, engines} = arena;
  const [zone] = deployment.zones;
  const hit = serversOf(deployment)
    .filter((server) => server.zone === zone)
    .map(({server}) => server);
  scheduler.schedule(atSeconds * 1_000, () => {
    hit.forEach((server) => engines.get(server)?.restart());
  });
  if (kind === 'zone-loss') {
    scheduler.schedule(atSeconds * 1_000 + HOST_LIST_LAG_MS, () => {
      contender.loseServers(hit);
    });
  }
};
