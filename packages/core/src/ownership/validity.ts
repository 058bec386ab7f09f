import type {ServerId, ZoneId} from '../identifiers.js';
import {elapsedMs, type Instant} from '../instant.js';
import {ZONE_RECORD_KIND} from '../membership/records.js';
import {
  answeredQueryAt,
  describeServer,
  hostListReadAt,
  listedHosts,
  possibleTakers,
  recordCopy,
} from '../membership/selectors.js';
import type {CoreState} from '../state.js';

/**
 * Milliseconds from the start of a read of the zone's record for which it
 * proves that a claim in it was not revoked by a host that acts already.
 */
export const VALIDITY_MS = 5_000;

/** Covers clock rates that differ and orders on their way to a server. */
export const TAKEOVER_MARGIN_MS = 1_500;

/** Milliseconds that a taker waits from when it knows that it revoked. */
export const TAKEOVER_WAIT_MS = VALIDITY_MS + TAKEOVER_MARGIN_MS;

/** Milliseconds from the start of a failed read that shows an outage. */
const OUTAGE_EVIDENCE_MS = 10_000;

/** Whether an instant on this host's clocks is within the validity. */
export const isValidProof = (
  provedAt: Instant | undefined,
  at: Instant,
): boolean => provedAt !== undefined && elapsedMs(provedAt, at) < VALIDITY_MS;

/** Whether the record of the server's zone is known to be in force. */
export const isRecordFresh = (
  state: CoreState,
  zone: ZoneId,
  at: Instant,
): boolean =>
  isValidProof(recordCopy(state, ZONE_RECORD_KIND, zone)?.readAt, at);

/**
 * Whether a claim may be relied on although the zone's record could not be
 * read for longer than its validity. Only while this host's own reads fail; a
 * host that was paused has no failed read that is recent enough.
 *
 * A server that checks fencing numbers is the arbiter itself, but forgets the
 * numbers when it restarts: this host must not be cut off from all others. For
 * one that ignores them, every host that could have taken the claim must have
 * said that it knows of no newer record.
 */
export const isClaimBeyondDispute = (
  state: CoreState,
  server: ServerId,
  zone: ZoneId,
  at: Instant,
): boolean => {
  const failedAt = recordCopy(state, ZONE_RECORD_KIND, zone)?.failedAt;
  if (failedAt === undefined || elapsedMs(failedAt, at) > OUTAGE_EVIDENCE_MS) {
    return false;
  }
  return (
    isValidProof(state.ownership.outageProofs.get(zone), at) ||
    (describeServer(state, server)?.checksFencing === true &&
      possibleTakers(state).some(({host}) =>
        isValidProof(answeredQueryAt(state, host), at),
      ))
  );
};

/**
 * Extends the proof that stands in for a read of this zone's record: the
 * earliest of what shows that nobody had taken its claims, namely a host list
 * that names this host and an answer of each host that might take them. Only a
 * proof that is still valid is extended, so that no time remains uncovered.
 */
export const extendOutageProof = (state: CoreState, at: Instant): void => {
  const {zone} = state.settings;
  const {outageProofs} = state.ownership;
  const isUnbroken =
    isRecordFresh(state, zone, at) || isValidProof(outageProofs.get(zone), at);
  const shownAt = isUnbroken ? earliestEvidence(state) : undefined;
  if (shownAt === undefined) {
    return;
  }
  const known = outageProofs.get(zone);
  if (known === undefined || shownAt.monotonicMs > known.monotonicMs) {
    outageProofs.set(zone, shownAt);
  }
};

const earliestEvidence = (state: CoreState): Instant | undefined => {
  const self = state.settings.host;
  if (!listedHosts(state).some(({host}) => host === self)) {
    return undefined;
  }
  let earliest = hostListReadAt(state);
  for (const {host} of possibleTakers(state)) {
    const answeredAt = answeredQueryAt(state, host);
    if (
      answeredAt === undefined ||
      (earliest !== undefined && answeredAt.monotonicMs < earliest.monotonicMs)
    ) {
      earliest = answeredAt;
    }
    if (earliest === undefined) {
      return undefined;
    }
  }
  return earliest;
};
