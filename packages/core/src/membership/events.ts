import type {HostId, ServerId} from '../identifiers.js';
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

/** First event of a process; parts arm their timers on it. */
export interface StartedEvent {
  readonly type: 'started';
}

export type MembershipEvent =
  | HostListReadEvent
  | HostsChangedEvent
  | ServerDescribedEvent
  | ServerLeavingEvent
  | PeerReachabilityEvent
  | StopRequestedEvent
  | StartedEvent;
