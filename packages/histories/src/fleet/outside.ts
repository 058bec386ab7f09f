import type {
  CallDescription,
  CoreEvent,
  HostId,
  PeerMessage,
  RequestDescription,
  ServerDescription,
} from '@basilworks/core';
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

/** Watches what the hosts of a fleet do, for measurements. */
export interface FleetObserver {
  /** A turn of a host's reducer ended. */
  reduced(host: HostId, event: CoreEvent, elapsedNs: bigint): void;
  /** A host sent a message to another one. */
  sent(from: HostId, to: HostId, message: PeerMessage): void;
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
  /** Lets a host send to every server that it believes it may act on. */
  probeHost(host: SimulatedHost): void;
  /** Undefined while nothing is measured. */
  readonly observer: FleetObserver | undefined;
  /** The running process under a host name. */
  host(name: string): SimulatedHost | undefined;
  /** Requests by identity, as their callers made them. */
  readonly requests: Map<string, RequestDescription>;
  /** Calls by request identity, as their callers made them. */
  readonly calls: Map<string, CallDescription>;
}
