/** Resources of the machine that a host runs on. */
export interface MachineResources {
  /** Fraction of each core that the process may use, 0 to 1. */
  readonly coreShare: number;
  readonly cores: number;
  readonly linkMbps: number;
}

/** Network bandwidth that one core saturates when relaying, Mbit/s. */
const LINK_MBPS_PER_CORE = 100;

/** Returns the capacity of a host, in thousandths of a core. */
export const hostCapacity = ({
  coreShare,
  cores,
  linkMbps,
}: MachineResources): number =>
  Math.round(
    1_000 * Math.min(coreShare * cores, linkMbps / LINK_MBPS_PER_CORE),
  );

/**
 * Returns the rendezvous weight of a host. It is the square of the capacity so
 * that large machines hold most claims, and other hosts need connections to
 * only a few issuers.
 */
export const rendezvousWeight = (capacity: number): number =>
  Math.max(1, capacity) ** 2;
