import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

import {settleFleet} from './settle-fleet.js';
import type {Size} from './size.js';

/** Memory of one host's state at one size. */
export interface MemoryUsage {
  readonly size: Size;
  /** Heap of the whole small deployment per host, megabytes. */
  readonly heapMegabytesPerHost: number;
}

/**
 * Measures the heap that a deployment takes. The stand-ins' models are part of
 * it, so the figure is an upper bound for the hosts.
 */
export const measureMemory = (size: Size, seed: number): MemoryUsage => {
  const before = heapBytes();
  const fleet = settleFleet(size, seed);
  const after = heapBytes();
  return {
    size,
    heapMegabytesPerHost: (after - before) / 1e6 / fleet.hosts.length,
  };
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
