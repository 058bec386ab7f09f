/** The size that the system must reach, and its budgets for control. */
export const TARGET = {
  hosts: 520,
  zones: 19,
  servers: 12_000,
  adapters: 14_000,
  requestsPerSecond: 14_000,
  tokensPerSecond: 5_100_000,
  coreShare: 0.049,
  memoryMegabytes: 64,
  bytesPerSecond: 6_000,
} as const;

/** Hosts of one zone at the target. */
export const TARGET_HOSTS_PER_ZONE = TARGET.hosts / TARGET.zones;

/** Servers that one host owns at the target. */
export const TARGET_OWNED_SERVERS = TARGET.servers / TARGET.hosts;
