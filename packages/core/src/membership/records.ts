import {elapsedMs, type Instant} from '../instant.js';
import type {CoreState} from '../state.js';
import type {StoreRespondedEvent} from '../store.js';
import type {Turn} from '../turn.js';
import {recordKey} from './selectors.js';
import type {MembershipState, RecordCopy} from './state.js';

/** Kind of the objects that hold the claims of one zone each. */
export const ZONE_RECORD_KIND = 'zone';

/** The object that says which configuration is in force. */
export const CONFIGURATION_HEAD = {
  kind: 'configuration',
  name: 'head',
} as const;

/** Milliseconds after which a read counts as failed. */
const READ_TIMEOUT_MS = 4_000;

/** Reads of one object that may be under way at once when it is slow. */
const MAXIMUM_PENDING_READS = 4;

/** Reads an object from the platform, without its value when unchanged. */
export const readRecord = (
  {membership}: CoreState,
  kind: string,
  name: string,
  turn: Turn,
): void => {
  const copy = copyOf(membership, kind, name);
  if (copy.pendingReads >= MAXIMUM_PENDING_READS) {
    return;
  }
  copy.pendingReads += 1;
  membership.sequence += 1;
  turn.perform({
    type: 'store-request',
    area: 'membership',
    correlation: `${kind}/${name}/${membership.sequence}`,
    operation:
      copy.version === 0
        ? {type: 'get', kind, name}
        : {type: 'watch', kind, name, newerThan: copy.version, waitMs: 0},
    timeoutMs: READ_TIMEOUT_MS,
  });
};

/** Handles the platform's answer to a read of an object. */
export const recordReadAnswered = (
  state: CoreState,
  {correlation, result, sentAt}: StoreRespondedEvent,
  turn: Turn,
): void => {
  const [kind = '', name = ''] = correlation.split('/');
  const copy = copyOf(state.membership, kind, name);
  copy.pendingReads -= 1;
  if (result.type === 'found') {
    const {version, value} = result.object;
    takeRecord(state, {kind, name, version, value}, sentAt, turn);
  } else if (result.type === 'unchanged') {
    takeRecord(state, copy, sentAt, turn);
  } else if (result.type === 'missing') {
    const missing = {kind, name, version: 0, value: undefined};
    takeRecord(state, missing, sentAt, turn);
  } else if (isLater(sentAt, copy.failedAt)) {
    copy.failedAt = sentAt;
  }
};

/**
 * Takes the state of an object as it was at `readAt` or later. Versions below
 * the known one are ignored, so that no host goes back.
 */
export const takeRecord = (
  {membership}: CoreState,
  {
    kind,
    name,
    version,
    value,
  }: Pick<RecordCopy, 'kind' | 'name' | 'version' | 'value'>,
  readAt: Instant,
  turn: Turn,
): void => {
  const copy = copyOf(membership, kind, name);
  if (version < copy.version) {
    return;
  }
  const changed = version > copy.version;
  copy.version = version;
  copy.value = value;
  if (isLater(readAt, copy.readAt)) {
    copy.readAt = readAt;
  }
  turn.raise({type: 'record-read', kind, name, changed});
};

/** Age of a copy in milliseconds; infinite before the first read. */
export const copyAgeMs = (
  {membership}: CoreState,
  kind: string,
  name: string,
  at: Instant,
): number => {
  const readAt = membership.records.get(recordKey(kind, name))?.readAt;
  return readAt === undefined
    ? Number.POSITIVE_INFINITY
    : elapsedMs(readAt, at);
};

const copyOf = (
  {records}: MembershipState,
  kind: string,
  name: string,
): RecordCopy => {
  const key = recordKey(kind, name);
  let copy = records.get(key);
  if (copy === undefined) {
    copy = {
      kind,
      name,
      version: 0,
      value: undefined,
      readAt: undefined,
      failedAt: undefined,
      pendingReads: 0,
    };
    records.set(key, copy);
  }
  return copy;
};

const isLater = (instant: Instant, known: Instant | undefined): boolean =>
  known === undefined || instant.monotonicMs > known.monotonicMs;
