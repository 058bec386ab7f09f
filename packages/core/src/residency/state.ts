import type {
  AdapterVersion,
  HostId,
  Incarnation,
  ServerId,
} from '../identifiers.js';
import type {PriorityClass, RequestDescription} from '../request.js';
import type {CoreIdentity, CoreSettings} from '../settings.js';
import type {DemandTable} from './demand.js';
import {createDemandTable} from './demand.js';
import type {EvictionOffer} from './eviction.js';
import type {ServiceTimes} from './service-time.js';

/** One occupied slot of an engine, as its owner knows it. */
export interface Slot extends AdapterVersion {
  readonly key: string;
  /**
   * `ready` is confirmed and the only state that requests are sent to;
   * `unconfirmed` stood in a report from before this host became the owner;
   * `unknown` follows an order whose answer was lost.
   */
  state: 'loading' | 'ready' | 'unloading' | 'unconfirmed' | 'unknown';
  /** Requests of this host that run on it. */
  running: number;
  /** Requests of this host that wait for a batch position on it. */
  queued: number;
  /** Whether a previous owner's requests may still run on it. */
  inherited: boolean;
  /** Monotonic time of the last change of `state`. */
  changedMs: number;
  lastUsedMs: number;
  /** Requests that ran on it since it was loaded. */
  uses: number;
  /** The order that last changed it. */
  orderId: string | undefined;
}

/** A request at the owner of its server. */
export interface Execution {
  readonly executionId: string;
  readonly request: RequestDescription;
  readonly key: string;
  readonly server: ServerId;
  readonly from: HostId;
  readonly deadlineMs: number;
  readonly arrivedMs: number;
  readonly resume: boolean;
  /** Class that it queues as; work short of time queues as a higher one. */
  queueClass: PriorityClass;
  state: 'waiting' | 'running';
  dispatchedMs: number;
  /** Whether the request found its adapter absent and waits for a load. */
  stalled: boolean;
  /** The slot that the execution pins, from when it is ready. */
  slot: Slot | undefined;
}

/** An adapter version that is to be loaded on a server. */
export interface Want {
  readonly loadId: string;
  readonly wanted: AdapterVersion;
  readonly key: string;
  /** Set when no request waits for it. */
  background: boolean;
  state: 'waiting' | 'requested' | 'evicting' | 'loading' | 'settling';
  /** Urgency that the load budget's holder was last told. */
  toldUrgency: number;
  /** Monotonic time before which the load is not asked for. */
  notBeforeMs: number;
  readonly sinceMs: number;
}

/** A server that this host owns. */
export interface OwnedServer {
  readonly server: ServerId;
  readonly acquiredMs: number;
  /** Engine start as last reported; undefined before the first report. */
  engineIncarnation: Incarnation | undefined;
  /** Monotonic time of the newest report's measurement. */
  measuredMs: number;
  /** Whether a report measured in this host's ownership has come in. */
  confirmed: boolean;
  leaving: boolean;
  readonly slots: Map<string, Slot>;
  readonly wants: Map<string, Want>;
  /** Consecutive failed loads by adapter version. */
  readonly failures: Map<string, number>;
  /** Executions whose adapter is not ready, by adapter version. */
  readonly waiting: Map<string, Execution[]>;
  /** Executions whose adapter is ready, by class, earliest deadline first. */
  readonly ready: Record<PriorityClass, Execution[]>;
  running: number;
  /** Waiting executions by class. */
  readonly waitingByClass: Record<PriorityClass, number>;
  readonly serviceTimes: ServiceTimes;
  /** Mean time for which one request holds a batch position. */
  serviceMs: number;
  /** Monotonic times of recent evictions, by adapter version. */
  readonly evictedMs: Map<string, number>;
  /** Monotonic time of the last summaries. */
  announcedMs: number;
  /** What a load would take away, as last worked out. */
  offer: EvictionOffer;
  /** Homes that asked for summaries, and until when. */
  readonly subscribers: Map<HostId, number>;
}

/** An order to an engine that has not ended. */
export interface AdapterOrder {
  readonly orderId: string;
  readonly server: ServerId;
  readonly key: string;
  readonly order: 'load' | 'unload';
  readonly startedMs: number;
  /** The load that is ordered, or for which an unload makes room. */
  readonly loadId: string;
}

/** State of the residency area: this host as the owner of servers. */
export interface ResidencyState {
  readonly settings: CoreSettings;
  readonly servers: Map<ServerId, OwnedServer>;
  readonly executions: Map<string, Execution>;
  readonly orders: Map<string, AdapterOrder>;
  readonly demand: DemandTable;
  /** Counts orders and loads for their identities. */
  sequence: number;
  /** Expected time of a load, from wish to end. */
  loadWaitMs: number;
}

/** Returns the state at the start of a process. */
export const createResidencyState = (
  settings: CoreSettings,
  _identity: CoreIdentity,
): ResidencyState => ({
  settings,
  servers: new Map(),
  executions: new Map(),
  orders: new Map(),
  demand: createDemandTable(),
  sequence: 0,
  loadWaitMs: settings.weightStore.loadMs,
});
