import {
  configurationRevision,
  ownedServers,
  type RequestDescription,
} from '@basilworks/core';
import {Fleet, sampleServers, sampleSheet} from '@basilworks/histories';

import type {Size} from './size.js';

/** Longest virtual time for a deployment to come up. */
const SETTLE_LIMIT_MS = 120_000;

const STEP_MS = 1_000;

const REQUEST_DEADLINE_MS = 30_000;

/** A deployment did not come up within the limit. */
export class NotSettledError extends Error {
  override readonly name = 'NotSettledError';

  constructor(
    readonly size: Size,
    readonly reason: string,
  ) {
    super(`not settled at ${JSON.stringify(size)}: ${reason}`);
  }
}

/**
 * Starts a deployment on virtual time, applies its sheet, and runs it until
 * every server has an owner and every host has the configuration.
 */
export const settleFleet = (size: Size, seed: number): Fleet => {
  const fleet = new Fleet({
    seed,
    hosts: size.hosts,
    zones: size.zones,
    servers: sampleServers(size.servers, size.zones, () => true),
    hostListLagMs: 500,
    maximumClockDrift: 0,
  });
  for (const name of fleet.hostNames) {
    fleet.start(name);
  }
  runUntil(fleet, size, 'servers without owner', () => {
    const owned = fleet.hosts.reduce(
      (sum, {state}) => sum + ownedServers(state).length,
      0,
    );
    return owned === size.servers;
  });
  runUntil(fleet, size, 'hosts without a first revision', () =>
    fleet.hosts.every(({state}) => configurationRevision(state) > 0),
  );
  applySheet(fleet, sampleSheet(size.adapters, 'v1'));
  runUntil(fleet, size, 'hosts without configuration', () =>
    fleet.hosts.every(({state}) => state.configuration.entries.size > 0),
  );
  return fleet;
};

/** Submits a sheet to the first host. */
export const applySheet = (fleet: Fleet, text: string): void => {
  const [host] = fleet.hosts;
  host?.handle({
    type: 'sheet-submitted',
    submission: `sheet-${fleet.nextNumber()}`,
    operator: 'bench',
    text,
    dryRun: false,
    allowMassRetirement: false,
    expectedRevision: configurationRevision(host.state),
  });
};

/** Submits one request for an adapter of the sample sheet to a host. */
export const submitRequest = (
  fleet: Fleet,
  hostIndex: number,
  adapter: string,
): void => {
  const host = fleet.hosts[hostIndex % fleet.hosts.length];
  const requestId = `request-${fleet.nextNumber()}`;
  const request: RequestDescription = {
    requestId,
    member: 'member-0',
    adapter,
    version: 'v1',
    baseModel: 'base',
    pool: 'assistant-models',
    priorityClass: 'standard',
    prefixDigest: adapter,
    maximumTokens: 100,
  };
  fleet.requests.set(requestId, request);
  host?.handle({
    type: 'request-submitted',
    request,
    remainingMs: REQUEST_DEADLINE_MS,
  });
};

/** Runs virtual time until a condition holds. */
const runUntil = (
  fleet: Fleet,
  size: Size,
  reason: string,
  isDone: () => boolean,
): void => {
  const limitMs = fleet.scheduler.nowMs() + SETTLE_LIMIT_MS;
  while (!isDone()) {
    if (fleet.scheduler.nowMs() >= limitMs) {
      throw new NotSettledError(size, reason);
    }
    fleet.scheduler.runUntil(fleet.scheduler.nowMs() + STEP_MS);
  }
};
