import type {Instant} from '@basilworks/core';

import type {Server} from './server-table.js';

/**
 * Share of the places that are taken at the servers that told their load
 * lately, requests of all hosts included; undefined where none did. For services
 * whose orders nobody issues, so that no issuer sums them up.
 */
export const reportedOccupancy = (
  servers: readonly Server[],
  at: Instant,
): number | undefined => {
  const told = servers.filter(({health}) => health.loadAgeMs(at) !== undefined);
  const sum = (figure: (server: Server) => number) =>
    told.reduce((total, server) => total + figure(server), 0);
  const slots = sum(({entry}) => entry.slots);
  return slots === 0 ? undefined : sum(({health}) => health.load(at)) / slots;
};
