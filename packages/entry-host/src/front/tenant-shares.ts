import type {Caller, FairShareDecision, FairShares} from '@basilworks/dispatch';

import type {EntryHostContext} from '../context.js';
import {headerValue} from '../upstream/index.js';
import type {CallerRequest} from './caller-request.js';

/**
 * Records what tenants request from services and what they are served, and
 * limits them to their fair shares.
 */
export class TenantShares {
  constructor(
    private readonly context: Pick<EntryHostContext, 'clock' | 'platform'>,
    private readonly shares: FairShares,
  ) {}

  /** Records an arriving request and decides whether to admit it. */
  admit(
    request: CallerRequest,
    caller: Caller,
    service: string,
  ): FairShareDecision {
    return caller.type === 'unnamed'
      ? {admitted: true}
      : this.shares.admit(service, ...this.usageOf(request, caller));
  }

  /** Records that a server ran the request, or may have. */
  recordServed(request: CallerRequest, caller: Caller, service: string): void {
    if (caller.type !== 'unnamed') {
      this.shares.recordServed(service, ...this.usageOf(request, caller));
    }
  }

  /**
   * Returns tenant, amount and time. The amount is in tokens if the request or
   * its tenant's quota states a number, else 1 per request, as requests of one
   * service cost about the same.
   */
  private usageOf({rawHeaders}: CallerRequest, caller: Caller) {
    const {forwarding} = this.context.platform;
    const name = forwarding.headers.tokenUsage.toLowerCase();
    const usage = forwarding.parseTokenUsage(
      headerValue(rawHeaders, name) ?? '',
    );
    const tenant = caller.type === 'tenant' ? caller.tenant : undefined;
    const defaultTokens =
      tenant?.quota?.unit === 'tokens' && tenant.quota.plainTokens;
    const tokens =
      usage === undefined
        ? defaultTokens
        : usage.promptTokens + usage.outputTokens;
    const amount = Math.max(1, Number(tokens));
    return [tenant?.name, amount, this.context.clock.now()] as const;
  }
}
