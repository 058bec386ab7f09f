import type {HostId, Incarnation, RequestId, ServerId} from '../identifiers.js';
import type {ServerSummary} from '../residency/messages.js';
import type {RequestDescription} from '../request.js';
import type {CoreIdentity, CoreSettings} from '../settings.js';
import type {PoolCandidates} from './candidates.js';
import type {RetryBudget} from './retry-budget.js';
import {createRetryBudget} from './retry-budget.js';

/** A request at its ingress host, from its arrival to its final answer. */
export interface IngressRequest {
  readonly request: RequestDescription;
  readonly deadlineMs: number;
  /**
   * `placing` waits for a server, `attempting` has an attempt in progress, and
   * `resuming` waits before an interrupted answer is resumed.
   */
  state: 'placing' | 'attempting' | 'resuming';
  /** Placements so far; the count makes their identifiers unique. */
  placementCount: number;
  /** Requests for the current placement since the home last answered. */
  unansweredRequests: number;
  placementId: string;
  attemptId: string;
  server: ServerId | undefined;
  /** Servers that have refused this request. */
  readonly excluded: ServerId[];
  /** Resumptions of the answer so far. */
  resumeCount: number;
  deliveredBytes: number;
  /** Whether the caller disconnected or cancelled the request. */
  abandoned: boolean;
}

/** Creates the state of a newly arrived request. */
export const createIngressRequest = (
  request: RequestDescription,
  deadlineMs: number,
): IngressRequest => ({
  request,
  deadlineMs,
  state: 'placing',
  placementCount: 0,
  unansweredRequests: 0,
  placementId: '',
  attemptId: '',
  server: undefined,
  excluded: [],
  resumeCount: 0,
  deliveredBytes: 0,
  abandoned: false,
});

/** A placement that this host, as the home, has granted or holds. */
export interface Placement {
  readonly placementId: string;
  readonly request: RequestDescription;
  /** Adapter version, as `adapterVersionKey` returns it. */
  readonly key: string;
  readonly ingress: HostId;
  readonly deadlineMs: number;
  readonly excluded: readonly ServerId[];
  readonly requestedMs: number;
  /** Undefined while the placement is held. */
  server: ServerId | undefined;
  grantedMs: number;
}

/** The last summary of a server that another host owns. */
export interface RemoteServer {
  readonly owner: HostId;
  readonly incarnation: Incarnation;
  readonly summary: ServerSummary;
  readonly receivedMs: number;
  /** Slot states by adapter version, merged from all summaries. */
  readonly slots: Map<string, 'ready' | 'loading'>;
}

/** State of the routing area: this host as ingress host and as home. */
export interface RoutingState {
  readonly settings: CoreSettings;
  readonly requests: Map<RequestId, IngressRequest>;
  readonly placements: Map<string, Placement>;
  /** Held placements by adapter version, in order of arrival. */
  readonly heldPlacements: Map<string, Placement[]>;
  /** Number of granted placements in progress, by server. */
  readonly inFlight: Map<ServerId, number>;
  readonly remoteServers: Map<ServerId, RemoteServer>;
  /** Monotonic time of the last request for summaries, by server. */
  readonly summaryRequestedMs: Map<ServerId, number>;
  /** Server of the last grant with a prompt prefix, by the prefix's digest. */
  readonly prefixServers: Map<string, ServerId>;
  /** Cached candidate servers by pool. */
  readonly candidates: Map<string, PoolCandidates>;
  readonly retryBudget: RetryBudget;
}

/** Creates the state of a process that has just started. */
export const createRoutingState = (
  settings: CoreSettings,
  _identity: CoreIdentity,
): RoutingState => ({
  settings,
  requests: new Map(),
  placements: new Map(),
  heldPlacements: new Map(),
  inFlight: new Map(),
  remoteServers: new Map(),
  summaryRequestedMs: new Map(),
  prefixServers: new Map(),
  candidates: new Map(),
  retryBudget: createRetryBudget(),
});
