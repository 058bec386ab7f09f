import type {Role} from './role.js';
import {settleFleet, submitRequest} from './settle-fleet.js';
import type {Size} from './size.js';
import {TrafficMeter} from './traffic-meter.js';

/** Virtual time over which requests are sent. */
const MEASURED_MS = 20_000;

/** Time for which requests warm the deployment up; twice that ends them. */
const WARM_UP_MS = 60_000;

/** Requests per second of the whole deployment. */
const REQUESTS_PER_SECOND = 60;

/** Adapters that the requests name, fewer than the deployment's slots. */
const ACTIVE_ADAPTERS = 16;

/** What one role costs for one request. */
export interface RoleCost {
  readonly role: Role;
  /** Turns of the reducer per request, over all hosts. */
  readonly turnsPerRequest: number;
  /** Processor time of the reducer per request, microseconds. */
  readonly microsecondsPerRequest: number;
}

/** What requests cost at one size. */
export interface RequestUsage {
  readonly size: Size;
  readonly requests: number;
  /** Messages between hosts per request. */
  readonly messagesPerRequest: number;
  /** Bytes of those messages per request. */
  readonly bytesPerRequest: number;
  readonly roles: readonly RoleCost[];
}

/** Measures what each role costs for a request, on virtual time. */
export const measureRoles = (size: Size, seed: number): RequestUsage => {
  const fleet = settleFleet(size, seed);
  sendRequests(fleet, size, WARM_UP_MS);
  fleet.scheduler.runUntil(fleet.scheduler.nowMs() + 2 * WARM_UP_MS);
  const idle = usageOf(fleet, () => undefined);
  const busy = usageOf(fleet, () => {
    sendRequests(fleet, size, MEASURED_MS);
  });
  const requests = (MEASURED_MS / 1_000) * REQUESTS_PER_SECOND;
  const roles = [...busy.roles].map(([role, {turns, elapsedNs}]) => {
    const rest = idle.roles.get(role);
    const elapsed = Number(elapsedNs - (rest?.elapsedNs ?? 0n));
    return {
      role,
      turnsPerRequest: (turns - (rest?.turns ?? 0)) / requests,
      microsecondsPerRequest: Math.max(0, elapsed) / 1_000 / requests,
    };
  });
  return {
    size,
    requests,
    messagesPerRequest: (busy.messages - idle.messages) / requests,
    bytesPerRequest: (bytesOf(busy) - bytesOf(idle)) / requests,
    roles,
  };
};

type SettledFleet = ReturnType<typeof settleFleet>;

const usageOf = (fleet: SettledFleet, begin: () => void): TrafficMeter => {
  const meter = new TrafficMeter();
  fleet.observer = meter;
  begin();
  fleet.scheduler.runUntil(fleet.scheduler.nowMs() + MEASURED_MS);
  fleet.observer = undefined;
  return meter;
};

const sendRequests = (
  fleet: SettledFleet,
  size: Size,
  durationMs: number,
): void => {
  const count = (durationMs / 1_000) * REQUESTS_PER_SECOND;
  for (let index = 0; index < count; index += 1) {
    fleet.scheduler.schedule((index * durationMs) / count, () => {
      const adapter = Math.floor(fleet.random() * ACTIVE_ADAPTERS);
      submitRequest(
        fleet,
        Math.floor(fleet.random() * size.hosts),
        `a-${adapter}`,
      );
    });
  }
};

/** Each message is counted at its sender and at its receiver. */
const bytesOf = ({bytesByHost}: TrafficMeter): number =>
  [...bytesByHost.values()].reduce((sum, bytes) => sum + bytes, 0) / 2;
