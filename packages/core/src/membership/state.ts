import type {HostId, Incarnation} from '../identifiers.js';
import type {Instant} from '../instant.js';
import type {HostList} from '../server.js';
import type {CoreIdentity, CoreSettings} from '../settings.js';
import {deriveView, type MembershipView} from './view.js';

/** An object of the platform that every host keeps a copy of. */
export interface RecordCopy {
  readonly kind: string;
  readonly name: string;
  /** Zero when the object did not exist. */
  version: number;
  value: string | undefined;
  /** Start of the newest read, by whichever host made it. */
  readAt: Instant | undefined;
  /** Start of the newest read of this host's own that failed. */
  failedAt: Instant | undefined;
  /** Own reads under way. */
  pendingReads: number;
}

/** What is known of another entry host from its own messages. */
export interface PeerView {
  /** Incarnation that answered last; undefined before the first answer. */
  incarnation: Incarnation | undefined;
  heardAt: Instant | undefined;
  /** When this host asked for what the newest answer told. */
  answeredAskAt: Instant | undefined;
  /** When the first ask that remained without an answer was made. */
  silentSince: Instant | undefined;
}

/** An ask that waits for its answer. */
export interface PendingAsk {
  readonly to: HostId;
  readonly askedAt: Instant;
}

/** How far this host takes part in the deployment. */
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
  /** When this host's own read under way was asked for. */
  hostListAskedAt: Instant | undefined;
  /** Hosts that said that they leave. */
  readonly announcedLeaving: Set<HostId>;
  readonly records: Map<string, RecordCopy>;
  readonly peers: Map<HostId, PeerView>;
  readonly asks: Map<string, PendingAsk>;
  /** Counts asks and reads; makes correlations unique. */
  sequence: number;
  refreshes: number;
  /** When this host last read for itself what its reader relayed too late. */
  staleReadAt: Instant | undefined;
  claimsHandedOver: boolean;
  addressGraceOver: boolean;
}

/** Returns the state at the start of a process. */
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
    hostListAskedAt: undefined,
    announcedLeaving: new Set<HostId>(),
    records: new Map<string, RecordCopy>(),
    peers: new Map<HostId, PeerView>(),
    asks: new Map<string, PendingAsk>(),
    sequence: 0,
    refreshes: 0,
    staleReadAt: undefined,
    claimsHandedOver: false,
    addressGraceOver: false,
  };
  return {...initial, view: deriveView(initial)};
};
