import type {Instant} from '@basilworks/core';

import type {Server} from './server-table.js';

/**
 * Share of slots in use, by requests of all hosts, at the servers that recently
 * reported their load; undefined where none did. For services without orders,
 * whose load no issuer aggregates.
 */
export const reportedOccupancy = (
  servers: readonly Server[],
  at: Instant,
): number | undefined => {
  const reporting = servers.filter(
    ({health}) => health.loadAgeMs(at) !== undefined,
  );
  const sum = (figure: (server: Server) => number) =>
    reporting.reduce((total, server) => total + figure(server), 0);
  const slots = sum(({entry}) => entry.slots);
  return slots === 0 ? undefined : sum(({health}) => health.load(at)) / slots;
};
