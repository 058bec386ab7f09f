import type {HostId, ServerId, ZoneId} from '../identifiers.js';
import {elapsedMs, type Instant} from '../instant.js';
import {ZONE_RECORD_KIND} from '../membership/records.js';
import {
  answeredAskAt,
  describeServer,
  hostListReadAt,
  listedHosts,
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
 * A server that checks fencing numbers is the arbiter itself. For one that
 * ignores them, this host must be named by a host list as recent as a proof,
 * and every other host that could have taken the claim must have answered
 * within the same time, each answer passing on the newest record it knows.
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
  if (describeServer(state, server)?.checksFencing === true) {
    return true;
  }
  return (
    zone === state.settings.zone &&
    isValidProof(hostListReadAt(state), at) &&
    haveTakersAnswered(state, zone, at)
  );
};

const haveTakersAnswered = (
  state: CoreState,
  zone: ZoneId,
  at: Instant,
): boolean => {
  const self: HostId = state.settings.host;
  const hosts = listedHosts(state).filter((host) => host.zone === zone);
  return (
    hosts.some(({host}) => host === self) &&
    hosts.every(
      ({host}) => host === self || isValidProof(answeredAskAt(state, host), at),
    )
  );
};
