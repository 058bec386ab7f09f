import {hashFraction} from '../lib/hash.js';
import {serversOfPool} from '../membership/selectors.js';
import type {RequestDescription} from '../request.js';
import type {ServerDescription} from '../server.js';
import type {CoreState} from '../state.js';

/** Maximum candidates per adapter; a pool of up to this size offers all. */
const MAXIMUM_CANDIDATES = 16;

/** Cache of the candidates in one pool, valid for one list of its servers. */
export interface PoolCandidates {
  readonly servers: readonly ServerDescription[];
  readonly byAdapter: Map<string, readonly ServerDescription[]>;
}

/**
 * Returns the servers that an adapter may run on: all servers of a small pool,
 * or a subset of a large one that rendezvous hashing of the adapter's name
 * selects. The bound keeps a home's message rate independent of fleet size.
 */
export const candidateServers = (
  state: CoreState,
  {adapter, pool}: Pick<RequestDescription, 'adapter' | 'pool'>,
): readonly ServerDescription[] => {
  const servers = serversOfPool(state, pool);
  if (servers.length <= MAXIMUM_CANDIDATES) {
    return servers;
  }
  const {byAdapter} = getPoolCandidates(state, pool, servers);
  const cached = byAdapter.get(adapter);
  if (cached) {
    return cached;
  }
  const candidates = selectCandidates(adapter, servers);
  byAdapter.set(adapter, candidates);
  return candidates;
};

/** Returns the pool's cache, replaced when the list of servers changed. */
const getPoolCandidates = (
  {routing}: CoreState,
  pool: string,
  servers: readonly ServerDescription[],
): PoolCandidates => {
  const cached = routing.candidates.get(pool);
  if (cached?.servers === servers) {
    return cached;
  }
  const created: PoolCandidates = {servers, byAdapter: new Map()};
  routing.candidates.set(pool, created);
  return created;
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
