import {elapsedMs, type Instant} from '@basilworks/core';

import type {EntryHostContext} from '../context.js';
import {sleep} from '../lib/sleep.js';

/**
 * Longest wait of a request for a read that confirms the configuration,
 * milliseconds: a store that answers at all does so several times faster.
 */
const CONFIRMATION_TIMEOUT_MS = 300;

/**
 * Time of failing reads from which the store counts as unavailable to this
 * host, milliseconds. Requests then don't wait for it.
 */
const UNAVAILABLE_AFTER_MS = 600;

/**
 * Minimum interval between two reads, milliseconds: a read may succeed and
 * confirm nothing, as when this host can't apply the newest configuration.
 */
const REFRESH_INTERVAL_MS = 500;

/** Reads the configuration for the gate. */
export interface ConfigurationSource {
  /** Reads it now; whether the read succeeded. */
  refresh(): Promise<boolean>;
  /** Time for which reads have been failing, milliseconds; 0 if they work. */
  failingMs(): number;
}

/** A source that never confirms anything, for hosts without a store. */
export const NO_CONFIGURATION_SOURCE: ConfigurationSource = {
  refresh: () => Promise.resolve(false),
  failingMs: () => 0,
};

/** The parts of the entry host that the gate uses. */
export type ConfigurationGateContext = Pick<
  EntryHostContext,
  'settings' | 'clock' | 'timers' | 'signal'
>;

/**
 * Decides whether a request may be handled by the configuration in use: changes
 * have to be in force within a bound, so that an older configuration can't show
 * that a route does not exist. Requests that arrive while it is not confirmed
 * share one read.
 */
export class ConfigurationGate {
  private pending: Promise<unknown> | undefined;
  private refreshedAt: Instant | undefined;

  constructor(
    private readonly context: ConfigurationGateContext,
    /** Milliseconds since the configuration in use was known to be current. */
    private readonly confirmedAgeMs: () => number,
    private readonly source: ConfigurationSource,
  ) {}

  /**
   * Whether the configuration in use includes all changes that had to be in
   * force when a request arrived. Reads the store if that is not known.
   */
  async confirm(arrivedAt: Instant): Promise<boolean> {
    if (this.isConfirmed(arrivedAt)) {
      return true;
    }
    if (this.source.failingMs() <= UNAVAILABLE_AFTER_MS) {
      await this.refresh();
    }
    return this.isConfirmed(arrivedAt);
  }

  /** Whether the configuration in use is known to include those changes. */
  isConfirmed(arrivedAt: Instant): boolean {
    const {clock, settings} = this.context;
    const sinceArrivalMs = elapsedMs(arrivedAt, clock.now());
    return (
      this.confirmedAgeMs() - sinceArrivalMs <=
      settings.newsBounds.configurationMs
    );
  }

  /** Waits for the read in progress, or for a new one if that is due. */
  private async refresh(): Promise<void> {
    const {timers, signal, clock} = this.context;
    const at = clock.now();
    if (
      this.pending === undefined &&
      (this.refreshedAt === undefined ||
        elapsedMs(this.refreshedAt, at) >= REFRESH_INTERVAL_MS)
    ) {
      this.refreshedAt = at;
      const timeout = sleep(timers, CONFIRMATION_TIMEOUT_MS, signal);
      this.pending = Promise.race([this.source.refresh(), timeout]);
      void this.pending.then(() => {
        this.pending = undefined;
      });
    }
    await this.pending;
  }
}
