import type {RequestDescription, ServerDescription} from '@basilworks/core';
import type {
  EngineModel,
  HostListModel,
  ObjectStoreModel,
  PlainServiceModel,
  Random,
  VirtualScheduler,
} from '@basilworks/stand-ins';

import type {History} from '../history.js';
import type {Network} from './network.js';
import type {SimulatedHost} from './simulated-host.js';

/** A server with its model. */
export interface SimulatedServer {
  readonly description: ServerDescription;
  readonly engine: EngineModel | undefined;
  readonly plain: PlainServiceModel | undefined;
}

/** Everything around one simulated host. */
export interface Surroundings {
  readonly scheduler: VirtualScheduler;
  readonly random: Random;
  readonly network: Network;
  readonly store: ObjectStoreModel;
  readonly hostList: HostListModel;
  readonly servers: ReadonlyMap<string, SimulatedServer>;
  readonly history: History;
  /** The running process under a host name. */
  host(name: string): SimulatedHost | undefined;
  /** Requests by identity, as their callers made them. */
  readonly requests: Map<string, RequestDescription>;
}
