import type {Sender} from '../area.js';
import {elapsedMs} from '../instant.js';
import type {AdapterId, HostId} from '../identifiers.js';
import {CONFIGURATION_HEAD} from '../membership/records.js';
import {relayPlace} from '../membership/relay.js';
import {listedHosts, recordCopy} from '../membership/selectors.js';
import type {PeerMessage} from '../peer-message.js';
import type {CoreState} from '../state.js';
import type {Turn} from '../turn.js';
import type {AdapterEntry} from './adapter-entry.js';
import {PART_COUNT} from './head.js';
import type {ConfigurationUpdate} from './messages.js';
import {applyRevision, replaceEntries, type ReplacedParts} from './revision.js';
import type {ConfigurationState} from './state.js';

type Message<Type extends PeerMessage['type']> = Extract<
  PeerMessage,
  {readonly type: Type}
>;

/** Entries that one message carries at most. */
const ENTRIES_PER_MESSAGE = 1_000;

/** Age of the copy of the head after which peers are asked as well. */
const STALE_HEAD_MS = 3_000;

/** Asks a peer, which holds a higher revision, for the difference. */
export const askForUpdate = (
  {configuration}: CoreState,
  to: HostId,
  turn: Turn,
): void => {
  const revision = configuration.needsWhole
    ? 0
    : (configuration.summary?.revision ?? 0);
  const message = {type: 'configuration-asked' as const, revision};
  turn.perform({type: 'send-peer-message', to, message});
};

/**
 * Asks other hosts in turn while neither the platform nor the zone's relay
 * shows this host a head.
 */
export const askWithoutHead = (state: CoreState, turn: Turn): void => {
  const {configuration, settings} = state;
  const isRelayed = relayPlace(state).parent !== undefined;
  if (
    (isRelayed && configuration.summary !== undefined) ||
    !isHeadStale(state, turn)
  ) {
    return;
  }
  const others = listedHosts(state)
    .map(({host}) => host)
    .filter((host) => host !== settings.host);
  const other = others[configuration.sequence % Math.max(1, others.length)];
  if (other !== undefined) {
    askForUpdate(state, other, turn);
  }
};

/** Answers a peer that holds a lower revision with the difference. */
export const answerWithUpdate = (
  {configuration}: CoreState,
  {revision}: Message<'configuration-asked'>,
  {host}: Sender,
  turn: Turn,
): void => {
  const {summary} = configuration;
  if (summary === undefined || summary.revision <= revision) {
    return;
  }
  const changed = changedSince(configuration, revision, summary.revision);
  const fromRevision = changed === undefined ? 0 : revision;
  const entries = [...(changed ?? configuration.entries.keys())].flatMap(
    (adapter) => configuration.entries.get(adapter) ?? [],
  );
  const portions = Math.max(1, Math.ceil(entries.length / ENTRIES_PER_MESSAGE));
  for (let portion = 0; portion < portions; portion += 1) {
    turn.perform({
      type: 'send-peer-message',
      to: host,
      message: {
        type: 'configuration-update',
        fromRevision,
        summary,
        portion,
        portions,
        entries: entries.slice(
          portion * ENTRIES_PER_MESSAGE,
          (portion + 1) * ENTRIES_PER_MESSAGE,
        ),
      },
    });
  }
};

/** Takes a portion of a peer's difference, and the revision when whole. */
export const takeUpdate = (
  state: CoreState,
  message: Message<'configuration-update'>,
  _sender: Sender,
  turn: Turn,
): void => {
  const {configuration} = state;
  const {summary, fromRevision} = message;
  const current = configuration.summary?.revision ?? 0;
  if (
    summary.revision <= current ||
    (fromRevision !== 0 && fromRevision !== current)
  ) {
    return;
  }
  const portions = portionsOf(configuration, message);
  portions.set(message.portion, message.entries);
  if (portions.size < message.portions) {
    return;
  }
  configuration.incoming = undefined;
  const entries = [...portions.values()].flat();
  const replaced =
    fromRevision === 0
      ? replaceAll(entries)
      : replaceEntries(configuration, entries);
  if (!applyRevision(state, summary, replaced, turn)) {
    configuration.needsWhole = true;
  }
};

const isHeadStale = (state: CoreState, turn: Turn): boolean => {
  const {kind, name} = CONFIGURATION_HEAD;
  const readAt = recordCopy(state, kind, name)?.readAt;
  return readAt === undefined || elapsedMs(readAt, turn.at) > STALE_HEAD_MS;
};

/** Adapters changed after a revision; undefined where not remembered. */
const changedSince = (
  {changedByRevision}: ConfigurationState,
  from: number,
  to: number,
): ReadonlySet<AdapterId> | undefined => {
  const changed = new Set<AdapterId>();
  for (let revision = from + 1; revision <= to; revision += 1) {
    const adapters = changedByRevision.get(revision);
    if (adapters === undefined) {
      return undefined;
    }
    for (const adapter of adapters) {
      changed.add(adapter);
    }
  }
  return changed;
};

const portionsOf = (
  configuration: ConfigurationState,
  {summary, fromRevision}: ConfigurationUpdate,
): Map<number, ConfigurationUpdate['entries']> => {
  const {incoming} = configuration;
  if (
    incoming?.summary.revision === summary.revision &&
    incoming.fromRevision === fromRevision
  ) {
    return incoming.portions;
  }
  const portions = new Map<number, ConfigurationUpdate['entries']>();
  configuration.incoming = {summary, fromRevision, portions};
  return portions;
};

const replaceAll = (entries: readonly AdapterEntry[]): ReplacedParts => {
  const parts = Array.from({length: PART_COUNT}, () => new Map());
  return new Map([
    ...parts.map((part, index) => [index, part] as const),
    ...replaceEntries({parts}, entries),
  ]);
};
