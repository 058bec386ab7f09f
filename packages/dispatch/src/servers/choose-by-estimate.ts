import {
  type ChoiceContext,
  chooseLeastLoaded,
  FAILURE_COST,
  OTHER_ZONE_COST,
  usableServers,
} from './choose-server.js';
import {reportsSlowness, ServiceEstimates} from './server-estimate.js';
import type {Server} from './server-table.js';

/**
 * A server is excluded when its expected time, relative to its own long-term
 * time, exceeds that of the best server by this ratio. The margin covers random
 * variation and one more request.
 */
const EXCLUSION_RATIO = 1.3;

/** Exponent with which a server's failure share lowers its weight. */
const FAILURE_POWER = 4;

/**
 * Returns the server for a request of a plain service: draws two servers
 * weighted by capacity and takes the one with the smaller delay relative to its
 * long-term time. Long-term speed already determines how often a server is
 * drawn, so it must not count again between the two, or the fastest would be
 * overloaded.
 *
 * Designed for many hosts that send to a few servers of different speeds, each
 * host so little that it receives a server's load about once a second. If all
 * chose the least loaded server, they would overload it together. When no
 * server reports its slowness, the least loaded one is chosen.
 */
export const choosePlainServer = (
  servers: readonly Server[],
  context: ChoiceContext,
): Server | undefined => {
  const usable = usableServers(servers, context);
  if (!reportsSlowness(usable, context.at)) {
    return chooseLeastLoaded(servers, context);
  }
  const estimates = new ServiceEstimates(usable, context.at);
  const lowestFailures = Math.min(
    ...usable.map(({health}) => health.failureShare),
  );
  const all = usable.map((server) => {
    const {health, entry} = server;
    const {firstMs, lastingSlowness} = estimates.of(server);
    const failures = health.failureShare - lowestFailures;
    const zone =
      entry.zone === context.zone ? 0 : OTHER_ZONE_COST / entry.slots;
    const relativeDelay = firstMs / lastingSlowness;
    return {
      server,
      relativeDelay,
      cost: relativeDelay * (1 + zone + failures * FAILURE_COST),
      weight: (entry.slots / lastingSlowness) * (1 - failures) ** FAILURE_POWER,
    };
  });
  const smallestDelay = Math.min(
    ...all.map(({relativeDelay}) => relativeDelay),
  );
  const candidates = all.filter(
    ({relativeDelay}) => relativeDelay <= smallestDelay * EXCLUSION_RATIO,
  );
  const first = draw(candidates, context.random);
  const second = draw(candidates, context.random);
  return first === undefined || second === undefined
    ? undefined
    : first.cost <= second.cost
      ? first.server
      : second.server;
};

const draw = <Candidate extends {readonly weight: number}>(
  candidates: readonly Candidate[],
  random: () => number,
): Candidate | undefined => {
  const total = candidates.reduce((sum, {weight}) => sum + weight, 0);
  let left = random() * total;
  return (
    candidates.find(({weight}) => (left -= weight) < 0) ?? candidates.at(-1)
  );
};
