import type {
  EngineModel,
  VirtualScheduler,
  WeightStoreModel,
} from '@basilworks/stand-ins';

import type {Arrival} from './arrivals.js';
import type {Deployment} from './deployments.js';
import type {Recorder} from './recorder.js';

/** What a policy of the bench decides over: engines on virtual time. */
export interface Arena {
  readonly scheduler: VirtualScheduler;
  readonly deployment: Deployment;
  readonly engines: ReadonlyMap<string, EngineModel>;
  readonly weightStore: WeightStoreModel;
  readonly recorder: Recorder;
  /** All arrivals of the scenario, for the policy that knows them. */
  readonly arrivals: readonly Arrival[];
  readonly seed: number;
}

/** A policy in the bench. */
export interface Contender {
  /** A request arrives. */
  submit(arrival: Arrival): void;
  /** Servers are gone; told with the lag of the host list. */
  loseServers(servers: readonly string[]): void;
}
