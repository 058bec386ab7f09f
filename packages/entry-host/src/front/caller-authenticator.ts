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

/** What the gate needs of its host. */
export type CallerAuthenticatorContext = Pick<
  EntryHostContext,
  'settings' | 'clock' | 'views'
> & {
  readonly platform: {
    readonly forwarding: {readonly headers: {readonly key: string}};
  };
};

/** Until a host that was cut off has read again, or another serves, ms. */
export const UNCONFIRMED_RETRY_MS = 1_000;

/** Tells for whom requests are served, by the configuration in use. */
export class CallerAuthenticator {
  private ring: KeyRing | undefined;
  /** Revision of the store that the configuration in use is from. */
  private revision: number | undefined;
  /** Start of the latest read that confirmed the configuration in use. */
  private confirmedAt: Instant | undefined;

  constructor(private readonly context: CallerAuthenticatorContext) {}

  /** Goes by a configuration from now on; no ring where it has no tenants. */
  applyConfiguration(ring: KeyRing | undefined, revision: number): void {
    this.ring = ring;
    this.revision = revision;
    this.confirmedAt = undefined;
  }

  identify(
    rawHeaders: readonly string[],
    route: Pick<Route, 'open'>,
  ): CallerIdentity {
    const {settings, platform} = this.context;
    const {ring} = this;
    if (ring === undefined) {
      return {type: 'unnamed'};
    }
    const ageMs = this.confirmedAgeMs();
    const {key} = platform.forwarding.headers;
    return identify({
      ring,
      route,
      keys: headerValues(rawHeaders, key.toLowerCase()),
      mayAcceptKeys: mayAcceptKeys(ageMs, settings.keyRevocationMs),
      mayRejectKeys: ageMs < settings.newsBounds.configurationMs,
    });
  }

  /** Whether a request may leave for a server in this turn. */
  mayStillSend(caller: Caller): boolean {
    const {keyRevocationMs} = this.context.settings;
    const fresh = mayAcceptKeys(this.confirmedAgeMs(), keyRevocationMs);
    return mayStillSend(caller, this.ring, fresh);
  }

  /**
   * Milliseconds since the configuration in use was known to be the newest. A
   * newer one that this host can't use confirms nothing of it.
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

/** The route with the rank of its caller's tenant, if that has one. */
export const withTenantPriority = (route: Route, caller: Caller): Route => {
  const priority =
    caller.type === 'tenant' ? caller.tenant.priority : undefined;
  return priority === undefined ? route : {...route, priority};
};
