import type {HostStatus} from './membership.js';

/** Hosts of a caller's own zone that are enough to name no others. */
const ENOUGH_IN_ZONE = 2;

/** Most addresses in an answer; callers take no more. */
const MAXIMUM_ADDRESSES = 64;

/**
 * Returns the addresses to name to a caller: the ready hosts of its own zone
 * if there are enough of them, else all that are ready. This host names
 * itself last when nobody is ready, as a refusal tells more than a silence.
 */
export const addressAnswer = (
  live: readonly HostStatus[],
  callerZone: string | undefined,
  self: HostStatus,
): readonly string[] => {
  const ready = live.filter((host) => host.ready);
  const near = ready.filter(({zone}) => zone === callerZone);
  const chosen = near.length >= ENOUGH_IN_ZONE ? near : ready;
  return (chosen.length === 0 ? [self] : chosen)
    .slice(0, MAXIMUM_ADDRESSES)
    .map(({callerAddress}) => callerAddress);
};
