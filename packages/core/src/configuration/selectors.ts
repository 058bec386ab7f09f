import type {AdapterId, Version} from '../identifiers.js';
import type {CoreState} from '../state.js';
import type {AdapterEntry} from './adapter-entry.js';

/** The entry of an adapter in the configuration in force. */
export const adapterEntry = (
  _state: CoreState,
  _adapter: AdapterId,
): AdapterEntry | undefined => undefined;

/** Result of resolving the model that a request names. */
export type ModelResolution =
  | {
      readonly kind: 'resolved';
      readonly entry: AdapterEntry;
      readonly version: Version;
    }
  | {
      readonly kind: 'unresolved';
      readonly code: 'unknown-adapter' | 'unknown-version' | 'retired-adapter';
    };

/** Resolves `adapter@version`, or `adapter` for the version in force. */
export const resolveModel = (
  _state: CoreState,
  _model: string,
): ModelResolution => ({kind: 'unresolved', code: 'unknown-adapter'});

/** Revision of the configuration in force; zero before the first. */
export const configurationRevision = (_state: CoreState): number => 0;
