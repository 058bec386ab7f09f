import {elapsedMs, type Instant} from '../instant.js';
import type {Sender} from '../area.js';
import {configurationRevision} from '../configuration/selectors.js';
import type {HostId, ZoneId} from '../identifiers.js';
import type {PeerMessage} from '../peer-message.js';
import type {CoreState} from '../state.js';
import type {Turn} from '../turn.js';
import {applyHostList, refreshView} from './host-list.js';
import type {PlatformStateAnswer} from './messages.js';
import {applyRecord, ZONE_RECORD_KIND} from './records.js';
import {listedHosts, recordCopy} from './selectors.js';
import type {MembershipState, PeerState} from './state.js';

/** Milliseconds after which a query to a peer times out. */
export const QUERY_TIMEOUT_MS = 900;

/** Milliseconds without a message after which a peer counts as quiet. */
const QUIET_MS = 2_000;

type Message<Type extends PeerMessage['type']> = Extract<
  PeerMessage,
  {readonly type: Type}
>;

/** Queries a peer for its copies of the host list and of zones' records. */
export const queryPeer = (
  state: CoreState,
  to: HostId,
  zones: readonly ZoneId[],
  turn: Turn,
): void => {
  const {membership} = state;
  membership.sequence += 1;
  const queryId = `${membership.sequence}`;
  membership.pendingQueries.set(queryId, {to, requestedAt: turn.at});
  turn.perform({
    type: 'send-peer-message',
    to,
    message: {
      type: 'platform-state-asked',
      ask: queryId,
      hostListVersion: membership.hostList?.version ?? -1,
      records: zones.map((zone) => ({
        zone,
        version: recordCopy(state, ZONE_RECORD_KIND, zone)?.version ?? 0,
      })),
    },
  });
};

/** Drops the queries that timed out and marks their peers silent. */
export const expireQueries = ({membership}: CoreState, turn: Turn): void => {
  for (const [queryId, {to, requestedAt}] of membership.pendingQueries) {
    if (elapsedMs(requestedAt, turn.at) > QUERY_TIMEOUT_MS) {
      membership.pendingQueries.delete(queryId);
      getOrCreatePeer(membership, to).silentSince ??= requestedAt;
    }
  }
};

/**
 * Answers a peer's query with this host's copies and their ages. Values that
 * the peer knows are omitted.
 */
export const answerQuery = (
  state: CoreState,
  message: Message<'platform-state-asked'>,
  sender: Sender,
  turn: Turn,
): void => {
  recordContact(state, sender, turn);
  verifyIncarnation(state, sender, turn);
  const {hostList, hostListReadAt} = state.membership;
  const isNewList =
    hostList !== undefined && hostList.version > message.hostListVersion;
  turn.perform({
    type: 'send-peer-message',
    to: sender.host,
    message: {
      type: 'platform-state-answered',
      ask: message.ask,
      hostList:
        hostListReadAt === undefined
          ? undefined
          : {
              ageMs: elapsedMs(hostListReadAt, turn.at),
              list: isNewList ? hostList : undefined,
            },
      records: message.records.flatMap(({zone, version}) =>
        relayedRecord(state, zone, version, turn.at),
      ),
      revision: configurationRevision(state),
      silent: silentHosts(state),
    },
  });
};

/**
 * Applies a peer's answer. Its ages count from when this host sent the query,
 * so that no copy looks fresher than it is.
 */
export const applyAnswer = (
  state: CoreState,
  message: Message<'platform-state-answered'>,
  sender: Sender,
  turn: Turn,
): void => {
  const {membership} = state;
  recordContact(state, sender, turn);
  const pending = membership.pendingQueries.get(message.ask);
  if (pending?.to !== sender.host) {
    return;
  }
  membership.pendingQueries.delete(message.ask);
  const {requestedAt} = pending;
  const peer = getOrCreatePeer(membership, sender.host);
  peer.incarnation = sender.incarnation;
  peer.answeredQueryAt = requestedAt;
  applyRelayedHostList(state, message, requestedAt, turn);
  for (const record of message.records) {
    applyRelayedRecord(state, record, requestedAt, turn);
  }
  if (message.revision > configurationRevision(state)) {
    turn.raise({type: 'newer-revision-found', host: sender.host});
  }
  for (const host of message.silent) {
    verifySilence(state, host, turn);
  }
};

/** Excludes a peer from new work after it announced that it leaves. */
export const handleHostLeaving = (
  state: CoreState,
  _message: Message<'host-leaving'>,
  sender: Sender,
  turn: Turn,
): void => {
  recordContact(state, sender, turn);
  getOrCreatePeer(state.membership, sender.host).incarnation =
    sender.incarnation;
  state.membership.announcedLeaving.add(sender.host);
  refreshView(state, turn);
};

/**
 * Records that a message from a peer arrived. A message of another incarnation
 * than the known one withdraws the announcement that the peer leaves.
 */
