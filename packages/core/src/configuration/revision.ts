import type {AdapterId} from '../identifiers.js';
import type {CoreState} from '../state.js';
import type {Turn} from '../turn.js';
import type {AdapterEntry} from './adapter-entry.js';
import {isSameEntry} from './difference.js';
import {
  digestOfParts,
  partDigest,
  partIndexOf,
  type RevisionSummary,
} from './head.js';
import type {ConfigurationState} from './state.js';

/** Whole parts that replace those in force. */
export type ReplacedParts = ReadonlyMap<
  number,
  ReadonlyMap<AdapterId, AdapterEntry>
>;

/** Revisions of which a host can still tell the difference. */
const MAXIMUM_REMEMBERED_REVISIONS = 64;

/** Returns the parts as they are with the entries changed. */
export const replaceEntries = (
  {parts}: Pick<ConfigurationState, 'parts'>,
  entries: readonly AdapterEntry[],
): ReplacedParts => {
  const replaced = new Map<number, Map<AdapterId, AdapterEntry>>();
  for (const entry of entries) {
    const index = partIndexOf(entry.adapter);
    let part = replaced.get(index);
    if (part === undefined) {
      part = new Map(parts[index]);
      replaced.set(index, part);
    }
    part.set(entry.adapter, entry);
  }
  return replaced;
};

/** Returns the digests of all parts after the replacement. */
export const digestsAfter = (
  {digests}: Pick<ConfigurationState, 'digests'>,
  replaced: ReplacedParts,
): readonly string[] =>
  digests.map((digest, index) => {
    const part = replaced.get(index);
    return part === undefined ? digest : partDigest(part);
  });

/**
 * Puts a revision in force on this host. Does nothing unless it is higher than
 * the one in force and the parts have the digest that it names.
 *
 * @returns whether the revision is in force now.
 */
export const applyRevision = (
  state: CoreState,
  summary: RevisionSummary,
  replaced: ReplacedParts,
  turn: Turn,
): boolean => {
  const {configuration} = state;
  const current = configuration.summary?.revision ?? 0;
  if (summary.revision <= current) {
    return false;
  }
  const digests = digestsAfter(configuration, replaced);
  if (digestOfParts(digests) !== summary.digest) {
    return false;
  }
  const changed = replaceParts(configuration, replaced, digests);
  remember(configuration, current, summary.revision, changed);
  configuration.summary = summary;
  configuration.needsWhole = false;
  turn.raise({type: 'configuration-applied', revision: summary.revision});
  turn.perform({
    type: 'observe-metric',
    metric: 'configuration_revision',
    value: summary.revision,
    labels: {},
  });
  return true;
};

const replaceParts = (
  configuration: ConfigurationState,
  replaced: ReplacedParts,
  digests: readonly string[],
): readonly AdapterId[] => {
  const {entries, parts} = configuration;
  const changed: AdapterId[] = [];
  for (const [index, part] of replaced) {
    for (const adapter of parts[index]?.keys() ?? []) {
      if (!part.has(adapter)) {
        entries.delete(adapter);
        changed.push(adapter);
      }
    }
    for (const [adapter, entry] of part) {
      const before = entries.get(adapter);
      if (before === undefined || !isSameEntry(before, entry)) {
        entries.set(adapter, entry);
        changed.push(adapter);
      }
    }
    parts[index] = part;
    configuration.digests[index] = digests[index] ?? '';
  }
  return changed;
};

/** Differences are told from any remembered revision to the newest. */
const remember = (
  {changedByRevision}: ConfigurationState,
  from: number,
  to: number,
  changed: readonly AdapterId[],
): void => {
  if (from === 0) {
    changedByRevision.clear();
    return;
  }
  // Revisions that this host skipped are covered by the one that it took.
  for (let revision = from + 1; revision < to; revision += 1) {
    changedByRevision.set(revision, []);
  }
  changedByRevision.set(to, changed);
  for (const revision of changedByRevision.keys()) {
    if (revision <= to - MAXIMUM_REMEMBERED_REVISIONS) {
      changedByRevision.delete(revision);
    }
  }
};
