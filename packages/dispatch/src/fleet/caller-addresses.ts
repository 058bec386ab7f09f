import type {HostStatus} from './host-table.js';

/** Ready hosts in the caller's zone needed to omit hosts of other zones. */
const MINIMUM_ZONE_HOSTS = 2;

/** Maximum number of addresses in a response; callers accept no more. */
const MAXIMUM_ADDRESSES = 64;

/**
 * Returns the addresses to give to a caller: the ready hosts in its zone if
 * there are enough of them, else all ready hosts. If no host is ready, it
 * returns this host, because a rejection tells a caller more than a timeout.
 * If not all hosts fit, each response starts at a random one.
 */
export const selectCallerAddresses = (
  live: readonly HostStatus[],
  callerZone: string | undefined,
  self: HostStatus,
  random: () => number,
): readonly string[] => {
  const ready = live.filter((host) => host.ready);
  const inZone = ready.filter(({zone}) => zone === callerZone);
  const preferred = inZone.length >= MINIMUM_ZONE_HOSTS ? inZone : ready;
  const candidates = preferred.length === 0 ? [self] : preferred;
  const offset = Math.floor(random() * candidates.length);
  const start = candidates.length > MAXIMUM_ADDRESSES ? offset : 0;
  return [...candidates.slice(start), ...candidates.slice(0, start)]
    .slice(0, MAXIMUM_ADDRESSES)
    .map(({callerAddress}) => callerAddress);
};
