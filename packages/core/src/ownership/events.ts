import type {AdapterVersion, ServerId} from '../identifiers.js';
import type {Instant} from '../instant.js';

/** Raised when this host may start to act as the owner of a server. */
export interface ServerAcquiredEvent {
  readonly type: 'server-acquired';
  readonly server: ServerId;
  readonly fencingNumber: number;
  /**
   * What the previous owner may still be using: `nothing` when it said so
   * itself or never existed, `unknown` when its requests may still run.
   */
  readonly inherited: 'nothing' | 'unknown';
  /**
   * Adapter versions that the previous owner named as still in use; empty
   * where it named none or `inherited` is `unknown`.
   */
  readonly inFlight: readonly AdapterVersion[];
}

/** Raised when this host must send nothing more to a server. */
export interface ServerLostEvent {
  readonly type: 'server-lost';
  readonly server: ServerId;
}

/** Raised when the belief who owns a server changed. */
export interface OwnerChangedEvent {
  readonly type: 'owner-changed';
  readonly server: ServerId;
}

/** The daemon saw that the process did not run between two instants. */
export interface ClockGapEvent {
  readonly type: 'clock-gap';
  readonly before: Instant;
  readonly gapMs: number;
}

export type OwnershipEvent =
  ServerAcquiredEvent | ServerLostEvent | OwnerChangedEvent | ClockGapEvent;
