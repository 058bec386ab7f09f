import type {ServerId, ZoneId} from '../identifiers.js';
import {ZONE_RECORD_KIND} from '../membership/records.js';
import type {CoreState} from '../state.js';
import type {StoreRespondedEvent} from '../store.js';
import type {Turn} from '../turn.js';
import {resumeHolding} from './claims.js';
import type {PendingWrite} from './state.js';
import {
  type ClaimProposal,
  EMPTY_ZONE_RECORD,
  withClaims,
} from './zone-record.js';

/** Milliseconds after which a write's answer counts as lost. */
const WRITE_TIMEOUT_MS = 3_000;

/** What a conditional update of a zone's record changes. */
export interface RecordChange {
  readonly proposals: readonly ClaimProposal[];
  readonly dropped: readonly ServerId[];
  /** Servers that this host gives away; it has stopped to act on them. */
  readonly yielded: readonly ServerId[];
}

/** Writes a zone's record if it is still the one that this host knows. */
export const writeRecord = (
  state: CoreState,
  zone: ZoneId,
  {proposals, dropped, yielded}: RecordChange,
  turn: Turn,
): void => {
  const view = state.ownership.zones.get(zone);
  const record = withClaims(
    view?.record ?? EMPTY_ZONE_RECORD,
    proposals,
    dropped,
  );
  const write: PendingWrite = {
    correlation: undefined,
    expectedVersion: view?.version ?? 0,
    value: JSON.stringify(record),
    isUncertain: false,
    yielded,
  };
  state.ownership.writes.set(zone, write);
  send(state, zone, write, turn);
};

/**
 * Repeats the writes whose answers were lost. Such a write may take effect
 * later; a repeat has the same effect or a conflict. Until the record's version
 * has moved on, this host does not act on what the write gives away.
 */
export const repeatWrites = (state: CoreState, turn: Turn): void => {
  const {writes, zones} = state.ownership;
  for (const [zone, write] of writes) {
    if ((zones.get(zone)?.version ?? 0) > write.expectedVersion) {
      writes.delete(zone);
    } else if (write.correlation === undefined) {
      send(state, zone, write, turn);
    }
  }
};

/** Handles the platform's answer to a write. */
export const writeAnswered = (
  state: CoreState,
  {correlation, result, sentAt}: StoreRespondedEvent,
  turn: Turn,
): void => {
  const {writes} = state.ownership;
  const zone = correlation.slice(correlation.indexOf('/') + 1);
  const write = writes.get(zone);
  if (write?.correlation !== correlation) {
    return;
  }
  write.correlation = undefined;
  if (result.type === 'written') {
    writes.delete(zone);
    observe(zone, result.version, write.value, sentAt, turn);
  } else if (result.type === 'conflict') {
    writes.delete(zone);
    const {current} = result;
    observe(zone, current?.version ?? 0, current?.value, sentAt, turn);
  } else if (result.type === 'unavailable' && !write.isUncertain) {
    writes.delete(zone);
    resumeYielded(state, write, turn);
  } else {
    write.isUncertain = true;
  }
};

const send = (
  {ownership}: CoreState,
  zone: ZoneId,
  write: PendingWrite,
  turn: Turn,
): void => {
  ownership.sequence += 1;
  write.correlation = `${ownership.sequence}/${zone}`;
  const {expectedVersion, value} = write;
  const kind = ZONE_RECORD_KIND;
  turn.perform({
    type: 'store-request',
    area: 'ownership',
    correlation: write.correlation,
    operation:
      expectedVersion === 0
        ? {type: 'create', kind, name: zone, value}
        : {type: 'update', kind, name: zone, value, expectedVersion},
    timeoutMs: WRITE_TIMEOUT_MS,
  });
};

const observe = (
  zone: ZoneId,
  version: number,
  value: string | undefined,
  sentAt: StoreRespondedEvent['sentAt'],
  turn: Turn,
): void => {
  turn.raise({
    type: 'record-observed',
    kind: ZONE_RECORD_KIND,
    name: zone,
    version,
    value,
    sentAt,
  });
};

const resumeYielded = (
  {ownership}: CoreState,
  {yielded}: PendingWrite,
  turn: Turn,
): void => {
  for (const server of yielded) {
    const holding = ownership.holdings.get(server);
    if (holding !== undefined) {
      resumeHolding(holding, turn);
    }
  }
};
