import type {HostId, ServerId} from '../identifiers.js';
import {compareText} from '../lib/compare-text.js';
import {hashFraction} from '../lib/hash.js';

/** Who owns the servers of a zone and who may. */
export interface ZoneAssignment {
  /** Owners by server; servers without a usable owner are left out. */
  readonly owners: ReadonlyMap<ServerId, HostId>;
  readonly unowned: readonly ServerId[];
  readonly candidates: readonly HostId[];
}

/** One server and the host that should own it. */
export interface Assignment {
  readonly server: ServerId;
  readonly host: HostId;
}

/** Difference in servers above which a candidate passes one on. */
const TOLERATED_IMBALANCE = 1;

/**
 * Assigns every server without an owner to the candidate with the fewest
 * servers; ties go by a hash, so that all hosts decide alike.
 */
export const assignUnowned = ({
  owners,
  unowned,
  candidates,
}: ZoneAssignment): readonly Assignment[] => {
  const loads = countLoads(owners, candidates);
  return [...unowned].sort(compareText).flatMap((server) => {
    const host = leastLoaded(loads, server);
    if (host === undefined) {
      return [];
    }
    addLoad(loads, host);
    return [{server, host}];
  });
};

/**
 * The servers that `owner` should pass on: all of them where it is not a
 * candidate, else one at a time while it has more than its share.
 */
export const planMoves = (
  {owners, candidates}: ZoneAssignment,
  owner: HostId,
): readonly Assignment[] => {
  const owned = [...owners]
    .filter(([, host]) => host === owner)
    .map(([server]) => server)
    .sort(compareText);
  const loads = countLoads(owners, candidates);
  if (!candidates.includes(owner)) {
    return owned.flatMap((server) => {
      const host = leastLoaded(loads, server);
      if (host === undefined) {
        return [];
      }
      addLoad(loads, host);
      return [{server, host}];
    });
  }
  return planBalancingMove(loads, owned, owner);
};

const planBalancingMove = (
  loads: ReadonlyMap<HostId, number>,
  owned: readonly ServerId[],
  owner: HostId,
): readonly Assignment[] => {
  const least = Math.min(...loads.values());
  const most = Math.max(...loads.values());
  if (owned.length < most || owned.length - least <= TOLERATED_IMBALANCE) {
    return [];
  }
  const [server] = owned;
  const host = server === undefined ? undefined : leastLoaded(loads, server);
  return server === undefined || host === undefined || host === owner
    ? []
    : [{server, host}];
};

const countLoads = (
  owners: ReadonlyMap<ServerId, HostId>,
  candidates: readonly HostId[],
): Map<HostId, number> => {
  const loads = new Map<HostId, number>();
  for (const host of candidates) {
    loads.set(host, 0);
  }
  for (const host of owners.values()) {
    if (loads.has(host)) {
      addLoad(loads, host);
    }
  }
  return loads;
};

const addLoad = (loads: Map<HostId, number>, host: HostId): void => {
  loads.set(host, (loads.get(host) ?? 0) + 1);
};

const leastLoaded = (
  loads: ReadonlyMap<HostId, number>,
  server: ServerId,
): HostId | undefined => {
  let best: {host: HostId; load: number; score: number} | undefined;
  for (const [host, load] of loads) {
    const score = hashFraction(`${server}\n${host}`);
    if (
      best === undefined ||
      load < best.load ||
      (load === best.load && score > best.score)
    ) {
      best = {host, load, score};
    }
  }
  return best?.host;
};
