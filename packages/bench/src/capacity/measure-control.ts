import {settleFleet} from './settle-fleet.js';
import type {Size} from './size.js';
import {TrafficMeter} from './traffic-meter.js';

/** Virtual time after which what a start costs once is over. */
const WARM_UP_MS = 600_000;

/** Virtual time over which the steady state is measured. */
const MEASURED_MS = 60_000;

/** What control costs in the steady state at one size. */
export interface ControlUsage {
  readonly size: Size;
  /** Messages between hosts per second and host. */
  readonly messagesPerSecond: number;
  /** Bytes sent and received per second, mean and busiest host. */
  readonly bytesPerSecond: number;
  readonly busiestBytesPerSecond: number;
  /** Share of one core that the reducer of one host takes, as a mean. */
  readonly coreShare: number;
  /** Calls to the object API per second, of the whole deployment. */
  readonly storeCallsPerSecond: number;
  /** Message types by their share of the bytes. */
  readonly byteShares: Readonly<Record<string, number>>;
}

/** Measures a deployment without requests, on virtual time. */
export const measureControl = (size: Size, seed: number): ControlUsage => {
  const fleet = settleFleet(size, seed);
  fleet.scheduler.runUntil(fleet.scheduler.nowMs() + WARM_UP_MS);
  const meter = new TrafficMeter();
  fleet.observer = meter;
  const callsBefore = totalOf(fleet.store.counts);
  fleet.scheduler.runUntil(fleet.scheduler.nowMs() + MEASURED_MS);
  const seconds = MEASURED_MS / 1_000;
  const hostSeconds = seconds * size.hosts;
  const bytes = [...meter.bytesByHost.values()];
  const totalBytes = bytes.reduce((sum, value) => sum + value, 0);
  const elapsedNs = [...meter.roles.values()].reduce(
    (sum, role) => sum + Number(role.elapsedNs),
    0,
  );
  return {
    size,
    messagesPerSecond: meter.messages / hostSeconds,
    bytesPerSecond: totalBytes / hostSeconds,
    busiestBytesPerSecond: Math.max(0, ...bytes) / seconds,
    coreShare: elapsedNs / 1e9 / hostSeconds,
    storeCallsPerSecond: (totalOf(fleet.store.counts) - callsBefore) / seconds,
    byteShares: Object.fromEntries(
      [...meter.bytesByType].map(([type, value]) => [
        type,
        (2 * value) / totalBytes,
      ]),
    ),
  };
};

const totalOf = (counts: Readonly<Record<string, number>>): number =>
  Object.values(counts).reduce((sum, count) => sum + count, 0);