const recordContact = (state: CoreState, sender: Sender, turn: Turn): void => {
  const {membership} = state;
  if (sender.host === state.settings.host) {
    return;
  }
  const peer = getOrCreatePeer(membership, sender.host);
  peer.lastContactAt = turn.at;
  peer.silentSince = undefined;
  const isNewIncarnation =
    peer.incarnation !== undefined && peer.incarnation !== sender.incarnation;
  if (isNewIncarnation && membership.announcedLeaving.delete(sender.host)) {
    refreshView(state, turn);
  }
};

/** Whether no message from a peer arrived within `QUIET_MS`. */
export const isQuiet = (
  {membership}: CoreState,
  host: HostId,
  at: Instant,
): boolean => {
  const lastContactAt = membership.peers.get(host)?.lastContactAt;
  return lastContactAt === undefined || elapsedMs(lastContactAt, at) > QUIET_MS;
};

/** Queries a quiet peer to see if it runs, unless a query is pending. */
export const queryQuietPeer = (
  state: CoreState,
  host: HostId,
  turn: Turn,
): void => {
  const {membership, settings} = state;
  if (
    host !== settings.host &&
    isQuiet(state, host, turn.at) &&
    !hasPendingQuery(membership, host)
  ) {
    queryPeer(state, host, [settings.zone], turn);
  }
};

/**
 * Queries a peer that seems to have another incarnation. Only its answer
 * counts: a late message of an earlier incarnation must not revive it.
 */
const verifyIncarnation = (
  state: CoreState,
  {host, incarnation}: Sender,
  turn: Turn,
): void => {
  if (
    getOrCreatePeer(state.membership, host).incarnation !== incarnation &&
    !hasPendingQuery(state.membership, host)
  ) {
    queryPeer(state, host, [state.settings.zone], turn);
  }
};

/**
 * Queries a host that a peer found silent. Only a query of this host that times
 * out counts, because the link between the peer and that host may be cut.
 */
const verifySilence = (state: CoreState, host: HostId, turn: Turn): void => {
  if (state.membership.peers.get(host)?.silentSince === undefined) {
    queryQuietPeer(state, host, turn);
  }
};

const hasPendingQuery = (
  {pendingQueries}: MembershipState,
  host: HostId,
): boolean => [...pendingQueries.values()].some(({to}) => to === host);

const getOrCreatePeer = ({peers}: MembershipState, host: HostId): PeerState => {
  let peer = peers.get(host);
  if (peer === undefined) {
    peer = {
      incarnation: undefined,
      lastContactAt: undefined,
      answeredQueryAt: undefined,
      silentSince: undefined,
    };
    peers.set(host, peer);
  }
  return peer;
};

/** Hosts of this zone that did not answer this host's queries. */
const silentHosts = (state: CoreState): HostId[] =>
  listedHosts(state)
    .filter(
      ({host, zone}) =>
        zone === state.settings.zone &&
        state.membership.peers.get(host)?.silentSince !== undefined,
    )
    .map(({host}) => host);

/**
 * Returns a zone's record for an answer, without its value if the peer knows
 * the version. Empty if this host has no copy or an older one.
 */
const relayedRecord = (
  state: CoreState,
  zone: string,
  knownVersion: number,
  at: Instant,
): PlatformStateAnswer['records'] => {
  const copy = recordCopy(state, ZONE_RECORD_KIND, zone);
  if (copy?.readAt === undefined || copy.version < knownVersion) {
    return [];
  }
  const {version, value, readAt} = copy;
  const ageMs = elapsedMs(readAt, at);
  return [
    version > knownVersion
      ? {zone, version, ageMs, value}
      : {zone, version, ageMs},
  ];
};

const applyRelayedHostList = (
  state: CoreState,
  {hostList}: PlatformStateAnswer,
  requestedAt: Instant,
  turn: Turn,
): void => {
  const list = hostList?.list ?? state.membership.hostList;
  if (hostList !== undefined && list !== undefined) {
    applyHostList(state, list, backdate(requestedAt, hostList.ageMs), turn);
  }
};

const applyRelayedRecord = (
  state: CoreState,
  {zone, version, ageMs, value}: PlatformStateAnswer['records'][number],
  requestedAt: Instant,
  turn: Turn,
): void => {
  const copy = recordCopy(state, ZONE_RECORD_KIND, zone);
  const knownVersion = copy?.version ?? 0;
  if (version > knownVersion && value === undefined) {
    return;
  }
  applyRecord(
    state,
    {
      kind: ZONE_RECORD_KIND,
      name: zone,
      version,
      value: version === knownVersion ? copy?.value : value,
    },
    backdate(requestedAt, ageMs),
    turn,
  );
};

const backdate = (from: Instant, ageMs: number): Instant => ({
  monotonicMs: from.monotonicMs - ageMs,
  wallMs: from.wallMs - ageMs,
});
