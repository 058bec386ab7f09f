import type {Instant} from '@basilworks/core';

/** Source of the instants that loop turns are stamped with. */
export interface Clock {
  now(): Instant;
}

/** The clocks of this machine. */
export const systemClock: Clock = {
  now: () => ({monotonicMs: performance.now(), wallMs: Date.now()}),
};
