import type {Sender} from '../area.js';
import {currentEpoch, EPOCH_MS} from '../calls/selectors.js';
import {parseJson} from '../lib/parse-json.js';
import {liveHosts} from '../membership/selectors.js';
import type {CoreState} from '../state.js';
import type {StoredObject, StoreResult} from '../store.js';
import type {Turn} from '../turn.js';
import {finishWork} from './results.js';
import {queueWork} from './running.js';
import {MAXIMUM_ENTRIES, type WorkEntry} from './state.js';
import {addEntry, workRefusal} from './work-answers.js';
import {
  storedBytes,
  WORK_KIND,
  workRecordSchema,
  type WorkRecord,
} from './work-record.js';
import {workValue} from './write-steps.js';

const SCAN_INTERVAL_MS = 30_000;
const PAGE_INTERVAL_MS = 2_000;

/** Arms the scan for work whose runner was lost. */
export const scheduleScan = (state: CoreState, turn: Turn): void => {
  turn.perform({
    type: 'set-timer',
    area: 'deferred',
    timer: 'scan/next',
    delayMs: state.deferred.scan.active ? PAGE_INTERVAL_MS : SCAN_INTERVAL_MS,
  });
};

/** Lists the next page of unfinished work; begins again at the end. */
export const continueScan = (state: CoreState, turn: Turn): void => {
  const {scan} = state.deferred;
  if (!scan.active) {
    scan.begin(state);
  }
  const operation = scan.next();
  if (operation !== undefined) {
    state.deferred.store.start(turn, {kind: 'scan-list'}, operation);
  }
  scheduleScan(state, turn);
};

/** Takes over what has no live runner, and asks the live runners. */
export const scanListed = (
  state: CoreState,
  result: StoreResult,
  turn: Turn,
): void => {
  if (result.type !== 'listed') {
    return;
  }
  state.deferred.scan.listed(result.objects);
  const live = new Set(liveHosts(state).map(({host}) => host));
  if (!live.has(state.settings.host)) {
    return;
  }
  const inquiries = new Map<string, string[]>();
  for (const object of result.objects) {
    const runner = runnerHost(object);
    if (state.deferred.entries.has(object.name) || runner === undefined) {
      continue;
    }
    if (runner !== state.settings.host && live.has(runner)) {
      inquiries.set(runner, [...(inquiries.get(runner) ?? []), object.name]);
    } else {
      adoptObject(state, object, turn);
    }
  }
  for (const [to, names] of inquiries) {
    turn.perform({
      type: 'send-peer-message',
      to,
      message: {area: 'deferred', type: 'work-inquiry', names},
    });
  }
};

/** Answers which pieces of work this host does not hold. */
export const answerInquiry = (
  state: CoreState,
  {names}: {readonly names: readonly string[]},
  {host}: Sender,
  turn: Turn,
): void => {
  const notHeld = names.filter((name) => !state.deferred.entries.has(name));
  if (notHeld.length > 0) {
    turn.perform({
      type: 'send-peer-message',
      to: host,
      message: {area: 'deferred', type: 'work-not-held', names: notHeld},
    });
  }
};

/** Takes over what a live runner does not hold. */
export const takeNotHeld = (
  state: CoreState,
  {names}: {readonly names: readonly string[]},
  _sender: Sender,
  turn: Turn,
): void => {
  for (const name of names) {
    adoptByName(state, name, turn);
  }
};

/** Takes over work that a runner said that it does not hold. */
export const adoptionRead = (
  state: CoreState,
  name: string,
  result: StoreResult,
  turn: Turn,
): void => {
  state.deferred.adopting.delete(name);
  if (result.type === 'found') {
    adoptObject(state, result.object, turn);
  }
};

/** Runs what this host took over; what is unclear comes with the next scan. */
export const adoptionWritten = (
  state: CoreState,
  entry: WorkEntry,
  result: StoreResult,
  turn: Turn,
): void => {
  const {name} = entry;
  state.deferred.adopting.delete(name);
  if (result.type !== 'written' || state.deferred.entries.has(name)) {
    return;
  }
  entry.version = result.version;
  addEntry(state, entry);
  if (entry.phase === 'storing') {
    // Its submitter was never told that it is accepted.
    const detail = 'the host that stored the work was lost before it was whole';
    const refusal = workRefusal('store-unavailable', true, detail);
    finishWork(state, entry, {kind: 'failure', refusal}, turn);
  } else {
    queueWork(state, entry, turn);
  }
};

const adoptByName = (state: CoreState, name: string, turn: Turn): void => {
  if (mayAdopt(state, name)) {
    state.deferred.adopting.add(name);
    state.deferred.store.start(
      turn,
      {kind: 'adopt-read', name},
      {type: 'get', kind: WORK_KIND, name},
    );
  }
};

/** Writes this host into a work object as its runner. */
const adoptObject = (
  state: CoreState,
  {name, value, version}: StoredObject,
  turn: Turn,
): void => {
  const record = parseJson(workRecordSchema, value);
  if (record === undefined || !mayAdopt(state, name)) {
    return;
  }
  state.deferred.adopting.add(name);
  const entry = createEntry(state, name, record, turn);
  state.deferred.store.start(
    turn,
    {kind: 'adopt-write', name, entry},
    {
      type: 'update',
      kind: WORK_KIND,
      name,
      value: workValue(state, entry, record.body, record.state),
      expectedVersion: version,
    },
  );
};

const mayAdopt = (state: CoreState, name: string): boolean => {
  const {adopting, entries} = state.deferred;
  return (
    !adopting.has(name) &&
    !entries.has(name) &&
    entries.size + adopting.size < MAXIMUM_ENTRIES
  );
};

const runnerHost = (object: StoredObject): string | undefined => {
  const runner = parseJson(workRecordSchema, object.value)?.runner;
  return runner?.slice(0, runner.lastIndexOf('#'));
};

const createEntry = (
  state: CoreState,
  name: string,
  record: WorkRecord,
  turn: Turn,
): WorkEntry => {
  const epoch = currentEpoch(state, turn.at);
  return {
    name,
    request: record.request,
    takenAt: turn.at,
    limitMs: Math.max(0, record.remainingMs - waitedMs(record.epoch, epoch)),
    epoch,
    phase: record.state === 'storing' ? 'storing' : 'queued',
    body: undefined,
    bodyBytes: storedBytes(record.body),
    storedBody: record.body,
    version: undefined,
    steps: [],
    writtenParts: [],
    answered: true,
    ambiguous: false,
    failures: 0,
    delayed: false,
  };
};

/** The least time between two epochs; none where either is not known. */
const waitedMs = (from: number, to: number): number =>
  from === 0 || to === 0 ? 0 : Math.max(0, to - from - 1) * EPOCH_MS;
