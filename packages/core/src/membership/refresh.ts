import {elapsedMs} from '../instant.js';
import type {HostId, ZoneId} from '../identifiers.js';
import {hashFraction} from '../lib/hash.js';
import type {CoreState} from '../state.js';
import type {Turn} from '../turn.js';
import {askPeer, expireAsks} from './exchange.js';
import {readHostList} from './host-list.js';
import {updateReadiness} from './readiness.js';
import {
  CONFIGURATION_HEAD,
  copyAgeMs,
  readRecord,
  ZONE_RECORD_KIND,
} from './records.js';
import {rankByRendezvous} from './rendezvous.js';
import {
  listedZones,
  liveHosts,
  possibleTakers,
  recordCopy,
  silentSince,
} from './selectors.js';

/** Milliseconds between two refreshes of the copies of platform state. */
export const REFRESH_INTERVAL_MS = 1_000;

/** Share by which an interval varies, against hosts in step. */
const JITTER_SHARE = 0.1;

/** Age at which a relayed copy makes a host read the platform itself. */
const STALE_COPY_MS = 2_500;

/** Own reads in a row are this far apart at first while copies are stale. */
const STALE_READ_INTERVAL_MS = 2_000;

/** Refreshes between two asks for the records of other zones. */
const OTHER_ZONES_EVERY = 2;

/** Refreshes the copies of platform state and arms the next refresh. */
export const refresh = (state: CoreState, turn: Turn): void => {
  const {membership} = state;
  expireAsks(state, turn);
  membership.refreshes += 1;
  const reader = zoneReader(state, state.settings.zone);
  const reads = reader === undefined || reader === state.settings.host;
  membership.readerSince = reads
    ? (membership.readerSince ?? turn.at)
    : undefined;
  if (reads) {
    readOwnZone(state, turn);
    refreshOtherZones(state, turn);
  } else {
    askPeer(state, reader, turn);
    readIfStale(state, turn);
  }
  askNeighbours(state, reader, turn);
  updateReadiness(state, turn);
  turn.perform({
    type: 'set-timer',
    area: 'membership',
    timer: 'refresh',
    delayMs: withJitter(state, REFRESH_INTERVAL_MS),
  });
};

/**
 * The host that reads the platform for a zone and relays it: the first of the
 * zone's live hosts in an order that all hosts agree on, silent ones left out.
 * Undefined when the zone has no live host.
 */
export const zoneReader = (
  state: CoreState,
  zone: ZoneId,
): HostId | undefined => {
  const candidates = liveHosts(state)
    .filter((host) => host.zone === zone)
    .map(({host}) => host);
  return rankByRendezvous(`reader/${zone}`, candidates).find(
    (host) => silentSince(state, host) === undefined,
  );
};

const withJitter = (state: CoreState, intervalMs: number): number => {
  const {identity, membership} = state;
  const fraction = hashFraction(
    `${identity.incarnation}/${membership.refreshes}`,
  );
  return Math.round(intervalMs * (1 + JITTER_SHARE * (2 * fraction - 1)));
};

const readOwnZone = (state: CoreState, turn: Turn): void => {
  readHostList(state, turn);
  readRecord(state, ZONE_RECORD_KIND, state.settings.zone, turn);
  readRecord(state, CONFIGURATION_HEAD.kind, CONFIGURATION_HEAD.name, turn);
};

/** Zones without a live host have no reader: their record is read here. */
const refreshOtherZones = (state: CoreState, turn: Turn): void => {
  const isDue = state.membership.refreshes % OTHER_ZONES_EVERY === 0;
  for (const zone of listedZones(state)) {
    if (zone === state.settings.zone) {
      continue;
    }
    const reader = zoneReader(state, zone);
    if (reader === undefined) {
      readRecord(state, ZONE_RECORD_KIND, zone, turn);
    } else if (isDue) {
      askPeer(state, reader, turn);
    }
  }
};

/** Reads the platform itself when the zone's reader does not keep up. */
const readIfStale = (state: CoreState, turn: Turn): void => {
  const {membership, settings} = state;
  const isRecordStale =
    copyAgeMs(state, ZONE_RECORD_KIND, settings.zone, turn.at) > STALE_COPY_MS;
  const {hostListReadAt, staleReadAt} = membership;
  const isListStale =
    hostListReadAt === undefined ||
    elapsedMs(hostListReadAt, turn.at) > STALE_COPY_MS;
  if (!isRecordStale && !isListStale) {
    return;
  }
  if (isListStale) {
    readHostList(state, turn);
  }
  if (
    isRecordStale &&
    (staleReadAt === undefined ||
      elapsedMs(staleReadAt, turn.at) >= STALE_READ_INTERVAL_MS)
  ) {
    membership.staleReadAt = turn.at;
    readOwnZone(state, turn);
  }
};

/**
 * Asks one other host of the zone in turn, which notices hosts that have
 * stopped; asks all of them while the platform does not answer this host.
 */
const askNeighbours = (
  state: CoreState,
  reader: HostId | undefined,
  turn: Turn,
): void => {
  const {settings, membership} = state;
  const neighbours = possibleTakers(state)
    .map(({host}) => host)
    .filter((host) => host !== reader);
  const record = recordCopy(state, ZONE_RECORD_KIND, settings.zone);
  const isStoreSilent =
    record?.failedAt !== undefined &&
    (record.readAt === undefined ||
      record.failedAt.monotonicMs > record.readAt.monotonicMs);
  const asked = isStoreSilent
    ? neighbours
    : neighbours
        .slice(membership.refreshes % Math.max(1, neighbours.length))
        .slice(0, 1);
  for (const host of asked) {
    askPeer(state, host, turn);
  }
};
