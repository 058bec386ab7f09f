import type {SheetResult} from './sheet-result.js';

/** Answers an operator's `sheet-submitted`. */
export interface SheetResultEffect {
  readonly type: 'sheet-result';
  readonly submission: string;
  readonly result: SheetResult;
}

/**
 * Asks the daemon for a random signing key of 32 bytes. Ends with
 * `signing-key-created`.
 */
export interface CreateSigningKeyEffect {
  readonly type: 'create-signing-key';
  readonly submission: string;
  readonly operator: string;
}

/** Answers an operator's `key-rotation-submitted`. */
export interface KeyRotationResultEffect {
  readonly type: 'key-rotation-result';
  readonly submission: string;
  readonly result: SheetResult;
}

export type ConfigurationEffect =
  SheetResultEffect | CreateSigningKeyEffect | KeyRotationResultEffect;
