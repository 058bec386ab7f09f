import type {Sender} from '../area.js';
import type {ServerId, ZoneId} from '../identifiers.js';
import {elapsedMs} from '../instant.js';
import {ZONE_RECORD_KIND} from '../membership/records.js';
import {describeServer, standingOf} from '../membership/selectors.js';
import type {PeerMessage} from '../peer-message.js';
import {inFlightOf} from '../residency/selectors.js';
import type {CoreState} from '../state.js';
import type {Turn} from '../turn.js';
import type {Assignment} from './assignment.js';
import {activateWhenDue} from './claims.js';
import type {ClaimProposal} from './zone-record.js';

type Message<Type extends PeerMessage['type']> = Extract<
  PeerMessage,
  {readonly type: Type}
>;

/** Milliseconds after which an offer that was not accepted is made again. */
const OFFER_TIMEOUT_MS = 1_500;

/** Offers servers to peers that have not been asked for them lately. */
export const offerServers = (
  {ownership}: CoreState,
  moves: readonly Assignment[],
  turn: Turn,
): void => {
  const servers = new Map<string, ServerId[]>();
  for (const {server, host} of moves) {
    const offer = ownership.offers.get(server);
    if (
      offer !== undefined &&
      elapsedMs(offer.offeredAt, turn.at) < OFFER_TIMEOUT_MS
    ) {
      continue;
    }
    ownership.offers.set(server, {
      to: host,
      offeredAt: turn.at,
      acceptedBy: undefined,
    });
    servers.set(host, [...(servers.get(host) ?? []), server]);
  }
  for (const [to, offered] of servers) {
    const message = {type: 'servers-offered' as const, servers: offered};
    turn.perform({type: 'send-peer-message', to, message});
  }
};

/** Accepts offered servers while this host serves. */
export const acceptServers = (
  state: CoreState,
  {servers}: Message<'servers-offered'>,
  {host}: Sender,
  turn: Turn,
): void => {
  if (standingOf(state) === 'serving') {
    turn.perform({
      type: 'send-peer-message',
      to: host,
      message: {type: 'servers-accepted', servers},
    });
  }
};

/** Notes which incarnation accepted an offer. */
export const offerAccepted = (
  {ownership}: CoreState,
  {servers}: Message<'servers-accepted'>,
  {host, incarnation}: Sender,
): void => {
  for (const server of servers) {
    const offer = ownership.offers.get(server);
    if (offer?.to === host) {
      offer.acceptedBy = incarnation;
    }
  }
};

/**
 * Stops to act on the accepted servers of a zone and returns the claims that
 * give them away.
 */
export const yieldAccepted = (
  state: CoreState,
  zone: ZoneId,
  limit: number,
  turn: Turn,
): readonly ClaimProposal[] => {
  const {offers, holdings} = state.ownership;
  const proposals: ClaimProposal[] = [];
  for (const [server, {to, acceptedBy}] of offers) {
    const holding = holdings.get(server);
    if (
      acceptedBy !== undefined &&
      holding?.zone === zone &&
      holding.phase.kind === 'active' &&
      proposals.length < limit
    ) {
      offers.delete(server);
      yieldServer(state, server, turn);
      proposals.push({
        server,
        owner: to,
        incarnation: acceptedBy,
        grant: 'handover',
      });
    }
  }
  return proposals;
};

/** Stops to act on a server, before a write gives it away. */
export const yieldServer = (
  state: CoreState,
  server: ServerId,
  turn: Turn,
): void => {
  const holding = state.ownership.holdings.get(server);
  if (holding !== undefined) {
    const inFlight = inFlightOf(state, server).map(({adapter, version}) => ({
      adapter,
      version,
    }));
    holding.phase = {kind: 'yielding', inFlight};
    turn.raise({type: 'server-lost', server});
  }
};

/** Keeps the previous owner's list and reads the claim that goes with it. */
export const takeInheritedList = (
  state: CoreState,
  {server, fencingNumber, inFlight}: Message<'server-handed-over'>,
  _sender: Sender,
  turn: Turn,
): void => {
  state.ownership.inheritedLists.set(server, {fencingNumber, inFlight});
  const holding = state.ownership.holdings.get(server);
  const zone = describeServer(state, server)?.zone;
  if (holding !== undefined) {
    activateWhenDue(state, holding, turn);
  } else if (zone !== undefined) {
    turn.raise({type: 'record-wanted', kind: ZONE_RECORD_KIND, name: zone});
  }
};
