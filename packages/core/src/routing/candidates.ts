import {hashFraction} from '../lib/hash.js';
import {serversOfPool} from '../membership/selectors.js';
import type {RequestDescription} from '../request.js';
import type {ServerDescription} from '../server.js';
import type {CoreState} from '../state.js';

/** Servers of a pool up to which all of them are candidates. */
const MAXIMUM_CANDIDATES = 16;

/** Candidates of the adapters of one pool, for one list of its servers. */
export interface PoolCandidates {
  readonly servers: readonly ServerDescription[];
  readonly byAdapter: Map<string, readonly ServerDescription[]>;
}

/**
 * Returns the servers that an adapter may run on. In a small pool that is all
 * of them; in a large one, a fixed few that the adapter's name selects, so
 * that the messages of a home do not grow with the fleet.
 */
export const candidateServers = (
  state: CoreState,
  {adapter, pool}: Pick<RequestDescription, 'adapter' | 'pool'>,
): readonly ServerDescription[] => {
  const servers = serversOfPool(state, pool);
  if (servers.length <= MAXIMUM_CANDIDATES) {
    return servers;
  }
  const {byAdapter} = candidatesOfPool(state, pool, servers);
  const known = byAdapter.get(adapter);
  if (known) {
    return known;
  }
  const candidates = selectCandidates(adapter, servers);
  byAdapter.set(adapter, candidates);
  return candidates;
};

/** The pool's index, begun anew when its servers changed. */
const candidatesOfPool = (
  {routing}: CoreState,
  pool: string,
  servers: readonly ServerDescription[],
): PoolCandidates => {
  const known = routing.candidates.get(pool);
  if (known?.servers === servers) {
    return known;
  }
  const fresh: PoolCandidates = {servers, byAdapter: new Map()};
  routing.candidates.set(pool, fresh);
  return fresh;
};

const selectCandidates = (
  adapter: string,
  servers: readonly ServerDescription[],
): readonly ServerDescription[] =>
  servers
    .map((server) => ({
      server,
      score: hashFraction(`${adapter}|${server.server}`),
    }))
    .sort((first, second) => second.score - first.score)
    .slice(0, MAXIMUM_CANDIDATES)
    .map(({server}) => server);
