import {
  type ChoiceContext,
  chooseLeastLoaded,
  FAILURE_COST,
  OTHER_ZONE_COST,
  usableServers,
} from './choose-server.js';
import {ServiceEstimates, reportsSlowness} from './server-estimate.js';
import type {Server} from './server-table.js';

/**
 * A server is passed over where the answer is expected to take longer than at
 * the best, by more than chance and one request more make: each against what
 * is usual for it.
 */
const PASSED_OVER_FROM = 1.3;

/** How steeply requests are kept off a server by the share that fails there. */
const FAILURE_POWER = 4;

/**
 * Returns the server for a request of a plain service: of two that are drawn by
 * what each can do, the one that is the least behind its usual time. As lasting
 * speed decides how often a server is drawn, it must not decide once more
 * between the two, or the fastest gets more than it can do.
 *
 * The load that it answers: many hosts send to a few unlike servers, each host
 * so little that it hears of a server about once a second. Were all to take the
 * least loaded of all, they would meet there. Where no server tells how slow it
 * is, the least loaded one is taken.
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
    const behind = firstMs / lastingSlowness;
    return {
      server,
      behind,
      cost: behind * (1 + zone + failures * FAILURE_COST),
      weight: (entry.slots / lastingSlowness) * (1 - failures) ** FAILURE_POWER,
    };
  });
  const least = Math.min(...all.map(({behind}) => behind));
  const candidates = all.filter(
    ({behind}) => behind <= least * PASSED_OVER_FROM,
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
