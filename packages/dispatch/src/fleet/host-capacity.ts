/** What a host's machine may use. */
export interface MachineResources {
  /** Share of each core that the process may use, 0 to 1. */
  readonly coreShare: number;
  readonly cores: number;
  readonly linkMbps: number;
}

/** Link that a core's worth of relaying fills, Mbit/s. */
const LINK_MBPS_PER_CORE = 100;

/** Returns what a host can do for others, thousandths of a core. */
export const hostCapacity = ({
  coreShare,
  cores,
  linkMbps,
}: MachineResources): number =>
  Math.round(
    1_000 * Math.min(coreShare * cores, linkMbps / LINK_MBPS_PER_CORE),
  );

/**
 * Returns a host's share of the claims: squared, so that on mixed machines the
 * large ones issue most orders and others connect to few hosts for them.
 */
export const rendezvousWeight = (capacity: number): number =>
  Math.max(1, capacity) ** 2;
