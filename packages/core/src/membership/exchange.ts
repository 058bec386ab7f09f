import {elapsedMs, type Instant} from '../instant.js';
import type {Sender} from '../area.js';
import type {HostId} from '../identifiers.js';
import type {PeerMessage} from '../peer-message.js';
import type {CoreState} from '../state.js';
import type {Turn} from '../turn.js';
import {refreshView, takeHostList} from './host-list.js';
import type {PlatformStateAnswer} from './messages.js';
import {takeRecord, ZONE_RECORD_KIND} from './records.js';
import {listedHosts, listedZones, recordCopy} from './selectors.js';
import type {MembershipState, PeerView} from './state.js';

/** Milliseconds after which an ask counts as not answered. */
export const ASK_TIMEOUT_MS = 900;

/** Silence of a peer that is passed on to others, milliseconds. */
const UNHEARD_AFTER_MS = 6_000;

type Message<Type extends PeerMessage['type']> = Extract<
  PeerMessage,
  {readonly type: Type}
>;

/** Asks a peer for its copies of the platform's state. */
export const askPeer = (state: CoreState, to: HostId, turn: Turn): void => {
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
      records: listedZones(state).map((zone) => ({
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
      unheard: unheardHosts(state, turn.at),
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
  for (const host of message.unheard) {
    noteUnheard(state, host, turn.at);
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

const noteUnheard = (state: CoreState, host: HostId, at: Instant): void => {
  if (host === state.settings.host) {
    return;
  }
  const peer = peerView(state.membership, host);
  if (
    peer.heardAt === undefined ||
    elapsedMs(peer.heardAt, at) > UNHEARD_AFTER_MS
  ) {
    peer.silentSince ??= at;
  }
};

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

/**
 * Hosts of this zone that do not ask this host any more. Known only while it
 * reads for the zone: then every other host asks it at each refresh.
 */
const unheardHosts = (state: CoreState, at: Instant): HostId[] => {
  const {readerSince, peers} = state.membership;
  if (readerSince === undefined) {
    return [];
  }
  return listedHosts(state)
    .filter(({host, zone}) => {
      const heardAt = peers.get(host)?.heardAt ?? readerSince;
      return (
        zone === state.settings.zone &&
        host !== state.settings.host &&
        elapsedMs(readerSince, at) > UNHEARD_AFTER_MS &&
        elapsedMs(heardAt, at) > UNHEARD_AFTER_MS
      );
    })
    .map(({host}) => host);
};

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
