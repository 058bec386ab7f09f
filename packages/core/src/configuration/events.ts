import type {HostId} from '../identifiers.js';

/** Raised when this host took a higher configuration revision. */
export interface ConfigurationAppliedEvent {
  readonly type: 'configuration-applied';
  readonly revision: number;
}

/** An operator's sheet reached this host's HTTP interface. */
export interface SheetSubmittedEvent {
  readonly type: 'sheet-submitted';
  /** Identifies the operator's request on this host. */
  readonly submission: string;
  readonly operator: string;
  /** CSV text as it came; all faults are reported with line numbers. */
  readonly text: string;
  /** Reports the difference and changes nothing. */
  readonly dryRun: boolean;
  /** Allows retirements above the guard's share. */
  readonly allowMassRetirement: boolean;
  /** Revision that the operator saw; a newer one is a conflict. */
  readonly expectedRevision: number | undefined;
}

/** An operator asks for a new key to sign resume tokens with. */
export interface KeyRotationSubmittedEvent {
  readonly type: 'key-rotation-submitted';
  /** Identifies the operator's request on this host. */
  readonly submission: string;
  readonly operator: string;
}

/** The daemon's answer to `create-signing-key`. */
export interface SigningKeyCreatedEvent {
  readonly type: 'signing-key-created';
  readonly submission: string;
  readonly operator: string;
  readonly keyId: string;
  readonly secretBase64: string;
}

/** Raised when a peer holds a higher revision than this host. */
export interface NewerRevisionFoundEvent {
  readonly type: 'newer-revision-found';
  readonly host: HostId;
}

export type ConfigurationEvent =
  | NewerRevisionFoundEvent
  | ConfigurationAppliedEvent
  | SheetSubmittedEvent
  | KeyRotationSubmittedEvent
  | SigningKeyCreatedEvent;
