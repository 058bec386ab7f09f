import {adapterVersionKey} from '../identifiers.js';
import type {CoreState} from '../state.js';
import type {Turn} from '../turn.js';
import {confirmSlot, dispatchWaiting} from './dispatch.js';
import type {
  ResidentAdapter,
  ServerReport,
  ServerReportedEvent,
} from './events.js';
import {pursueLoads, readReport, wantAdapter} from './loads.js';
import {loseSlot} from './slots.js';
import type {OwnedServer, Slot} from './state.js';
import {announceServer} from './summaries.js';

/** Time between two readings of a server's report. */
export const REPORT_INTERVAL_MS = 1_000;

/** Time between two readings while what a server holds is not known. */
export const UNSETTLED_REPORT_INTERVAL_MS = 250;

/** Time after a report's measurement in which an order may still show. */
const REPORT_MARGIN_MS = 50;

/** Settles what a server holds by its own, lagging report. */
export const takeReport = (
  state: CoreState,
  {server, report}: ServerReportedEvent,
  turn: Turn,
): void => {
  const owned = state.residency.servers.get(server);
  if (!owned || !report) {
    return;
  }
  const measuredMs = turn.at.monotonicMs - report.ageMs;
  if (measuredMs < owned.measuredMs) {
    return;
  }
  owned.measuredMs = measuredMs;
  if (isRestart(owned, report)) {
    emptySlots(state, owned, turn);
  }
  owned.engineIncarnation = report.engineIncarnation;
  settleSlots(state, owned, report, turn);
  if (measuredMs > owned.acquiredMs + REPORT_MARGIN_MS) {
    owned.confirmed = true;
  }
  wantStalled(state, owned, turn);
  pursueLoads(state, owned, turn);
  dispatchWaiting(state, owned, turn);
  announceServer(state, owned, turn);
};

/** Whether a report is needed soon. */
export const isUnsettled = (owned: OwnedServer): boolean =>
  !owned.confirmed ||
  [...owned.slots.values()].some(({state}) => state === 'unknown');

/** Reads the report of a server and sets the timer of the next reading. */
export const scheduleReports = (owned: OwnedServer, turn: Turn): void => {
  readReport(owned.server, turn);
  turn.perform({
    type: 'set-timer',
    area: 'residency',
    timer: `report/${owned.server}`,
    delayMs: isUnsettled(owned)
      ? UNSETTLED_REPORT_INTERVAL_MS
      : REPORT_INTERVAL_MS,
  });
};

const isRestart = (owned: OwnedServer, report: ServerReport): boolean =>
  owned.engineIncarnation !== undefined &&
  owned.engineIncarnation !== report.engineIncarnation;

/** A restarted engine holds nothing, and loads in progress have failed. */
const emptySlots = (state: CoreState, owned: OwnedServer, turn: Turn): void => {
  for (const slot of [...owned.slots.values()]) {
    if (slot.state !== 'loading') {
      loseSlot(state, owned, slot, turn);
    }
  }
};

const settleSlots = (
  state: CoreState,
  owned: OwnedServer,
  report: ServerReport,
  turn: Turn,
): void => {
  const reported = new Map(
    report.resident.map((one) => [adapterVersionKey(one), one]),
  );
  for (const slot of [...owned.slots.values()]) {
    if (owned.measuredMs > slot.changedMs + REPORT_MARGIN_MS) {
      settleSlot(state, owned, slot, reported.get(slot.key), turn);
    }
  }
  for (const [key, resident] of reported) {
    if (!owned.slots.has(key)) {
      adoptSlot(state, owned, key, resident, turn);
    }
  }
};

/** Brings one slot into line with a report that is newer than its state. */
const settleSlot = (
  state: CoreState,
  owned: OwnedServer,
  slot: Slot,
  reported: ResidentAdapter | undefined,
  turn: Turn,
): void => {
  if (slot.state === 'loading' || slot.state === 'unloading') {
    return;
  }
  if (!reported) {
    loseSlot(state, owned, slot, turn);
    return;
  }
  if (reported.state === 'loading') {
    return;
  }
  if (owned.measuredMs > owned.acquiredMs + REPORT_MARGIN_MS) {
    slot.inherited &&= reported.running > 0;
    if (slot.state !== 'ready') {
      confirmSlot(state, owned, slot, turn);
    }
  }
};

/** Takes in a slot that a previous owner filled. */
const adoptSlot = (
  state: CoreState,
  owned: OwnedServer,
  key: string,
  resident: ResidentAdapter,
  turn: Turn,
): void => {
  const nowMs = turn.at.monotonicMs;
  if (wasJustEvicted(owned, key)) {
    return;
  }
  const isCurrent = owned.measuredMs > owned.acquiredMs + REPORT_MARGIN_MS;
  const slot: Slot = {
    adapter: resident.adapter,
    version: resident.version,
    key,
    state: 'unconfirmed',
    running: 0,
    queued: 0,
    inherited: !isCurrent || resident.running > 0,
    changedMs: owned.measuredMs,
    lastUsedMs: nowMs,
    uses: 0,
    orderId: undefined,
  };
  owned.slots.set(key, slot);
  if (isCurrent && resident.state === 'ready') {
    confirmSlot(state, owned, slot, turn);
  }
};

/** Whether this host's own unload is newer than the report. */
const wasJustEvicted = (owned: OwnedServer, key: string): boolean => {
  const evictedMs = owned.evictedMs.get(key);
  return (
    evictedMs !== undefined && owned.measuredMs <= evictedMs + REPORT_MARGIN_MS
  );
};

/** Requests that wait for an adapter that nobody loads any more. */
const wantStalled = (
  state: CoreState,
  owned: OwnedServer,
  turn: Turn,
): void => {
  for (const [key, [first]] of owned.waiting) {
    if (first && !owned.wants.has(key) && !owned.slots.has(key)) {
      wantAdapter(state, owned, first.request, false, turn);
    }
  }
};
