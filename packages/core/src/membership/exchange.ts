import {elapsedMs, type Instant} from '../instant.js';
import type {Sender} from '../area.js';
import {configurationRevision} from '../configuration/selectors.js';
import type {HostId, ZoneId} from '../identifiers.js';
import type {PeerMessage} from '../peer-message.js';
import type {CoreState} from '../state.js';
import type {Turn} from '../turn.js';
import {refreshView, takeHostList} from './host-list.js';
import type {PlatformStateAnswer} from './messages.js';
import {takeRecord, ZONE_RECORD_KIND} from './records.js';
import {listedHosts, recordCopy} from './selectors.js';
import type {MembershipState, PeerView} from './state.js';

/** Milliseconds after which an ask counts as not answered. */
export const ASK_TIMEOUT_MS = 900;

/** Milliseconds without a message after which a peer counts as quiet. */
const QUIET_MS = 2_000;

type Message<Type extends PeerMessage['type']> = Extract<
  PeerMessage,
  {readonly type: Type}
>;

/** Asks a peer for its copies of the host list and of some zones' records. */
export const askPeer = (
  state: CoreState,
  to: HostId,
  zones: readonly ZoneId[],
  turn: Turn,
): void => {
  const {membership} = state;
  membership.sequence += 1;
  const ask = `${membership.sequence}`;
  membership.asks.set(ask, {to, askedAt: turn.at});
  turn.perform({
    type: 'send-peer-message',
    to,
    message: {
      type: 'platform-state-asked',
      ask,
      hostListVersion: membership.hostList?.version ?? -1,
      records: zones.map((zone) => ({
        zone,
        version: recordCopy(state, ZONE_RECORD_KIND, zone)?.version ?? 0,
      })),
    },
  });
};

/** Marks the peers silent whose answers are overdue. */
export const expireAsks = ({membership}: CoreState, turn: Turn): void => {
  for (const [ask, {to, askedAt}] of membership.asks) {
    if (elapsedMs(askedAt, turn.at) > ASK_TIMEOUT_MS) {
      membership.asks.delete(ask);
      peerView(membership, to).silentSince ??= askedAt;
    }
  }
};

