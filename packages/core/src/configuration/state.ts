import type {AdapterId} from '../identifiers.js';
import type {Instant} from '../instant.js';
import type {CoreIdentity, CoreSettings} from '../settings.js';
import type {AdapterEntry} from './adapter-entry.js';
import type {SheetSubmittedEvent, SigningKeyCreatedEvent} from './events.js';
import {
  type ConfigurationHead,
  PART_COUNT,
  type RevisionSummary,
} from './head.js';
import type {ConfigurationUpdate} from './messages.js';
import type {PlannedHead} from './next-head.js';
import type {SheetRow} from './sheet.js';
import type {AdapterChange} from './sheet-result.js';

/** A head of the platform whose changed parts are being read. */
export interface Adoption {
  readonly head: ConfigurationHead;
  /** Entries of the parts that arrived, by part index. */
  readonly parts: Map<number, ReadonlyMap<AdapterId, AdapterEntry>>;
  /** Part indexes that have not arrived. */
  readonly missing: Set<number>;
}

/** A version of the head's object and what it says. */
export interface ParsedHead {
  readonly version: number;
  readonly head: ConfigurationHead | undefined;
}

/** Portions of a peer's difference that arrived so far. */
export interface IncomingUpdate {
  readonly summary: RevisionSummary;
  readonly fromRevision: number;
  readonly portions: Map<number, ConfigurationUpdate['entries']>;
}

/** What a submission changes. */
export type SubmittedChange =
  | {
      readonly kind: 'sheet';
      readonly event: SheetSubmittedEvent;
      readonly rows: readonly SheetRow[];
    }
  | {readonly kind: 'key'; readonly event: SigningKeyCreatedEvent};

/** A change on its way to the head. One is under way at a time. */
export interface Submission {
  readonly change: SubmittedChange;
  readonly nonce: string;
  readonly startedAt: Instant;
  stage: 'reading-head' | 'adopting' | 'writing-parts' | 'moving-head';
  /** Part names whose writes have no answer yet. */
  readonly pendingParts: Set<string>;
  /** What this change writes; undefined before it was decided. */
  planned: PlannedHead | undefined;
  changes: readonly AdapterChange[];
  /** Version of the head that the write replaces; zero creates it. */
  headVersion: number;
  /** Whether an attempt to move the head may have taken effect. */
  isUncertain: boolean;
  /** Correlation of the store call under way. */
  correlation: string;
}

/** State of the configuration area. */
export interface ConfigurationState {
  readonly settings: CoreSettings;
  readonly identity: CoreIdentity;
  /** Undefined before the first revision. */
  summary: RevisionSummary | undefined;
  readonly entries: Map<AdapterId, AdapterEntry>;
  /** The entries by the part that they belong to. */
  readonly parts: ReadonlyMap<AdapterId, AdapterEntry>[];
  /** Digests of the parts in their order. */
  readonly digests: string[];
  /** Adapters changed by each of the newest revisions known one by one. */
  readonly changedByRevision: Map<number, readonly AdapterId[]>;
  /** The platform's head as parsed last, by the version of its object. */
  parsedHead: ParsedHead | undefined;
  adoption: Adoption | undefined;
  incoming: IncomingUpdate | undefined;
  /** Whether a difference did not fit, so that all entries are needed. */
  needsWhole: boolean;
  readonly waitingChanges: SubmittedChange[];
  submission: Submission | undefined;
  firstKeyAskedAt: Instant | undefined;
  /** Counts ticks and store calls; makes correlations unique. */
  sequence: number;
}

/** Returns the state at the start of a process. */
export const createConfigurationState = (
  settings: CoreSettings,
  identity: CoreIdentity,
): ConfigurationState => ({
  settings,
  identity,
  summary: undefined,
  entries: new Map(),
  parts: Array.from({length: PART_COUNT}, () => new Map()),
  digests: Array.from({length: PART_COUNT}, () => ''),
  changedByRevision: new Map(),
  parsedHead: undefined,
  adoption: undefined,
  incoming: undefined,
  needsWhole: false,
  waitingChanges: [],
  submission: undefined,
  firstKeyAskedAt: undefined,
  sequence: 0,
});
