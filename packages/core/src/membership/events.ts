import type {HostId, ServerId} from '../identifiers.js';
import type {Instant} from '../instant.js';
import type {HostList} from '../server.js';

/** The daemon's answer to a `read-host-list` effect. */
export interface HostListReadEvent {
  readonly type: 'host-list-read';
  /** Undefined when the list could not be read. */
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

/** Raised when this host got news of an object that it keeps a copy of. */
export interface RecordReadEvent {
  readonly type: 'record-read';
  readonly kind: string;
  readonly name: string;
  /** Whether the version is new to this host. */
  readonly changed: boolean;
}

/**
 * Raised by the area that wrote such an object, or was told its current state
 * by a conflict.
 */
export interface RecordObservedEvent {
  readonly type: 'record-observed';
  readonly kind: string;
  readonly name: string;
  readonly version: number;
  readonly value: string | undefined;
  /** Start of the call that returned it. */
  readonly sentAt: Instant;
}

/** Raised by an area that needs an object's newest state at once. */
export interface RecordWantedEvent {
  readonly type: 'record-wanted';
  readonly kind: string;
  readonly name: string;
}

/** Raised by an area that must know whether a peer runs, and which run. */
export interface PeerWantedEvent {
  readonly type: 'peer-wanted';
  readonly host: HostId;
}

/** A peer did not answer, or answered again, as the daemon saw it. */
export interface PeerReachabilityEvent {
  readonly type: 'peer-reachability';
  readonly host: HostId;
  readonly reachable: boolean;
}

/** The process was asked to stop; begins the graceful shutdown. */
export interface StopRequestedEvent {
  readonly type: 'stop-requested';
}

/** An operator asked this host to hand over its work and go on running. */
export interface DrainRequestedEvent {
  readonly type: 'drain-requested';
  readonly operator: string;
}

/** Raised when this host began to leave, for a stop or a drain. */
export interface LeavingStartedEvent {
  readonly type: 'leaving-started';
}

/** Raised when this host, which leaves, has handed over its claims. */
export interface ClaimsHandedOverEvent {
  readonly type: 'claims-handed-over';
}

/** First event of a process; parts arm their timers on it. */
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
