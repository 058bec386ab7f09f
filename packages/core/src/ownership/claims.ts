import type {AdapterVersion, ServerId, ZoneId} from '../identifiers.js';
import type {Instant} from '../instant.js';
import {parseJson} from '../lib/parse-json.js';
import {describeServer, recordCopy} from '../membership/selectors.js';
import {ZONE_RECORD_KIND} from '../membership/records.js';
import type {CoreState} from '../state.js';
import type {Turn} from '../turn.js';
import type {Holding, HoldingPhase, OwnershipState} from './state.js';
import {TAKEOVER_MARGIN_MS, TAKEOVER_WAIT_MS} from './validity.js';
import {
  type Claim,
  EMPTY_ZONE_RECORD,
  isHeldBy,
  type ZoneRecord,
  zoneRecordSchema,
} from './zone-record.js';

/** Milliseconds for which a new owner waits for the previous one's list. */
const INHERITED_LIST_WAIT_MS = 1_000;

/** Takes over a newer version of a zone's record from the copy of it. */
export const takeZoneRecord = (
  state: CoreState,
  zone: ZoneId,
  turn: Turn,
): void => {
  const copy = recordCopy(state, ZONE_RECORD_KIND, zone);
  const known = state.ownership.zones.get(zone);
  if (copy === undefined || copy.version <= (known?.version ?? -1)) {
    return;
  }
  const record =
    copy.value === undefined
      ? EMPTY_ZONE_RECORD
      : parseJson(zoneRecordSchema, copy.value);
  if (record === undefined) {
    return;
  }
  state.ownership.zones.set(zone, {version: copy.version, record});
  takeOwners(state.ownership, known?.record ?? EMPTY_ZONE_RECORD, record, turn);
  takeHoldings(state, zone, record, turn);
};

/** Starts to act on the claims whose wait is over. */
export const activateHoldings = (state: CoreState, turn: Turn): void => {
  for (const holding of state.ownership.holdings.values()) {
    activateWhenDue(state, holding, turn);
  }
};

/** Starts to act on a claim if its wait is over. */
export const activateWhenDue = (
  state: CoreState,
  holding: Holding,
  turn: Turn,
): void => {
  const {phase, server} = holding;
  if (phase.kind === 'waiting') {
    if (waitedMs(phase, turn.at) >= TAKEOVER_WAIT_MS) {
      activate(holding, 'unknown', [], turn);
    }
  } else if (
    phase.kind === 'inheriting' &&
    waitedMs(phase, turn.at) >= orderDelayMs(state, server)
  ) {
    inherit(state, holding, phase, turn);
  }
};

/** Acts again on a claim that could not be given away. */
export const resumeHolding = (holding: Holding, turn: Turn): void => {
  if (holding.phase.kind === 'yielding') {
    activate(holding, 'nothing', holding.phase.inFlight, turn);
  }
};

const takeOwners = (
  {owners}: OwnershipState,
  before: ZoneRecord,
  after: ZoneRecord,
  turn: Turn,
): void => {
  const servers = new Set([
    ...Object.keys(before.claims),
    ...Object.keys(after.claims),
  ]);
  for (const server of servers) {
    const claim = after.claims[server];
    const owner = claim?.grant === 'released' ? undefined : claim?.owner;
    if (owners.get(server) === owner) {
      continue;
    }
    if (owner === undefined) {
      owners.delete(server);
    } else {
      owners.set(server, owner);
    }
    turn.raise({type: 'owner-changed', server});
  }
};

const takeHoldings = (
  state: CoreState,
  zone: ZoneId,
  record: ZoneRecord,
  turn: Turn,
): void => {
  const {ownership, settings, identity} = state;
  for (const holding of ownership.holdings.values()) {
    const claim = record.claims[holding.server];
    if (holding.zone !== zone) {
      continue;
    }
    if (claim?.fencingNumber === holding.fencingNumber) {
      resumeHolding(holding, turn);
      continue;
    }
    ownership.holdings.delete(holding.server);
    if (holding.phase.kind === 'active') {
      turn.raise({type: 'server-lost', server: holding.server});
    }
    sendInheritedList(holding, claim, turn);
  }
  for (const [server, claim] of Object.entries(record.claims)) {
    if (
      isHeldBy(claim, settings.host, identity.incarnation) &&
      !ownership.holdings.has(server)
    ) {
      hold(state, server, zone, claim, turn);
    }
  }
};

/** Tells the new owner what this host's requests still use. */
const sendInheritedList = (
  {server, phase}: Holding,
  claim: Claim | undefined,
  turn: Turn,
): void => {
  if (claim?.grant === 'handover' && phase.kind === 'yielding') {
    const {owner, fencingNumber} = claim;
    const inFlight = [...phase.inFlight];
    turn.perform({
      type: 'send-peer-message',
      to: owner,
      message: {type: 'server-handed-over', server, fencingNumber, inFlight},
    });
  }
};

const hold = (
  state: CoreState,
  server: ServerId,
  zone: ZoneId,
  claim: Claim,
  turn: Turn,
): void => {
  const holding: Holding = {
    server,
    zone,
    fencingNumber: claim.fencingNumber,
    phase:
      claim.grant === 'takeover'
        ? {kind: 'waiting', since: turn.at}
        : {kind: 'inheriting', since: turn.at},
    unlistedSince: undefined,
  };
  state.ownership.holdings.set(server, holding);
  turn.perform({
    type: 'audit',
    entry: {
      actor: 'basilworks',
      action: 'claim-taken',
      subject: server,
      after: `${claim.owner} ${claim.grant} ${claim.fencingNumber}`,
    },
  });
  if (claim.grant === 'first') {
    activate(holding, 'nothing', [], turn);
  } else {
    activateWhenDue(state, holding, turn);
  }
};

/** Uses the previous owner's list, or does without when it is overdue. */
const inherit = (
  {ownership}: CoreState,
  holding: Holding,
  phase: Extract<HoldingPhase, {readonly kind: 'inheriting'}>,
  turn: Turn,
): void => {
  const list = ownership.inheritedLists.get(holding.server);
  if (list?.fencingNumber === holding.fencingNumber) {
    ownership.inheritedLists.delete(holding.server);
    activate(holding, 'nothing', list.inFlight, turn);
  } else if (waitedMs(phase, turn.at) >= INHERITED_LIST_WAIT_MS) {
    activate(holding, 'unknown', [], turn);
  }
};

/**
 * Milliseconds in which the previous owner's last orders may still arrive,
 * unless the server refuses them itself.
 */
const orderDelayMs = (state: CoreState, server: ServerId): number =>
  describeServer(state, server)?.checksFencing === true
    ? 0
    : TAKEOVER_MARGIN_MS;

/** A wait counts by the clock that never jumps ahead. */
const waitedMs = ({since}: {readonly since: Instant}, at: Instant): number =>
  at.monotonicMs - since.monotonicMs;

const activate = (
  holding: Holding,
  inherited: 'nothing' | 'unknown',
  inFlight: readonly AdapterVersion[],
  turn: Turn,
): void => {
  holding.phase = {kind: 'active'};
  turn.raise({
    type: 'server-acquired',
    server: holding.server,
    fencingNumber: holding.fencingNumber,
    inherited,
    inFlight,
  });
};
