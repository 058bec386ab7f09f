import type {HostId, Incarnation, RequestId, ServerId} from '../identifiers.js';
import type {ServerSummary} from '../residency/messages.js';
import type {RequestDescription} from '../request.js';
import type {CoreIdentity, CoreSettings} from '../settings.js';
import type {PoolCandidates} from './candidates.js';
import type {RetryBudget} from './retry-budget.js';
import {createRetryBudget} from './retry-budget.js';

/** A request at its ingress host, from its arrival to its end. */
export interface IngressRequest {
  readonly request: RequestDescription;
  readonly deadlineMs: number;
  /** `resuming` waits before an interrupted answer is continued. */
  state: 'placing' | 'attempting' | 'resuming';
  /** Counts placements, for their identities. */
  placements: number;
  /** Times that the home was asked for the current placement. */
  asked: number;
  placementId: string;
  attemptId: string;
  server: ServerId | undefined;
  /** Servers that refused this request. */
  readonly excluded: ServerId[];
  resumes: number;
  deliveredBytes: number;
  /** Whether the caller went away. */
  abandoned: boolean;
}

/** Returns the state of a request at its arrival. */
export const createIngressRequest = (
  request: RequestDescription,
  deadlineMs: number,
): IngressRequest => ({
  request,
  deadlineMs,
  state: 'placing',
  placements: 0,
  asked: 0,
  placementId: '',
  attemptId: '',
  server: undefined,
  excluded: [],
  resumes: 0,
  deliveredBytes: 0,
  abandoned: false,
});

/** A placement that this host, as the home, granted or holds. */
export interface Placement {
  readonly placementId: string;
  readonly request: RequestDescription;
  readonly key: string;
  readonly ingress: HostId;
  readonly deadlineMs: number;
  readonly excluded: readonly ServerId[];
  readonly askedMs: number;
  /** Undefined while the placement is held. */
  server: ServerId | undefined;
  grantedMs: number;
}

/** What this host, as a home, was told of a server of another owner. */
export interface KnownServer {
  readonly owner: HostId;
  readonly incarnation: Incarnation;
  readonly summary: ServerSummary;
  readonly receivedMs: number;
  /** Slots by adapter version, kept over summaries. */
  readonly slots: Map<string, 'ready' | 'loading'>;
}

/** State of the routing area: this host as ingress and as home. */
export interface RoutingState {
  readonly settings: CoreSettings;
  readonly requests: Map<RequestId, IngressRequest>;
  readonly placements: Map<string, Placement>;
  /** Held placements by adapter version, earliest first. */
  readonly held: Map<string, Placement[]>;
  /** Granted placements in progress, by server. */
  readonly inFlight: Map<ServerId, number>;
  readonly knownServers: Map<ServerId, KnownServer>;
  /** Monotonic time at which summaries of a server were last asked for. */
  readonly summaryAskedMs: Map<ServerId, number>;
  /** Server that last had a prompt prefix in its cache, by its digest. */
  readonly prefixServers: Map<string, ServerId>;
  readonly candidates: Map<string, PoolCandidates>;
  readonly retryBudget: RetryBudget;
}

/** Returns the state at the start of a process. */
export const createRoutingState = (
  settings: CoreSettings,
  _identity: CoreIdentity,
): RoutingState => ({
  settings,
  requests: new Map(),
  placements: new Map(),
  held: new Map(),
  inFlight: new Map(),
  knownServers: new Map(),
  summaryAskedMs: new Map(),
  prefixServers: new Map(),
  candidates: new Map(),
  retryBudget: createRetryBudget(),
});
