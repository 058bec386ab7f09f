import type {HostId, ServerId} from '../identifiers.js';
import type {Instant} from '../instant.js';
import type {HostList} from '../server.js';

/** Result of a `read-host-list` effect. */
export interface HostListReadEvent {
  readonly type: 'host-list-read';
  /** Undefined if the list could not be read. */
  readonly hostList: HostList | undefined;
}

/** Raised when the set of live entry hosts changed. */
export interface HostsChangedEvent {
  readonly type: 'hosts-changed';
}

/** Raised when a server appeared or its description changed. */
export interface ServerDescribedEvent {
  readonly type: 'server-described';
  readonly server: ServerId;
}

/** Raised when the host list marks a server as leaving or omits it. */
export interface ServerLeavingEvent {
  readonly type: 'server-leaving';
  readonly server: ServerId;
}

/** Raised when this host updated or confirmed its copy of an object. */
export interface RecordReadEvent {
  readonly type: 'record-read';
  readonly kind: string;
  readonly name: string;
  /** Whether the version is new to this host. */
  readonly changed: boolean;
}

/**
 * Raised by the area that wrote such an object, or that a conflict showed its
 * current state.
 */
export interface RecordObservedEvent {
  readonly type: 'record-observed';
  readonly kind: string;
  readonly name: string;
  readonly version: number;
  readonly value: string | undefined;
  /** Start of the call that returned this state. */
  readonly sentAt: Instant;
}

/** Raised by an area that needs an object's newest state immediately. */
export interface RecordWantedEvent {
  readonly type: 'record-wanted';
  readonly kind: string;
  readonly name: string;
}

/** Raised by an area that needs to know if a peer runs, and its incarnation. */
export interface PeerWantedEvent {
  readonly type: 'peer-wanted';
  readonly host: HostId;
}

/** The daemon found a peer to be unreachable, or reachable again. */
export interface PeerReachabilityEvent {
  readonly type: 'peer-reachability';
  readonly host: HostId;
  readonly reachable: boolean;
}

/** Requests a graceful shutdown of the process. */
export interface StopRequestedEvent {
  readonly type: 'stop-requested';
}

/** An operator's request to hand over this host's work and keep it running. */
export interface DrainRequestedEvent {
  readonly type: 'drain-requested';
  readonly operator: string;
}

/** Raised when this host starts to leave, for a stop or a drain. */
export interface LeavingStartedEvent {
  readonly type: 'leaving-started';
}

/** Raised when this host, while leaving, has handed over its claims. */
export interface ClaimsHandedOverEvent {
  readonly type: 'claims-handed-over';
}

/** First event of a process; areas set their first timers on it. */
export interface StartedEvent {
  readonly type: 'started';
}

export type MembershipEvent =
  | HostListReadEvent
  | HostsChangedEvent
  | ServerDescribedEvent
  | ServerLeavingEvent
  | RecordReadEvent
  | RecordObservedEvent
  | RecordWantedEvent
  | PeerWantedEvent
  | PeerReachabilityEvent
  | StopRequestedEvent
  | DrainRequestedEvent
  | LeavingStartedEvent
  | ClaimsHandedOverEvent
  | StartedEvent;
