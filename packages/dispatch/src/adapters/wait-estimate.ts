import type {Instant} from '@basilworks/core';

import type {PrepareRequest} from './adapter-slots-events.js';
import {
  checkDueMs,
  isReferenced,
  MAXIMUM_IN_TRANSIT,
  type SlotTable,
} from './slot-table.js';
import type {WaitingRequests} from './waiting-requests.js';

/** Assumed time for which a host references an adapter per request, ms. */
const ASSUMED_REFERENCE_MS = 1_000;

/** Usage of the adapter slots of a server; the fields are logged. */
export interface AdapterSlotUsage {
  /** Number of adapter slots. */
  readonly capacity: number;
  readonly taken: number;
  /** Resident adapters that are referenced by a host. */
  readonly held: number;
  readonly inTransit: number;
  /** Adapters that requests wait for. */
  readonly waiting: number;
}

/** Counts used slots, referenced adapters and awaited adapters. */
export const usageOf = (
  table: SlotTable,
  waiting: WaitingRequests,
  at: Instant,
): AdapterSlotUsage => ({
  capacity: table.capacity,
  taken: table.size,
  held: table.referenced(at),
  inTransit: table.inTransit(),
  waiting: waiting.byUrgency(at, (name) => table.loadMs(name)).length,
});

/** Expected time until an adapter is resident for a request, milliseconds. */
export const expectedWaitMs = (
  table: SlotTable,
  waiting: WaitingRequests,
  request: PrepareRequest,
  at: Instant,
): number => {
  const slot = table.get(request);
  if (slot?.state === 'loading') {
    return Math.max(0, checkDueMs(slot, at));
  }
  if (slot !== undefined && isReferenced(slot, at)) {
    // A newer version replaces it only after its requests have ended.
    return ASSUMED_REFERENCE_MS + table.loadMs(request);
  }
  const loadMs = (name: PrepareRequest) => table.loadMs(name);
  const ahead = waiting.aheadOf(request, at, loadMs);
  const onTimeMs = waitBehindMs(table, ahead, request, at);
  // A request that would be late waits behind all others.
  return onTimeMs <= request.onTimeWithinMs
    ? onTimeMs
    : waitBehindMs(table, waiting.byUrgency(at, loadMs), request, at);
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
    : ((ahead.length + 1) * ASSUMED_REFERENCE_MS) / Math.max(1, table.capacity);
  return Math.max(transitMs, holdMs) + table.loadMs(request);
};
