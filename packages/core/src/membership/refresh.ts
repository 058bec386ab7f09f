import {elapsedMs} from '../instant.js';
import type {HostId, ZoneId} from '../identifiers.js';
import {hashFraction} from '../lib/hash.js';
import {claimedZones} from '../ownership/selectors.js';
import type {CoreState} from '../state.js';
import type {Turn} from '../turn.js';
import {askPeer, expireAsks, isQuiet} from './exchange.js';
import {readHostList} from './host-list.js';
import {updateReadiness} from './readiness.js';
import {
  CONFIGURATION_HEAD,
  copyAgeMs,
  readRecord,
  ZONE_RECORD_KIND,
} from './records.js';
import {relayPlace, type RelayPlace, zoneReader} from './relay.js';
import {listedZones, possibleTakers, recordCopy} from './selectors.js';

/** Milliseconds between two refreshes of the copies of platform state. */
export const REFRESH_INTERVAL_MS = 1_000;

/** Share by which an interval varies, against hosts in step. */
const JITTER_SHARE = 0.1;

/** Age at which the reader's copy counts as stale, one step away. */
const STALE_COPY_MS = 2_500;

/** Age that a copy may gain with each further step of the relay. */
const STALE_COPY_STEP_MS = 1_100;

/** Own reads in a row are this far apart at first while copies are stale. */
const STALE_READ_INTERVAL_MS = 2_000;

/** Other zones whose records are asked for in one refresh, in turn. */
const OTHER_ZONES_PER_REFRESH = 1;

/** Refreshes between two asks of a neighbour. */
const NEIGHBOUR_EVERY = 2;

/** Refreshes the copies of platform state and arms the next refresh. */
export const refresh = (state: CoreState, turn: Turn): void => {
  const {membership} = state;
  expireAsks(state, turn);
  membership.refreshes += 1;
  const place = relayPlace(state);
  if (place.parent === undefined) {
    readOwnZone(state, turn);
    refreshOtherZones(state, turn);
  } else {
    askPeer(state, place.parent, zonesOfRefresh(state), turn);
    readIfStale(state, place, turn);
  }
  askNeighbours(state, place, turn);
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
  for (const zone of zonesOfRefresh(state)) {
    const reader = zoneReader(state, zone);
    if (zone === state.settings.zone) {
      continue;
    }
    if (reader === undefined) {
      readRecord(state, ZONE_RECORD_KIND, zone, turn);
    } else {
      askPeer(state, reader, [zone], turn);
    }
  }
};

/**
 * Zones whose records this refresh is about: this host's own, those in which it
 * holds claims, those it knows nothing of, and some of the others in turn.
 */
const zonesOfRefresh = (state: CoreState): readonly ZoneId[] => {
  const {settings, membership} = state;
  const others = listedZones(state).filter((zone) => zone !== settings.zone);
  const first = membership.refreshes * OTHER_ZONES_PER_REFRESH;
  const inTurn = [...others, ...others]
    .slice(first % Math.max(1, others.length))
    .slice(0, OTHER_ZONES_PER_REFRESH);
  const unknown = others.filter(
    (zone) => recordCopy(state, ZONE_RECORD_KIND, zone)?.readAt === undefined,
  );
  return [
    ...new Set([settings.zone, ...claimedZones(state), ...unknown, ...inTurn]),
  ];
};

/** Reads the platform itself when the zone's reader does not keep up. */
const readIfStale = (
  state: CoreState,
  {depth}: RelayPlace,
  turn: Turn,
): void => {
  const {membership, settings} = state;
  const staleMs = STALE_COPY_MS + (depth - 1) * STALE_COPY_STEP_MS;
  const isRecordStale =
    copyAgeMs(state, ZONE_RECORD_KIND, settings.zone, turn.at) > staleMs;
  const {hostListReadAt, staleReadAt} = membership;
  const isListStale =
    hostListReadAt === undefined ||
    elapsedMs(hostListReadAt, turn.at) > staleMs;
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
  {parent}: RelayPlace,
  turn: Turn,
): void => {
  const {settings} = state;
  const neighbours = possibleTakers(state)
    .map(({host}) => host)
    .filter((host) => host !== parent);
  const record = recordCopy(state, ZONE_RECORD_KIND, settings.zone);
  const isStoreSilent =
    record?.failedAt !== undefined &&
    (record.readAt === undefined ||
      record.failedAt.monotonicMs > record.readAt.monotonicMs);
  const asked = isStoreSilent ? neighbours : neighboursInTurn(state, turn);
  for (const host of asked) {
    askPeer(state, host, [settings.zone], turn);
  }
};

/** One neighbour in turn that gave no sign of life lately. */
const neighboursInTurn = (state: CoreState, turn: Turn): readonly HostId[] => {
  const {membership} = state;
  if (membership.refreshes % NEIGHBOUR_EVERY !== 0) {
    return [];
  }
  const quiet = possibleTakers(state)
    .map(({host}) => host)
    .filter((host) => isQuiet(state, host, turn.at));
  const next = quiet[(membership.refreshes / NEIGHBOUR_EVERY) % quiet.length];
  return next === undefined ? [] : [next];
};
