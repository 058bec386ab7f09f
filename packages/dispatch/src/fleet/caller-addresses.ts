import type {HostStatus} from './host-table.js';

/** Hosts of a caller's own zone that are enough to name no others. */
const ENOUGH_IN_ZONE = 2;

/** Most addresses in an answer; callers take no more. */
const MAXIMUM_ADDRESSES = 64;

/**
 * Returns the addresses to name to a caller: the ready hosts of its own zone
 * if there are enough of them, else all that are ready. This host names
 * itself last when nobody is ready, as a refusal tells more than a silence.
 * Of more hosts than fit, each answer names others.
 */
export const selectCallerAddresses = (
  live: readonly HostStatus[],
  callerZone: string | undefined,
  self: HostStatus,
  random: () => number,
): readonly string[] => {
  const ready = live.filter((host) => host.ready);
  const near = ready.filter(({zone}) => zone === callerZone);
  const chosen = near.length >= ENOUGH_IN_ZONE ? near : ready;
  const named = chosen.length === 0 ? [self] : chosen;
  const first = Math.floor(random() * named.length);
  const from = named.length > MAXIMUM_ADDRESSES ? first : 0;
  return [...named.slice(from), ...named.slice(0, from)]
    .slice(0, MAXIMUM_ADDRESSES)
    .map(({callerAddress}) => callerAddress);
};
