import {type ControlUsage, measureControl} from './measure-control.js';
import {type MemoryUsage, measureMemory} from './measure-memory.js';
import {measureRoles, type RequestUsage} from './measure-roles.js';
import {
  BASE_SIZE,
  SERIES,
  type Series,
  type Size,
  sizesOf,
  ZONE_SIZES,
} from './size.js';
import {extrapolate, fitSlope, type Slope} from './slopes.js';
import {TARGET, TARGET_HOSTS_PER_ZONE, TARGET_OWNED_SERVERS} from './target.js';

/** Everything that the capacity bench measured. */
export interface CapacityReport {
  readonly seed: number;
  readonly control: readonly ControlUsage[];
  readonly requests: readonly RequestUsage[];
  readonly memory: readonly MemoryUsage[];
  readonly slopes: CapacitySlopes;
  readonly atTarget: TargetEstimate;
}

/** Slopes of the steady state, each over one dimension. */
export interface CapacitySlopes {
  /** Busiest host's bytes per second over the hosts of a zone. */
  readonly busiestBytesPerHostOfZone: Slope;
  /** Mean bytes per second of a host over the zones. */
  readonly bytesPerZone: Slope;
  /** Store calls per second of the deployment over the zones. */
  readonly storeCallsPerZone: Slope;
  /** Store calls per second of the deployment over the hosts. */
  readonly storeCallsPerHost: Slope;
  /** Core share of a host over all servers, 3 zones and 9 hosts. */
  readonly coreSharePerServer: Slope;
  /** Heap of a host's state over the adapters, megabytes. */
  readonly megabytesPerAdapter: Slope;
  /** Heap of a host's state over the servers that it owns, megabytes. */
  readonly megabytesPerOwnedServer: Slope;
  /** Heap of a host's state over the servers of the host list, megabytes. */
  readonly megabytesPerListedServer: Slope;
}

/** Figures worked out for the target, beyond what was measured. */
export interface TargetEstimate {
  readonly busiestBytesPerSecond: number;
  readonly bytesPerSecond: number;
  readonly storeCallsPerSecond: number;
  readonly coreShare: number;
  readonly stateMegabytes: number;
}

/** Hosts of the deployments whose memory is measured. */
const MEMORY_HOSTS = {hosts: 1, zones: 1};

const MEMORY_SERIES: readonly Series[] = [
  {dimension: 'adapters', values: [3_000, 7_000, 14_000]},
  {dimension: 'servers', values: [18, 180, 1_800]},
];

/** Runs every measurement and calls back after each. */
export const runCapacity = (
  seed: number,
  onProgress: (line: string) => void,
): CapacityReport => {
  const control = [...SERIES.flatMap(sizesOf), ...ZONE_SIZES].map((size) => {
    onProgress(`control ${JSON.stringify(size)}`);
    return measureControl(size, seed);
  });
  const requests = requestSizes().map((size) => {
    onProgress(`requests ${JSON.stringify(size)}`);
    return measureRoles(size, seed);
  });
  const memory = MEMORY_SERIES.flatMap(sizesOf).map((size) => {
    onProgress(`memory ${JSON.stringify(size)}`);
    return measureMemory({...size, ...MEMORY_HOSTS}, seed);
  });
  const slopes = slopesOf(control, memory);
  return {seed, control, requests, memory, slopes, atTarget: estimate(slopes)};
};

const requestSizes = (): readonly Size[] => [
  BASE_SIZE,
  {...BASE_SIZE, hosts: 27},
  {...BASE_SIZE, servers: 90},
  {...BASE_SIZE, servers: 180},
];

const slopesOf = (
  control: readonly ControlUsage[],
  memory: readonly MemoryUsage[],
): CapacitySlopes => {
  const perHosts = control.slice(0, 3);
  const perServers = control.slice(3, 6);
  const perZones = control.slice(-ZONE_SIZES.length);
  const hostsOfZone = ({hosts, zones}: Size): number => hosts / zones;
  const fitControl = (
    usages: readonly ControlUsage[],
    valueOf: (size: Size) => number,
    figureOf: (usage: ControlUsage) => number,
  ): Slope =>
    fitSlope(
      usages.map((usage) => ({
        value: valueOf(usage.size),
        figure: figureOf(usage),
      })),
    );
  const fitMemory = (
    usages: readonly MemoryUsage[],
    dimension: keyof Size,
    figureOf: (usage: MemoryUsage) => number,
  ): Slope =>
    fitSlope(
      usages.map((usage) => ({
        value: usage.size[dimension],
        figure: figureOf(usage),
      })),
    );
  const owning = ({owningMegabytes}: MemoryUsage): number => owningMegabytes;
  return {
    busiestBytesPerHostOfZone: fitControl(
      perHosts,
      hostsOfZone,
      (usage) => usage.busiestBytesPerSecond,
    ),
    bytesPerZone: fitControl(
      perZones,
      ({zones}) => zones,
      (usage) => usage.bytesPerSecond,
    ),
    storeCallsPerZone: fitControl(
      perZones,
      ({zones}) => zones,
      (usage) => usage.storeCallsPerSecond,
    ),
    storeCallsPerHost: fitControl(
      perHosts,
      ({hosts}) => hosts,
      (usage) => usage.storeCallsPerSecond,
    ),
    coreSharePerServer: fitControl(
      perServers,
      ({servers}) => servers,
      (usage) => usage.coreShare,
    ),
    megabytesPerAdapter: fitMemory(memory.slice(0, 3), 'adapters', owning),
    megabytesPerOwnedServer: fitMemory(memory.slice(3), 'servers', owning),
    megabytesPerListedServer: fitMemory(
      memory.slice(3),
      'servers',
      (usage) => usage.listingMegabytes,
    ),
  };
};

const estimate = (slopes: CapacitySlopes): TargetEstimate => ({
  busiestBytesPerSecond: extrapolate(
    slopes.busiestBytesPerHostOfZone,
    TARGET_HOSTS_PER_ZONE,
  ),
  bytesPerSecond: extrapolate(slopes.bytesPerZone, TARGET.zones),
  storeCallsPerSecond:
    extrapolate(slopes.storeCallsPerZone, TARGET.zones) +
    slopes.storeCallsPerHost.perUnit *
      (TARGET.hosts - slopes.storeCallsPerZone.measuredUpTo * 3),
  coreShare: extrapolate(slopes.coreSharePerServer, TARGET.servers),
  stateMegabytes:
    extrapolate(slopes.megabytesPerAdapter, TARGET.adapters) +
    slopes.megabytesPerOwnedServer.perUnit * TARGET_OWNED_SERVERS +
    slopes.megabytesPerListedServer.perUnit * TARGET.servers,
});
