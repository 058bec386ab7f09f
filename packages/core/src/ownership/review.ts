import type {HostId, ServerId, ZoneId} from '../identifiers.js';
import {elapsedMs, type Instant} from '../instant.js';
import {hashFraction} from '../lib/hash.js';
import {copyAgeMs, ZONE_RECORD_KIND} from '../membership/records.js';
import {
  describeServer,
  incarnationOf,
  listedHosts,
  listedServers,
  liveHosts,
  silentSince,
  standingOf,
} from '../membership/selectors.js';
import {concernedZones, concerningOwners} from './selectors.js';
import type {CoreState} from '../state.js';
import type {Turn} from '../turn.js';
import {assignUnowned, planMoves, type ZoneAssignment} from './assignment.js';
import {activateHoldings} from './claims.js';
import {offerServers, yieldAccepted, yieldServer} from './handover.js';
import {extendOutageProof} from './validity.js';
import {repeatWrites, writeRecord} from './writes.js';
import {
  type Claim,
  type ClaimProposal,
  EMPTY_ZONE_RECORD,
} from './zone-record.js';

/** Milliseconds between two reviews of the claims. */
const REVIEW_INTERVAL_MS = 500;

/** Share by which the interval varies, against hosts in step. */
const REVIEW_JITTER_SHARE = 0.3;

/** Claims that one write takes at most. */
const MAXIMUM_CLAIMS_PER_WRITE = 8;

/** Milliseconds between two moves for the sake of balance. */
const BALANCING_INTERVAL_MS = 2_000;

/** Silence of an owner after which its servers are taken, milliseconds. */
const SILENT_OWNER_MS = 10_000;

/** Silence after which a host is not given servers, milliseconds. */
const SILENT_CANDIDATE_MS = 3_000;

/** Age of the copy of a zone's record on which claims are still based. */
const MAXIMUM_BASIS_AGE_MS = 3_000;

/** Milliseconds for which a server that is no longer listed stays claimed. */
const UNLISTED_RETENTION_MS = 60_000;

/** Compares the claims with who should hold them, and arms the next review. */
export const review = (state: CoreState, turn: Turn): void => {
  const {ownership, identity} = state;
  activateHoldings(state, turn);
  repeatWrites(state, turn);
  noteAnswering(state, turn.at);
  extendOutageProof(state, turn.at);
  for (const zone of concernedZones(state)) {
    if (isWritable(state, zone, turn.at)) {
      reviewZone(state, zone, turn);
    }
  }
  askDistantOwners(state, turn);
  raiseWhenHandedOver(state, turn);
  ownership.sequence += 1;
  const fraction = hashFraction(
    `${identity.incarnation}/${ownership.sequence}`,
  );
  turn.perform({
    type: 'set-timer',
    area: 'ownership',
    timer: 'review',
    delayMs: Math.round(
      REVIEW_INTERVAL_MS * (1 + REVIEW_JITTER_SHARE * (2 * fraction - 1)),
    ),
  });
};

/** Time without the platform's answers says nothing about other hosts. */
const noteAnswering = (state: CoreState, at: Instant): void => {
  const {ownership, settings} = state;
  if (
    copyAgeMs(state, ZONE_RECORD_KIND, settings.zone, at) > MAXIMUM_BASIS_AGE_MS
  ) {
    ownership.answeringSince = undefined;
  } else {
    ownership.answeringSince ??= at;
  }
};

/**
 * Owners from other zones, from the time when a zone had no host, are not asked
 * anyway: whether they still run must be found out.
 */
const askDistantOwners = (state: CoreState, turn: Turn): void => {
  const zoneOf = new Map(
    listedHosts(state).map(({host, zone}) => [host, zone]),
  );
  for (const host of concerningOwners(state)) {
    if (zoneOf.has(host) && zoneOf.get(host) !== state.settings.zone) {
      turn.raise({type: 'peer-wanted', host});
    }
  }
};

const isWritable = (state: CoreState, zone: ZoneId, at: Instant): boolean =>
  !state.ownership.writes.has(zone) &&
  state.membership.hostList !== undefined &&
  copyAgeMs(state, ZONE_RECORD_KIND, zone, at) <= MAXIMUM_BASIS_AGE_MS;

const reviewZone = (state: CoreState, zone: ZoneId, turn: Turn): void => {
  const {settings} = state;
  const assignment = assignmentOf(state, zone, turn.at);
  planHandovers(state, assignment, turn);
  const dropped = unlistedServers(state, zone, turn);
  const handedOver = yieldAccepted(state, zone, MAXIMUM_CLAIMS_PER_WRITE, turn);
  const released = releasedServers(state, zone, assignment, turn);
  const yielded = [...dropped, ...[...handedOver, ...released].map(serverOf)];
  const taken = assignUnowned(assignment)
    .filter(({host}) => host === settings.host)
    .slice(0, MAXIMUM_CLAIMS_PER_WRITE)
    .map(({server}) => toProposal(state, zone, server));
  const proposals = [...handedOver, ...released, ...taken];
  if (proposals.length > 0 || dropped.length > 0) {
    writeRecord(state, zone, {proposals, dropped, yielded}, turn);
  }
};

const serverOf = ({server}: ClaimProposal): ServerId => server;

