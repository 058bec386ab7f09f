import type {SheetResult} from './sheet-result.js';

/** Answers an operator's `sheet-submitted`. */
export interface SheetResultEffect {
  readonly type: 'sheet-result';
  readonly submission: string;
  readonly result: SheetResult;
}

export type ConfigurationEffect = SheetResultEffect;
