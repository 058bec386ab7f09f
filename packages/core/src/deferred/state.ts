import type {RequestId} from '../identifiers.js';
import type {Instant} from '../instant.js';
import {ShardSweep} from '../lib/shard-sweep.js';
import {StoreCalls} from '../lib/store-calls.js';
import type {RequestDescription} from '../request.js';
import type {CoreIdentity, CoreSettings} from '../settings.js';
import type {WorkQueriedEvent} from './events.js';
import type {PartReference, ResultRecord, StoredText} from './work-record.js';
import {RESULT_KIND, WORK_KIND} from './work-record.js';

/** One write of a sequence; each is safe to repeat. */
export type WriteStep =
  | {readonly kind: 'create-work'; readonly state: 'storing' | 'accepted'}
  | {readonly kind: 'accept-work'}
  | {
      readonly kind: 'create-part';
      readonly name: string;
      readonly value: string;
    }
  | {readonly kind: 'create-result'; readonly result: ResultRecord}
  | {readonly kind: 'delete-work'}
  | {readonly kind: 'delete-part'; readonly part: PartReference};

/**
 * - `storing`: not accepted yet.
 * - `queued`: stored, waits for a free position of this host or a retry.
 * - `reading`: its body is being read.
 * - `running`: submitted as a model request.
 * - `finishing`: its result is being stored.
 */
export type WorkPhase =
  'storing' | 'queued' | 'reading' | 'running' | 'finishing';

/** A piece of work that this host runs. */
export interface WorkEntry {
  readonly name: string;
  readonly request: RequestDescription;
  /** When this host took it, and how long it may take from then. */
  readonly takenAt: Instant;
  readonly limitMs: number;
  readonly epoch: number;
  phase: WorkPhase;
  /** Undefined where it has to be read again before the work can run. */
  body: string | undefined;
  readonly bodyBytes: number;
  storedBody: StoredText;
  /** Version of the work object, once it is known. */
  version: number | undefined;
  /** Writes that are left, the first of them in progress. */
  steps: WriteStep[];
  /** Parts written by the current sequence. */
  writtenParts: PartReference[];
  /** Whether the submitter has its answer. */
  answered: boolean;
  /** Whether a write of this sequence may have taken effect unseen. */
  ambiguous: boolean;
  failures: number;
  /** Whether it waits for a retry before it may run. */
  delayed: boolean;
}

/** A text whose parts are being read. */
export interface TextRead {
  readonly parts: readonly PartReference[];
  readonly values: string[];
}

/** What the answer of a store call is for. */
export type DeferredPurpose =
  | {readonly kind: 'step'; readonly name: string}
  | {readonly kind: 'adopt-read'; readonly name: string}
  | {
      readonly kind: 'adopt-write';
      readonly name: string;
      readonly entry: WorkEntry;
    }
  | {readonly kind: 'body-part'; readonly name: string; readonly read: TextRead}
  | {
      readonly kind: 'query-result';
      readonly query: WorkQueriedEvent;
      readonly isLast: boolean;
    }
  | {readonly kind: 'query-work'; readonly query: WorkQueriedEvent}
  | {
      readonly kind: 'query-part';
      readonly query: WorkQueriedEvent;
      readonly read: TextRead;
    }
  | {readonly kind: 'scan-list'}
  | {readonly kind: 'clean-up-list'}
  | {readonly kind: 'clean-up-write'};

/** Pieces of work that one host holds at once. */
export const MAXIMUM_ENTRIES = 5_000;

const SCAN_PAGE = 20;
const CLEAN_UP_PAGE = 20;

/** State of the deferred area. */
export interface DeferredState {
  readonly settings: CoreSettings;
  /** Work that this host runs, by the name of its object. */
  readonly entries: Map<string, WorkEntry>;
  readonly names: Map<RequestId, string>;
  /** Names that are being taken over. */
  readonly adopting: Set<string>;
  readonly store: StoreCalls<DeferredPurpose>;
  /** Passes over unfinished work, for what a lost host has left. */
  readonly scan: ShardSweep;
  /** Passes over results, for those whose retention has ended. */
  readonly cleanUp: ShardSweep;
  running: number;
  /** Bytes of the bodies of the running work. */
  runningBytes: number;
  sequence: number;
}

/** Returns the state at the start of a process. */
export const createDeferredState = (
  settings: CoreSettings,
  identity: CoreIdentity,
): DeferredState => ({
  settings,
  entries: new Map(),
  names: new Map(),
  adopting: new Set(),
  store: new StoreCalls('deferred'),
  scan: new ShardSweep(WORK_KIND, SCAN_PAGE, identity.seed),
  cleanUp: new ShardSweep(RESULT_KIND, CLEAN_UP_PAGE, identity.seed),
  running: 0,
  runningBytes: 0,
  sequence: 0,
});
