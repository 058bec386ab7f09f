import type {
  AdapterVersion,
  HostId,
  Incarnation,
  ServerId,
  ZoneId,
} from '../identifiers.js';
import type {Instant} from '../instant.js';
import type {CoreIdentity, CoreSettings} from '../settings.js';
import type {ZoneRecord} from './zone-record.js';

/** How far this host has come with a claim that it holds. */
export type HoldingPhase =
  /** The previous owner's validity must pass first. */
  | {readonly kind: 'waiting'; readonly since: Instant}
  /** The previous owner stopped; its list of requests may still come. */
  | {readonly kind: 'inheriting'; readonly since: Instant}
  | {readonly kind: 'active'}
  /** Stopped by itself for a write that gives the claim away. */
  | {
      readonly kind: 'yielding';
      readonly inFlight: readonly AdapterVersion[];
    };

/** A claim of this host's incarnation. */
export interface Holding {
  readonly server: ServerId;
  readonly zone: ZoneId;
  readonly fencingNumber: number;
  phase: HoldingPhase;
  /** Since when the host list has not named the server. */
  unlistedSince: Instant | undefined;
}

/** The newest known record of a zone. */
export interface ZoneView {
  readonly version: number;
  readonly record: ZoneRecord;
}

/** A conditional update of a zone's record without its answer yet. */
export interface PendingWrite {
  /** Of the attempt under way; undefined between two attempts. */
  correlation: string | undefined;
  readonly expectedVersion: number;
  readonly value: string;
  /** Whether an earlier attempt may have taken effect or still may. */
  isUncertain: boolean;
  /** Servers that this host gives away with it. */
  readonly yielded: readonly ServerId[];
}

/** An offer of a server to a peer. */
export interface Offer {
  readonly to: HostId;
  readonly offeredAt: Instant;
  /** Incarnation that accepted it. */
  acceptedBy: Incarnation | undefined;
}

/** What a previous owner said that its requests still use. */
export interface InheritedList {
  readonly fencingNumber: number;
  readonly inFlight: readonly AdapterVersion[];
}

/** State of the ownership area. */
export interface OwnershipState {
  readonly settings: CoreSettings;
  readonly identity: CoreIdentity;
  readonly zones: Map<ZoneId, ZoneView>;
  readonly owners: Map<ServerId, HostId>;
  readonly holdings: Map<ServerId, Holding>;
  readonly writes: Map<ZoneId, PendingWrite>;
  readonly offers: Map<ServerId, Offer>;
  readonly inheritedLists: Map<ServerId, InheritedList>;
  /** What stands in for reads of a zone's record during an outage. */
  readonly outageProofs: Map<ZoneId, Instant>;
  /** Since when the platform answers; restarts after each outage. */
  answeringSince: Instant | undefined;
  lastMoveAt: Instant | undefined;
  /** Counts reviews and writes; makes correlations unique. */
  sequence: number;
}

/** Returns the state at the start of a process. */
export const createOwnershipState = (
  settings: CoreSettings,
  identity: CoreIdentity,
): OwnershipState => ({
  settings,
  identity,
  zones: new Map(),
  owners: new Map(),
  holdings: new Map(),
  writes: new Map(),
  offers: new Map(),
  inheritedLists: new Map(),
  outageProofs: new Map(),
  answeringSince: undefined,
  lastMoveAt: undefined,
  sequence: 0,
});
