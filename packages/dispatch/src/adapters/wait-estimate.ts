import type {Instant} from '@basilworks/core';

import {
  checkDueMs,
  isHeld,
  MAXIMUM_IN_TRANSIT,
  type SlotTable,
} from './slot-table.js';
import type {PrepareRequest} from './adapter-slots-events.js';
import type {WaitingRequests} from './waiting-requests.js';

/** How long hosts hold an adapter for one request, as a rule, milliseconds. */
const ASSUMED_HOLD_MS = 1_000;

/** How busy the adapter places of a server are. */
export interface AdapterSlotUsage {
  /** Adapters that fit. */
  readonly capacity: number;
  readonly taken: number;
  /** Resident adapters that hosts have not released. */
  readonly held: number;
  readonly inTransit: number;
  /** Adapters that are waited for. */
  readonly waiting: number;
}

/** Counts what is taken, held and waited for. */
export const pressureOf = (
  table: SlotTable,
  waiting: WaitingRequests,
  at: Instant,
): AdapterSlotUsage => ({
  capacity: table.capacity,
  taken: table.size,
  held: table.held(at),
  inTransit: table.inTransit(),
  waiting: waiting.wanted(at, (name) => table.loadMs(name)).length,
});

/** Expected time until an adapter is resident for a request, milliseconds. */
export const expectedWaitMs = (
  table: SlotTable,
  waiting: WaitingRequests,
  request: PrepareRequest,
  at: Instant,
): number => {
  const place = table.get(request);
  if (place?.state === 'loading') {
    return Math.max(0, checkDueMs(place, at));
  }
  if (place !== undefined && isHeld(place, at)) {
    // A newer version replaces it only once its runs have ended.
    return ASSUMED_HOLD_MS + table.loadMs(request);
  }
  const loadMs = (name: PrepareRequest) => table.loadMs(name);
  const before = waiting.before(request, at, loadMs);
  const onTimeMs = waitBehindMs(table, before, request, at);
  // A request that is late by then waits behind all others.
  return onTimeMs <= request.onTimeWithinMs
    ? onTimeMs
    : waitBehindMs(table, waiting.wanted(at, loadMs), request, at);
};

/** Expected time until the adapters ahead and this one have been loaded. */
const waitBehindMs = (
  table: SlotTable,
  others: readonly PrepareRequest[],
  request: PrepareRequest,
  at: Instant,
): number => {
  const ahead = others.filter((other) => table.get(other)?.state !== 'loading');
  const transitMs =
    ahead.reduce((sum, other) => sum + table.loadMs(other), 0) /
    MAXIMUM_IN_TRANSIT;
  const holdMs = table.hasRoom(at)
    ? 0
    : ((ahead.length + 1) * ASSUMED_HOLD_MS) / Math.max(1, table.capacity);
  return Math.max(transitMs, holdMs) + table.loadMs(request);
};
