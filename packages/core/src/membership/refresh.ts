import {elapsedMs} from '../instant.js';
import type {HostId, ZoneId} from '../identifiers.js';
import {hashFraction} from '../lib/hash.js';
import {claimedZones} from '../ownership/selectors.js';
import type {CoreState} from '../state.js';
import type {Turn} from '../turn.js';
import {expireQueries, isQuiet, queryPeer} from './exchange.js';
import {requestHostList} from './host-list.js';
import {updateReadiness} from './readiness.js';
import {
  CONFIGURATION_HEAD,
  copyAgeMs,
  readRecord,
  ZONE_RECORD_KIND,
} from './records.js';
import {relayPlace, type RelayPlace, zoneReader} from './relay.js';
import {listedZones, possibleTakers, recordCopy} from './selectors.js';

/** Mean milliseconds between refreshes of the copies of platform state. */
export const REFRESH_INTERVAL_MS = 1_000;

/** Relative jitter of the interval; keeps hosts from refreshing in step. */
const JITTER_FRACTION = 0.1;

/** Milliseconds after which a copy one hop from the reader is stale. */
const STALE_COPY_MS = 2_500;

/** Milliseconds of age allowed for each further hop of the relay. */
const STALE_COPY_STEP_MS = 1_100;

/** Minimum milliseconds between direct reads caused by a stale record. */
const DIRECT_READ_INTERVAL_MS = 2_000;

/** Other zones whose records one refresh requests, round-robin. */
const OTHER_ZONES_PER_REFRESH = 1;

/** Number of refreshes from one query of a neighbour to the next. */
const REFRESHES_PER_NEIGHBOUR_QUERY = 2;

/** Refreshes the copies of platform state and sets the next timer. */
export const refreshPlatformState = (state: CoreState, turn: Turn): void => {
  const {membership} = state;
  expireQueries(state, turn);
  membership.refreshCount += 1;
  const place = relayPlace(state);
  if (place.parent === undefined) {
    readPlatformState(state, turn);
    refreshOtherZones(state, turn);
  } else {
    queryPeer(state, place.parent, zonesToRefresh(state), turn);
    readDirectlyIfStale(state, place, turn);
  }
  queryNeighbours(state, place, turn);
  updateReadiness(state, turn);
  turn.perform({
    type: 'set-timer',
    area: 'membership',
    timer: 'refresh',
    delayMs: withJitter(state, REFRESH_INTERVAL_MS),
  });
};

const withJitter = (state: CoreState, intervalMs: number): number => {
  const {identity, membership} = state;
  const fraction = hashFraction(
    `${identity.incarnation}/${membership.refreshCount}`,
  );
  return Math.round(intervalMs * (1 + JITTER_FRACTION * (2 * fraction - 1)));
};

/** Reads the host list, this zone's record and the configuration head. */
const readPlatformState = (state: CoreState, turn: Turn): void => {
  requestHostList(state, turn);
  readRecord(state, ZONE_RECORD_KIND, state.settings.zone, turn);
  readRecord(state, CONFIGURATION_HEAD.kind, CONFIGURATION_HEAD.name, turn);
};

/**
 * Refreshes the records of other zones from their readers. A zone without a
 * live host has no reader, so its record is read from the platform.
 */
const refreshOtherZones = (state: CoreState, turn: Turn): void => {
  for (const zone of zonesToRefresh(state)) {
    const reader = zoneReader(state, zone);
    if (zone === state.settings.zone) {
      continue;
    }
    if (reader === undefined) {
      readRecord(state, ZONE_RECORD_KIND, zone, turn);
    } else {
      queryPeer(state, reader, [zone], turn);
    }
  }
};

/**
 * Zones whose records are refreshed now: this host's own, those in which it
 * holds claims, those whose record it never read, and some others round-robin.
 */
const zonesToRefresh = (state: CoreState): readonly ZoneId[] => {
  const {settings, membership} = state;
  const others = listedZones(state).filter((zone) => zone !== settings.zone);
  const offset = membership.refreshCount * OTHER_ZONES_PER_REFRESH;
  const rotated = [...others, ...others]
    .slice(offset % Math.max(1, others.length))
    .slice(0, OTHER_ZONES_PER_REFRESH);
  const unknown = others.filter(
    (zone) => recordCopy(state, ZONE_RECORD_KIND, zone)?.readAt === undefined,
  );
  return [
    ...new Set([settings.zone, ...claimedZones(state), ...unknown, ...rotated]),
  ];
};

/** Reads the platform directly when the relayed copies are stale. */
const readDirectlyIfStale = (
  state: CoreState,
  {depth}: RelayPlace,
  turn: Turn,
): void => {
  const {membership, settings} = state;
  const staleMs = STALE_COPY_MS + (depth - 1) * STALE_COPY_STEP_MS;
  const isRecordStale =
    copyAgeMs(state, ZONE_RECORD_KIND, settings.zone, turn.at) > staleMs;
  const {hostListReadAt, directReadAt} = membership;
  const isListStale =
    hostListReadAt === undefined ||
    elapsedMs(hostListReadAt, turn.at) > staleMs;
  if (!isRecordStale && !isListStale) {
    return;
  }
  if (isListStale) {
    requestHostList(state, turn);
  }
  if (
    isRecordStale &&
    (directReadAt === undefined ||
      elapsedMs(directReadAt, turn.at) >= DIRECT_READ_INTERVAL_MS)
  ) {
    membership.directReadAt = turn.at;
    readPlatformState(state, turn);
  }
};

/**
 * Queries a quiet neighbour, round-robin, to detect hosts that have stopped.
 * Queries all neighbours while this host's reads of the platform fail.
 */
const queryNeighbours = (
  state: CoreState,
  {parent}: RelayPlace,
  turn: Turn,
): void => {
  const {settings} = state;
  const neighbours = possibleTakers(state)
    .map(({host}) => host)
    .filter((host) => host !== parent);
  const record = recordCopy(state, ZONE_RECORD_KIND, settings.zone);
  const isStoreFailing =
    record?.failedAt !== undefined &&
    (record.readAt === undefined ||
      record.failedAt.monotonicMs > record.readAt.monotonicMs);
  const queried = isStoreFailing ? neighbours : nextQuietNeighbour(state, turn);
  for (const host of queried) {
    queryPeer(state, host, [settings.zone], turn);
  }
};

/** The next quiet neighbour, round-robin; empty if none is due. */
const nextQuietNeighbour = (
  state: CoreState,
  turn: Turn,
): readonly HostId[] => {
  const {membership} = state;
  if (membership.refreshCount % REFRESHES_PER_NEIGHBOUR_QUERY !== 0) {
    return [];
  }
  const quiet = possibleTakers(state)
    .map(({host}) => host)
    .filter((host) => isQuiet(state, host, turn.at));
  const next =
    quiet[
      (membership.refreshCount / REFRESHES_PER_NEIGHBOUR_QUERY) % quiet.length
    ];
  return next === undefined ? [] : [next];
};
