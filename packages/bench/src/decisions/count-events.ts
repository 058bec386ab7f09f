import type {Arrival} from '../policy/arrivals.js';
import {BasilworksContender} from '../policy/basilworks-contender.js';
import type {Deployment} from '../policy/deployments.js';
import {ALL_MECHANISMS} from '../policy/policies.js';
import {createArena} from '../policy/run-scenario.js';

/** What the reducer did in one run. */
export interface ReducerUse {
  readonly events: number;
  /** Time spent in the reducer alone, milliseconds. */
  readonly reducingMs: number;
}

/** Runs the arrivals and counts events and time of the reducer. */
export const countEvents = (
  deployment: Deployment,
  arrivals: readonly Arrival[],
  untilMs: number,
  clock: () => number,
): ReducerUse => {
  const arena = createArena(deployment, arrivals, 1);
  const contender = new BasilworksContender(arena, ALL_MECHANISMS, clock);
  for (const arrival of arrivals) {
    arena.scheduler.schedule(arrival.atMs, () => {
      contender.submit(arrival);
    });
  }
  arena.scheduler.runUntil(untilMs);
  return contender.reducerUse();
};
