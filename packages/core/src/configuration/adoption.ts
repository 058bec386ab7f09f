import {parseJson} from '../lib/parse-json.js';
import {CONFIGURATION_HEAD} from '../membership/records.js';
import {recordCopy} from '../membership/selectors.js';
import type {CoreState} from '../state.js';
import type {StoreRespondedEvent} from '../store.js';
import type {Turn} from '../turn.js';
import {
  type ConfigurationHead,
  configurationHeadSchema,
  digestOfPartName,
  PART_KIND,
  partSchema,
} from './head.js';
import {applyRevision} from './revision.js';

/** Milliseconds after which reading a part counts as failed. */
const PART_READ_TIMEOUT_MS = 3_000;

/** The platform's head as this host read it last. */
export const storedHead = (state: CoreState): ConfigurationHead | undefined => {
  const {configuration} = state;
  const {kind, name} = CONFIGURATION_HEAD;
  const copy = recordCopy(state, kind, name);
  if (copy?.value === undefined) {
    return undefined;
  }
  if (configuration.parsedHead?.version !== copy.version) {
    const head = parseJson(configurationHeadSchema, copy.value);
    configuration.parsedHead = {version: copy.version, head};
  }
  return configuration.parsedHead.head;
};

/** Reads the parts of a higher head that differ from those in force. */
export const adoptHead = (
  state: CoreState,
  head: ConfigurationHead | undefined,
  turn: Turn,
): void => {
  const {configuration} = state;
  const known = Math.max(
    configuration.summary?.revision ?? 0,
    configuration.adoption?.head.revision ?? 0,
  );
  if (head === undefined || head.revision <= known) {
    return;
  }
  const missing = new Set<number>();
  head.parts.forEach((name, index) => {
    if (digestOfPartName(name) !== configuration.digests[index]) {
      missing.add(index);
    }
  });
  configuration.adoption = {head, parts: new Map(), missing};
  readMissingParts(state, turn);
  completeAdoption(state, turn);
};

/** Asks for the parts that have not arrived; repeats lost reads. */
export const readMissingParts = (
  {configuration}: CoreState,
  turn: Turn,
): void => {
  const {adoption} = configuration;
  for (const index of adoption?.missing ?? []) {
    const name = adoption?.head.parts[index] ?? '';
    if (name === '') {
      adoption?.missing.delete(index);
      adoption?.parts.set(index, new Map());
      continue;
    }
    turn.perform({
      type: 'store-request',
      area: 'configuration',
      correlation: `part/${index}/${name}`,
      operation: {type: 'get', kind: PART_KIND, name},
      timeoutMs: PART_READ_TIMEOUT_MS,
    });
  }
};

/** Handles the platform's answer to the read of a part. */
export const partReadAnswered = (
  state: CoreState,
  {correlation, result}: StoreRespondedEvent,
  turn: Turn,
): void => {
  const {adoption} = state.configuration;
  const [, indexText, name] = correlation.split('/');
  const index = Number(indexText);
  if (
    adoption === undefined ||
    adoption.head.parts[index] !== name ||
    result.type !== 'found'
  ) {
    return;
  }
  const entries = parseJson(partSchema, result.object.value);
  if (entries !== undefined) {
    adoption.missing.delete(index);
    adoption.parts.set(
      index,
      new Map(entries.map((entry) => [entry.adapter, entry])),
    );
    completeAdoption(state, turn);
  }
};

const completeAdoption = (state: CoreState, turn: Turn): void => {
  const {configuration} = state;
  const {adoption} = configuration;
  if (adoption?.missing.size !== 0) {
    return;
  }
  configuration.adoption = undefined;
  const {revision, nonce, operator, digest, keys} = adoption.head;
  const summary = {revision, nonce, operator, digest, keys};
  applyRevision(state, summary, adoption.parts, turn);
};
