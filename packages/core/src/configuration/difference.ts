import type {AdapterId, Version} from '../identifiers.js';
import type {AdapterEntry} from './adapter-entry.js';
import type {SheetRow} from './sheet.js';
import type {AdapterChange} from './sheet-result.js';

/** What a sheet changes against the configuration in force. */
export interface SheetDifference {
  /** New states of exactly the entries that change. */
  readonly entries: readonly AdapterEntry[];
  readonly changes: readonly AdapterChange[];
  /** Adapters in force that the sheet retires, by a row or by omission. */
  readonly retired: number;
  /** Adapters in force before. */
  readonly total: number;
}

/** Earlier versions of an adapter that requests may still name. */
const MAXIMUM_PREVIOUS_VERSIONS = 4;

/**
 * Compares a whole sheet with the entries in force. An adapter that the sheet
 * omits is retired.
 */
export const compareSheet = (
  entries: ReadonlyMap<AdapterId, AdapterEntry>,
  rows: readonly SheetRow[],
): SheetDifference => {
  const changed: AdapterEntry[] = [];
  const changes: AdapterChange[] = [];
  const listed = new Set(rows.map(({adapter}) => adapter));
  for (const row of rows) {
    const before = entries.get(row.adapter);
    const after = toEntry(row, before);
    if (before === undefined || !isSameEntry(before, after)) {
      changed.push(after);
      changes.push(toChange(before, after));
    }
  }
  for (const before of entries.values()) {
    if (!listed.has(before.adapter) && !before.retired) {
      const after = {...before, retired: true};
      changed.push(after);
      changes.push(toChange(before, after));
    }
  }
  return {
    entries: changed,
    changes,
    retired: changes.filter(({change}) => change === 'retired').length,
    total: [...entries.values()].filter(({retired}) => !retired).length,
  };
};

/** Whether two entries say the same. */
export const isSameEntry = (
  first: AdapterEntry,
  second: AdapterEntry,
): boolean => JSON.stringify(first) === JSON.stringify(second);

const toEntry = (
  row: SheetRow,
  before: AdapterEntry | undefined,
): AdapterEntry => ({
  adapter: row.adapter,
  baseModel: row.baseModel,
  version: row.version,
  previousVersions: previousVersions(row.version, before),
  priorityClass: row.priorityClass,
  urgency: row.urgency,
  pool: row.pool,
  retired: row.retired,
});

const previousVersions = (
  version: Version,
  before: AdapterEntry | undefined,
): Version[] => {
  if (before === undefined) {
    return [];
  }
  if (before.version === version) {
    return before.previousVersions;
  }
  return [before.version, ...before.previousVersions]
    .filter((previous) => previous !== version)
    .slice(0, MAXIMUM_PREVIOUS_VERSIONS);
};

const toChange = (
  before: AdapterEntry | undefined,
  after: AdapterEntry,
): AdapterChange => {
  const {adapter, version} = after;
  if (before === undefined) {
    return {adapter, change: 'added', toVersion: version};
  }
  return {
    adapter,
    change: after.retired && !before.retired ? 'retired' : 'changed',
    fromVersion: before.version,
    toVersion: version,
  };
};