/** Who owns the zone's servers, and which hosts may own them. */
const assignmentOf = (
  state: CoreState,
  zone: ZoneId,
  at: Instant,
): ZoneAssignment => {
  const claims = claimsOf(state, zone);
  const owners = new Map<ServerId, HostId>();
  const unowned: ServerId[] = [];
  for (const {server, kind, zone: serverZone} of listedServers(state)) {
    // Plain services are called by any host; only engines have owners.
    if (serverZone !== zone || kind !== 'engine') {
      continue;
    }
    const claim = claims[server];
    if (claim === undefined || isOrphan(state, claim, at)) {
      unowned.push(server);
    } else {
      owners.set(server, claim.owner);
    }
  }
  return {owners, unowned, candidates: candidatesOf(state, zone, at)};
};

const claimsOf = (
  {ownership}: CoreState,
  zone: ZoneId,
): Readonly<Record<ServerId, Claim>> =>
  (ownership.zones.get(zone)?.record ?? EMPTY_ZONE_RECORD).claims;

/** Whether a claim's owner is known to be gone. */
const isOrphan = (state: CoreState, claim: Claim, at: Instant): boolean => {
  if (claim.grant === 'released') {
    return true;
  }
  const incarnation = incarnationOf(state, claim.owner);
  return (
    !listedHosts(state).some(({host}) => host === claim.owner) ||
    (incarnation !== undefined && incarnation !== claim.incarnation) ||
    isSilent(state, claim.owner, at)
  );
};

/** Whether an owner was silent all along while the platform answered. */
const isSilent = (state: CoreState, owner: HostId, at: Instant): boolean => {
  const since = silentSince(state, owner);
  const {answeringSince} = state.ownership;
  return (
    since !== undefined &&
    answeringSince !== undefined &&
    elapsedMs(since, at) >= SILENT_OWNER_MS &&
    elapsedMs(answeringSince, at) >= SILENT_OWNER_MS
  );
};

/** Live hosts of the zone; those of all zones while it has none. */
const candidatesOf = (
  state: CoreState,
  zone: ZoneId,
  at: Instant,
): readonly HostId[] => {
  const hosts = liveHosts(state);
  const near = hosts.filter((host) => host.zone === zone);
  return (near.length > 0 ? near : hosts)
    .map(({host}) => host)
    .filter((host) => {
      const since = silentSince(state, host);
      return since === undefined || elapsedMs(since, at) < SILENT_CANDIDATE_MS;
    });
};

const planHandovers = (
  state: CoreState,
  assignment: ZoneAssignment,
  turn: Turn,
): void => {
  const {ownership, settings} = state;
  const moves = planMoves(assignment, settings.host);
  if (moves.length === 0 || !assignment.candidates.includes(settings.host)) {
    offerServers(state, moves, turn);
    return;
  }
  const {lastMoveAt} = ownership;
  if (
    assignment.unowned.length === 0 &&
    (lastMoveAt === undefined ||
      elapsedMs(lastMoveAt, turn.at) >= BALANCING_INTERVAL_MS)
  ) {
    ownership.lastMoveAt = turn.at;
    offerServers(state, moves, turn);
  }
};

/** Stops on servers that the host list has not named for long. */
const unlistedServers = (
  state: CoreState,
  zone: ZoneId,
  turn: Turn,
): readonly ServerId[] => {
  const dropped: ServerId[] = [];
  for (const holding of state.ownership.holdings.values()) {
    if (describeServer(state, holding.server) !== undefined) {
      holding.unlistedSince = undefined;
      continue;
    }
    holding.unlistedSince ??= turn.at;
    if (
      holding.zone === zone &&
      holding.phase.kind === 'active' &&
      elapsedMs(holding.unlistedSince, turn.at) >= UNLISTED_RETENTION_MS
    ) {
      yieldServer(state, holding.server, turn);
      dropped.push(holding.server);
    }
  }
  return dropped;
};

/** Gives up servers that this host cannot hand over to anybody. */
const releasedServers = (
  state: CoreState,
  zone: ZoneId,
  {candidates}: ZoneAssignment,
  turn: Turn,
): readonly ClaimProposal[] => {
  const {ownership, settings, identity} = state;
  if (standingOf(state) === 'serving' || candidates.length > 0) {
    return [];
  }
  return [...ownership.holdings.values()]
    .filter(
      (holding) => holding.zone === zone && holding.phase.kind === 'active',
    )
    .map(({server}) => {
      yieldServer(state, server, turn);
      return {
        server,
        owner: settings.host,
        incarnation: identity.incarnation,
        grant: 'released',
      };
    });
};

const toProposal = (
  state: CoreState,
  zone: ZoneId,
  server: ServerId,
): ClaimProposal => ({
  server,
  owner: state.settings.host,
  incarnation: state.identity.incarnation,
  grant: grantFor(claimsOf(state, zone)[server]),
});

const grantFor = (claim: Claim | undefined): Claim['grant'] => {
  if (claim === undefined) {
    return 'first';
  }
  return claim.grant === 'released' ? 'handover' : 'takeover';
};

const raiseWhenHandedOver = (state: CoreState, turn: Turn): void => {
  const {ownership} = state;
  if (
    standingOf(state) !== 'serving' &&
    ownership.holdings.size === 0 &&
    ownership.writes.size === 0
  ) {
    turn.raise({type: 'claims-handed-over'});
  }
};
