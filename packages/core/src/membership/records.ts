import {elapsedMs, type Instant} from '../instant.js';
import type {CoreState} from '../state.js';
import type {StoreRespondedEvent} from '../store.js';
import type {Turn} from '../turn.js';
import {recordKey} from './selectors.js';
import type {MembershipState, RecordCopy} from './state.js';

/** Kind of the objects that hold the claims of a zone, one per zone. */
export const ZONE_RECORD_KIND = 'zone';

/** The object that identifies the configuration in force. */
export const CONFIGURATION_HEAD = {
  kind: 'configuration',
  name: 'head',
} as const;

/** Milliseconds after which a read fails. */
const READ_TIMEOUT_MS = 4_000;

/** Maximum concurrent reads of one object; reached when they are slow. */
const MAXIMUM_PENDING_READS_PER_RECORD = 4;

/**
 * Reads an object from the platform. The response omits an unchanged value.
 * Does nothing while too many reads of the object are in progress.
 */
export const readRecord = (
  {membership}: CoreState,
  kind: string,
  name: string,
  turn: Turn,
): void => {
  const copy = getOrCreateCopy(membership, kind, name);
  if (copy.pendingReads >= MAXIMUM_PENDING_READS_PER_RECORD) {
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

/** Handles the platform's response to a read of an object. */
export const handleReadResponse = (
  state: CoreState,
  {correlation, result, sentAt}: StoreRespondedEvent,
  turn: Turn,
): void => {
  const [kind = '', name = ''] = correlation.split('/');
  const copy = getOrCreateCopy(state.membership, kind, name);
  copy.pendingReads -= 1;
  if (result.type === 'found') {
    const {version, value} = result.object;
    applyRecord(state, {kind, name, version, value}, sentAt, turn);
  } else if (result.type === 'unchanged') {
    applyRecord(state, copy, sentAt, turn);
  } else if (result.type === 'missing') {
    const missing = {kind, name, version: 0, value: undefined};
    applyRecord(state, missing, sentAt, turn);
  } else if (isLater(sentAt, copy.failedAt)) {
    copy.failedAt = sentAt;
  }
};

/**
 * Applies the state of an object as it was at `readAt` or later. Versions below
 * the known one are ignored, so that a host never reverts to an older state.
 */
export const applyRecord = (
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
  const copy = getOrCreateCopy(membership, kind, name);
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

/** Returns the age of a copy in milliseconds; infinite before any read. */
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

const getOrCreateCopy = (
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
