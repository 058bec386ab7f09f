import type {CoreState} from '../state.js';
import {compareSheet} from './difference.js';
import type {SheetSubmittedEvent} from './events.js';
import type {ConfigurationHead, SigningKey} from './head.js';
import type {RevisionPlan} from './next-head.js';
import {replaceEntries} from './revision.js';
import type {SheetRow} from './sheet.js';
import type {AdapterChange, SheetResult} from './sheet-result.js';
import type {Submission} from './state.js';

/** Share of the adapters in force that a sheet retires without being asked. */
const MASS_RETIREMENT_SHARE = 0.1;

/** Retirements that no guard holds back. */
const FREE_RETIREMENTS = 5;

/**
 * Decides what a change makes of the head in force: a plan, or the result that
 * ends it.
 */
export const planChange = (
  state: CoreState,
  submission: Submission,
  head: ConfigurationHead | undefined,
): RevisionPlan | SheetResult => {
  const {change} = submission;
  return change.kind === 'key'
    ? planKey(submission, head)
    : planSheet(state, submission, change.event, change.rows, head);
};

/** Whether adapters were changed after a revision, as far as is known. */
export const haveAdaptersChanged = (
  head: ConfigurationHead | undefined,
  seenRevision: number,
): boolean => {
  const revision = head?.revision ?? 0;
  const notes = (head?.history ?? []).filter(
    (note) => note.revision > seenRevision,
  );
  return (
    seenRevision > revision ||
    notes.length < revision - seenRevision ||
    notes.some(({changeCount}) => changeCount > 0)
  );
};

const planKey = (
  {change, nonce, startedAt}: Submission,
  head: ConfigurationHead | undefined,
): RevisionPlan | SheetResult => {
  if (change.kind !== 'key') {
    return {kind: 'unchanged', revision: head?.revision ?? 0};
  }
  const {keyId, secretBase64, operator, submission} = change.event;
  // The first key, which hosts add by themselves, is added only once.
  if (submission === '' && (head?.keys.length ?? 0) > 0) {
    return {kind: 'unchanged', revision: head?.revision ?? 0};
  }
  const key: SigningKey = {
    id: keyId,
    secretBase64,
    createdWallMs: startedAt.wallMs,
  };
  return {operator, nonce, replaced: new Map(), changes: [], key};
};

const planSheet = (
  state: CoreState,
  {nonce}: Submission,
  event: SheetSubmittedEvent,
  rows: readonly SheetRow[],
  head: ConfigurationHead | undefined,
): RevisionPlan | SheetResult => {
  const revision = head?.revision ?? 0;
  const {expectedRevision, operator} = event;
  if (
    expectedRevision !== undefined &&
    haveAdaptersChanged(head, expectedRevision)
  ) {
    return conflictWith(head, expectedRevision);
  }
  const {entries, changes, retired, total} = compareSheet(
    state.configuration.entries,
    rows,
  );
  if (changes.length === 0) {
    return {kind: 'unchanged', revision};
  }
  if (event.dryRun) {
    return {kind: 'difference', revision, changes: [...changes]};
  }
  if (
    !event.allowMassRetirement &&
    retired > Math.max(FREE_RETIREMENTS, total * MASS_RETIREMENT_SHARE)
  ) {
    return {kind: 'mass-retirement', retired, total};
  }
  const replaced = replaceEntries(state.configuration, entries);
  return {operator, nonce, replaced, changes, key: undefined};
};

/** What others changed after the revision that an operator saw. */
export const conflictWith = (
  head: ConfigurationHead | undefined,
  seenRevision: number,
): SheetResult => {
  const notes = (head?.history ?? []).filter(
    ({revision}) => revision > seenRevision,
  );
  const byAdapter = new Map<string, AdapterChange>();
  for (const change of [...notes].reverse().flatMap(({changes}) => changes)) {
    byAdapter.set(change.adapter, change);
  }
  return {
    kind: 'conflict',
    revision: head?.revision ?? 0,
    changes: [...byAdapter.values()],
    operator: head?.operator ?? '',
  };
};
