import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

import {
  coreSettingsSchema,
  type CoreState,
  createState,
  hostListSchema,
  reduce,
} from '@basilworks/core';
import {sampleServers} from '@basilworks/histories';

import {settleFleet} from './settle-fleet.js';
import type {Size} from './size.js';

/** Memory of one host's state at one size. */
export interface MemoryUsage {
  readonly size: Size;
  /** Heap of a host that owns all servers, with their models, megabytes. */
  readonly owningMegabytes: number;
  /** Heap of a host that only knows the servers from the list, megabytes. */
  readonly listingMegabytes: number;
}

/**
 * Measures the heap of a deployment of one host, which owns every server. The
 * models of the servers are part of it, so it is an upper bound.
 */
export const measureMemory = (size: Size, seed: number): MemoryUsage => ({
  size,
  owningMegabytes: heapOf(() => settleFleet(size, seed)),
  listingMegabytes: heapOf(() => listServers(size)),
});

/** A host that has read the host list, whose servers are in another zone. */
const listServers = (size: Size): CoreState => {
  const settings = coreSettingsSchema.parse({
    host: 'host-0',
    zone: 'zone-of-its-own',
    peerAddress: '127.0.0.1:1',
    callerAddress: '127.0.0.1:2',
  });
  const state = createState(settings, {incarnation: 'host-0#1', seed: 1});
  const servers = sampleServers(size.servers, size.zones, () => true);
  // As it comes from the network, without strings shared between servers.
  const hostList = hostListSchema.parse(
    JSON.parse(JSON.stringify({version: 1, entryHosts: [], servers})),
  );
  const at = {monotonicMs: 0, wallMs: 0};
  reduce(state, {type: 'started'}, at);
  reduce(state, {type: 'host-list-read', hostList}, at);
  return state;
};

/** Megabytes that what is made takes while it is in use. */
const heapOf = (make: () => object): number => {
  const before = heapBytes();
  const made = make();
  const after = heapBytes();
  // Keeps what was made alive until here.
  return Object.isFrozen(made) ? 0 : (after - before) / 1e6;
};

const heapBytes = (): number => {
  collectGarbage();
  return process.memoryUsage().heapUsed;
};

const collectGarbage = (): void => {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as () => void;
  collect();
  collect();
};
