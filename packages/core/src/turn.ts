import type {Effect} from './effects.js';
import type {CoreEvent} from './events.js';
import type {Instant} from './instant.js';

/**
 * What a handler may do besides changing its own area's state: append effects
 * for the daemon and raise events that the same turn handles afterwards.
 */
export interface Turn {
  /** The clocks, read once before the event was handled. */
  readonly at: Instant;
  /** Appends an effect; the daemon runs effects in order after the turn. */
  perform(effect: Effect): void;
  /** Queues an event that is reduced before the turn ends. */
  raise(event: CoreEvent): void;
}
