import type {AdapterId, Version} from '../identifiers.js';
import type {CoreState} from '../state.js';
import type {AdapterEntry} from './adapter-entry.js';
import type {SigningKey} from './head.js';

/** The entry of an adapter in the configuration in force. */
export const adapterEntry = (
  {configuration}: CoreState,
  adapter: AdapterId,
): AdapterEntry | undefined => configuration.entries.get(adapter);

/** All entries of the configuration in force, retired ones included. */
export const adapterEntries = ({
  configuration,
}: CoreState): Iterable<AdapterEntry> => configuration.entries.values();

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
  state: CoreState,
  model: string,
): ModelResolution => {
  const separator = model.indexOf('@');
  const adapter = separator < 0 ? model : model.slice(0, separator);
  const entry = adapterEntry(state, adapter);
  if (entry === undefined) {
    return {kind: 'unresolved', code: 'unknown-adapter'};
  }
  if (entry.retired) {
    return {kind: 'unresolved', code: 'retired-adapter'};
  }
  const version = separator < 0 ? entry.version : model.slice(separator + 1);
  return version === entry.version || entry.previousVersions.includes(version)
    ? {kind: 'resolved', entry, version}
    : {kind: 'unresolved', code: 'unknown-version'};
};

/** Revision of the configuration in force; zero before the first. */
export const configurationRevision = ({configuration}: CoreState): number =>
  configuration.summary?.revision ?? 0;

/** Keys that sign resume tokens, newest first; all of them verify. */
export const keyRing = ({configuration}: CoreState): readonly SigningKey[] =>
  configuration.summary?.keys ?? [];
