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

export type ConfigurationEvent =
  ConfigurationAppliedEvent | SheetSubmittedEvent;
