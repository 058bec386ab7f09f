import type {HostId, Incarnation} from '../identifiers.js';
import type {Instant} from '../instant.js';
import type {HostList} from '../server.js';
import type {CoreIdentity, CoreSettings} from '../settings.js';
import {deriveView, type MembershipView} from './view.js';

/** This host's copy of an object of the platform that all hosts copy. */
export interface RecordCopy {
  readonly kind: string;
  readonly name: string;
  /** Zero if the object did not exist. */
  version: number;
  value: string | undefined;
  /** Start of the newest read, by whichever host made it. */
  readAt: Instant | undefined;
  /** Start of this host's newest read that failed. */
  failedAt: Instant | undefined;
  /** Number of this host's reads in progress. */
  pendingReads: number;
}

/** What this host knows of another entry host from its messages. */
export interface PeerState {
  /** Incarnation that answered last; undefined before the first answer. */
  incarnation: Incarnation | undefined;
  /** When the newest message from the peer arrived. */
  lastContactAt: Instant | undefined;
  /** When this host sent the query that the newest answer belongs to. */
  answeredQueryAt: Instant | undefined;
  /**
   * When this host sent the first query that timed out since the newest
   * message from the peer.
   */
  silentSince: Instant | undefined;
}

/** A query for platform state that awaits its answer. */
export interface PendingQuery {
  readonly to: HostId;
  readonly requestedAt: Instant;
}

/** Phase of this host's life in the deployment. */
export type Standing = 'serving' | 'draining' | 'stopping' | 'stopped';

/** State of the membership area. */
export interface MembershipState {
  readonly settings: CoreSettings;
  readonly identity: CoreIdentity;
  standing: Standing;
  ready: boolean | undefined;
  hostList: HostList | undefined;
  view: MembershipView;
  /** Start of the newest read of the host list, by whichever host. */
  hostListReadAt: Instant | undefined;
  /** When this host's read in progress was requested. */
  hostListRequestedAt: Instant | undefined;
  /** Hosts that announced that they leave. */
  readonly announcedLeaving: Set<HostId>;
  readonly records: Map<string, RecordCopy>;
  readonly peers: Map<HostId, PeerState>;
  readonly pendingQueries: Map<string, PendingQuery>;
  /** Number of queries and reads so far; makes their identifiers unique. */
  sequence: number;
  refreshCount: number;
  /** When a stale relayed record last made this host read the platform. */
  directReadAt: Instant | undefined;
  claimsHandedOver: boolean;
  addressGraceOver: boolean;
}

/** Returns the initial state of a process. */
export const createMembershipState = (
  settings: CoreSettings,
  identity: CoreIdentity,
): MembershipState => {
  const initial = {
    settings,
    identity,
    standing: 'serving' as Standing,
    ready: undefined,
    hostList: undefined,
    hostListReadAt: undefined,
    hostListRequestedAt: undefined,
    announcedLeaving: new Set<HostId>(),
    records: new Map<string, RecordCopy>(),
    peers: new Map<HostId, PeerState>(),
    pendingQueries: new Map<string, PendingQuery>(),
    sequence: 0,
    refreshCount: 0,
    directReadAt: undefined,
    claimsHandedOver: false,
    addressGraceOver: false,
  };
  return {...initial, view: deriveView(initial)};
};
