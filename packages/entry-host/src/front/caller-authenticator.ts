import {elapsedMs, type Instant} from '@basilworks/core';
import {
  type Caller,
  type CallerIdentity,
  identify,
  type KeyRing,
  mayAcceptKeys,
  mayStillSend,
  type Route,
} from '@basilworks/dispatch';

import type {EntryHostContext} from '../context.js';
import {headerValues} from '../upstream/index.js';

/** The parts of the entry host that the authenticator uses. */
export type CallerAuthenticatorContext = Pick<
  EntryHostContext,
  'settings' | 'clock' | 'views'
> & {
  readonly platform: {
    readonly forwarding: {readonly headers: {readonly key: string}};
  };
};

/**
 * Time after which a caller that was refused for an unconfirmed configuration
 * may retry, ms: by then this host has reconnected and read the store again, or
 * another host serves the retry.
 */
export const UNCONFIRMED_RETRY_MS = 1_000;

/** Identifies callers by their keys, using the current configuration. */
export class CallerAuthenticator {
  private keyRing: KeyRing | undefined;
  /** Store revision of the current configuration. */
  private revision: number | undefined;
  /** Start of the latest read that found the configuration to be current. */
  private confirmedAt: Instant | undefined;

  constructor(private readonly context: CallerAuthenticatorContext) {}

  /**
   * Replaces the current configuration. `keyRing` is undefined if the
   * configuration defines no tenants.
   */
  applyConfiguration(keyRing: KeyRing | undefined, revision: number): void {
    this.keyRing = keyRing;
    this.revision = revision;
    this.confirmedAt = undefined;
  }

  identify(
    rawHeaders: readonly string[],
    route: Pick<Route, 'open'>,
  ): CallerIdentity {
    const {settings, platform} = this.context;
    const {keyRing} = this;
    if (keyRing === undefined) {
      return {type: 'unnamed'};
    }
    const ageMs = this.confirmedAgeMs();
    const {key} = platform.forwarding.headers;
    return identify({
      ring: keyRing,
      route,
      keys: headerValues(rawHeaders, key.toLowerCase()),
      mayAcceptKeys: mayAcceptKeys(ageMs, settings.keyRevocationMs),
      mayRejectKeys: ageMs < settings.newsBounds.configurationMs,
    });
  }

  /**
   * Whether a request may be sent to a server in this turn of the event loop.
   * Its key may have been revoked while it waited.
   */
  mayStillSend(caller: Caller): boolean {
    const {keyRevocationMs} = this.context.settings;
    const keysAcceptable = mayAcceptKeys(
      this.confirmedAgeMs(),
      keyRevocationMs,
    );
    return mayStillSend(caller, this.keyRing, keysAcceptable);
  }

  /**
   * Milliseconds since the current configuration was last known to be the
   * newest; `Infinity` if never. A read that returns a newer configuration
   * which this host can't apply does not confirm the current one.
   */
  confirmedAgeMs(): number {
    const {views, clock} = this.context;
    const view = views.get('configuration');
    if (view !== undefined && view.snapshot.revision === this.revision) {
      this.confirmedAt = view.freshAt;
    }
    return this.confirmedAt === undefined
      ? Infinity
      : elapsedMs(this.confirmedAt, clock.now());
  }
}

/** Returns the route with its tenant's priority, if the tenant has one. */
export const withTenantPriority = (route: Route, caller: Caller): Route => {
  const priority =
    caller.type === 'tenant' ? caller.tenant.priority : undefined;
  return priority === undefined ? route : {...route, priority};
};