/** Answers a peer with everything this host knows, and its age. */
export const answerAsk = (
  state: CoreState,
  message: Message<'platform-state-asked'>,
  sender: Sender,
  turn: Turn,
): void => {
  noteHeard(state, sender, turn);
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
 * Takes a peer's answer. Its ages count from when this host asked, so that no
 * copy looks fresher than it is.
 */
export const takeAnswer = (
  state: CoreState,
  message: Message<'platform-state-answered'>,
  sender: Sender,
  turn: Turn,
): void => {
  const {membership} = state;
  noteHeard(state, sender, turn);
  const pending = membership.asks.get(message.ask);
  if (pending?.to !== sender.host) {
    return;
  }
  membership.asks.delete(message.ask);
  const {askedAt} = pending;
  const peer = peerView(membership, sender.host);
  peer.incarnation = sender.incarnation;
  peer.answeredAskAt = askedAt;
  takeRelayedHostList(state, message, askedAt, turn);
  for (const record of message.records) {
    takeRelayedRecord(state, record, askedAt, turn);
  }
  if (message.revision > configurationRevision(state)) {
    turn.raise({type: 'newer-revision-found', host: sender.host});
  }
  for (const host of message.silent) {
    verifySilence(state, host, turn);
  }
};

/** A peer said that it leaves. */
export const takeLeaving = (
  state: CoreState,
  _message: Message<'host-leaving'>,
  sender: Sender,
  turn: Turn,
): void => {
  noteHeard(state, sender, turn);
  peerView(state.membership, sender.host).incarnation = sender.incarnation;
  state.membership.announcedLeaving.add(sender.host);
  refreshView(state, turn);
};

/** Notes that a message from a peer arrived. */
const noteHeard = (state: CoreState, sender: Sender, turn: Turn): void => {
  const {membership} = state;
  if (sender.host === state.settings.host) {
    return;
  }
  const peer = peerView(membership, sender.host);
  peer.heardAt = turn.at;
  peer.silentSince = undefined;
  const isNewRun =
    peer.incarnation !== undefined && peer.incarnation !== sender.incarnation;
  if (isNewRun && membership.announcedLeaving.delete(sender.host)) {
    refreshView(state, turn);
  }
};

/** Whether a peer gave no sign of life lately. */
export const isQuiet = (
  {membership}: CoreState,
  host: HostId,
  at: Instant,
): boolean => {
  const heardAt = membership.peers.get(host)?.heardAt;
  return heardAt === undefined || elapsedMs(heardAt, at) > QUIET_MS;
};

/** Asks a quiet peer whether it runs, unless it is being asked. */
export const askQuietPeer = (
  state: CoreState,
  host: HostId,
  turn: Turn,
): void => {
  const {membership, settings} = state;
  if (
    host !== settings.host &&
    isQuiet(state, host, turn.at) &&
    !isAsked(membership, host)
  ) {
    askPeer(state, host, [settings.zone], turn);
  }
};

/**
 * Asks a peer that seems to be another run. Only its answer counts: a late
 * message of an earlier run must not revive that run.
 */
const verifyIncarnation = (
  state: CoreState,
  {host, incarnation}: Sender,
  turn: Turn,
): void => {
  if (
    peerView(state.membership, host).incarnation !== incarnation &&
    !isAsked(state.membership, host)
  ) {
    askPeer(state, host, [state.settings.zone], turn);
  }
};

/**
 * Asks a host that another one found silent, so that only an own ask without
 * an answer counts: the other one's link to it may be cut.
 */
const verifySilence = (state: CoreState, host: HostId, turn: Turn): void => {
  if (state.membership.peers.get(host)?.silentSince === undefined) {
    askQuietPeer(state, host, turn);
  }
};

const isAsked = ({asks}: MembershipState, host: HostId): boolean =>
  [...asks.values()].some(({to}) => to === host);

const peerView = ({peers}: MembershipState, host: HostId): PeerView => {
  let peer = peers.get(host);
  if (peer === undefined) {
    peer = {
      incarnation: undefined,
      heardAt: undefined,
      answeredAskAt: undefined,
      silentSince: undefined,
    };
    peers.set(host, peer);
  }
  return peer;
};

/** Hosts of this zone that left this host's asks without an answer. */
const silentHosts = (state: CoreState): HostId[] =>
  listedHosts(state)
    .filter(
      ({host, zone}) =>
        zone === state.settings.zone &&
        state.membership.peers.get(host)?.silentSince !== undefined,
    )
    .map(({host}) => host);

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

const takeRelayedHostList = (
  state: CoreState,
  {hostList}: PlatformStateAnswer,
  askedAt: Instant,
  turn: Turn,
): void => {
  const list = hostList?.list ?? state.membership.hostList;
  if (hostList !== undefined && list !== undefined) {
    takeHostList(state, list, backdate(askedAt, hostList.ageMs), turn);
  }
};

const takeRelayedRecord = (
  state: CoreState,
  {zone, version, ageMs, value}: PlatformStateAnswer['records'][number],
  askedAt: Instant,
  turn: Turn,
): void => {
  const copy = recordCopy(state, ZONE_RECORD_KIND, zone);
  const knownVersion = copy?.version ?? 0;
  if (version > knownVersion && value === undefined) {
    return;
  }
  takeRecord(
    state,
    {
      kind: ZONE_RECORD_KIND,
      name: zone,
      version,
      value: version === knownVersion ? copy?.value : value,
    },
    backdate(askedAt, ageMs),
    turn,
  );
};

const backdate = (from: Instant, ageMs: number): Instant => ({
  monotonicMs: from.monotonicMs - ageMs,
  wallMs: from.wallMs - ageMs,
});
