import type {Instant} from '../instant.js';
import type {CoreState} from '../state.js';
import {
  type ConfigurationHead,
  digestOfPartName,
  digestOfParts,
  partName,
  partText,
  type RevisionNote,
  type SigningKey,
} from './head.js';
import {digestsAfter, type ReplacedParts} from './revision.js';
import type {AdapterChange} from './sheet-result.js';

/** Revisions that the head's history names. */
const HISTORY_LENGTH = 16;

/** Changes that a note in the history names. */
const CHANGES_PER_NOTE = 50;

/** Signing keys that are kept; a token is good while its key is. */
const MAXIMUM_KEYS = 3;

/** What a new revision is made of. */
export interface RevisionPlan {
  readonly operator: string;
  readonly nonce: string;
  readonly replaced: ReplacedParts;
  readonly changes: readonly AdapterChange[];
  /** A new signing key, if the revision adds one. */
  readonly key: SigningKey | undefined;
}

/** A head that is not written yet and the parts that it needs. */
export interface PlannedHead {
  readonly head: ConfigurationHead;
  readonly replaced: ReplacedParts;
  /** Texts of the new parts by their names. */
  readonly newParts: ReadonlyMap<string, string>;
}

/** Builds the head that follows the current one. */
export const planHead = (
  {configuration}: CoreState,
  current: ConfigurationHead | undefined,
  {operator, nonce, replaced, changes, key}: RevisionPlan,
): PlannedHead => {
  const revision = (current?.revision ?? 0) + 1;
  const digests = digestsAfter(configuration, replaced);
  const newParts = new Map<string, string>();
  const replacedParts: string[] = [];
  const parts = digests.map((digest, index) => {
    const before = current?.parts[index] ?? '';
    if (digestOfPartName(before) === digest) {
      return before;
    }
    if (before !== '') {
      replacedParts.push(before);
    }
    const name = partName(digest, revision);
    const part = replaced.get(index);
    if (name !== '' && part !== undefined) {
      newParts.set(name, partText(part.values()));
    }
    return name;
  });
  const note: RevisionNote = {
    revision,
    nonce,
    operator,
    changes: changes.slice(0, CHANGES_PER_NOTE),
    changeCount: changes.length,
    replacedParts,
  };
  const keys = current?.keys ?? [];
  const head = {
    revision,
    nonce,
    operator,
    digest: digestOfParts(digests),
    keys: (key === undefined ? keys : [key, ...keys]).slice(0, MAXIMUM_KEYS),
    parts,
    history: [note, ...(current?.history ?? [])].slice(0, HISTORY_LENGTH),
  };
  return {head, replaced, newParts};
};

/** Names of parts that no revision of the history refers to any more. */
export const forgottenParts = (
  before: ConfigurationHead | undefined,
  after: ConfigurationHead,
): readonly string[] => {
  const kept = new Set(after.history.map(({revision}) => revision));
  const inUse = new Set(after.parts);
  return (before?.history ?? [])
    .filter(({revision}) => !kept.has(revision))
    .flatMap(({replacedParts}) => replacedParts)
    .filter((name) => !inUse.has(name));
};

/** The calendar day in UTC, as `YYYY-MM-DD`. */
export const dayOf = ({wallMs}: Instant): string =>
  new Date(wallMs).toISOString().slice(0, 10);
