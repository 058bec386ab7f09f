import type {Caller, FairShares, FairShareDecision} from '@basilworks/dispatch';

import type {EntryHostContext} from '../context.js';
import {headerValue} from '../upstream/index.js';
import type {CallerRequest} from './caller-request.js';

/** Counts what tenants ask of a service and get, and keeps their shares. */
export class TenantShares {
  constructor(
    private readonly context: Pick<EntryHostContext, 'clock' | 'platform'>,
    private readonly shares: FairShares,
  ) {}

  /** A request arrives; says whether it is taken. */
  arrived(
    request: CallerRequest,
    caller: Caller,
    service: string,
  ): FairShareDecision {
    return caller.type === 'unnamed'
      ? {admitted: true}
      : this.shares.admit(service, ...this.use(request, caller));
  }

  /** A server has run it. */
  ran(request: CallerRequest, caller: Caller, service: string): void {
    if (caller.type !== 'unnamed') {
      this.shares.recordServed(service, ...this.use(request, caller));
    }
  }

  /**
   * Tenant, amount and time. Amounts are tokens where a request or its tenant's
   * quota says how many, else requests: those of one service are alike.
   */
  private use({rawHeaders}: CallerRequest, caller: Caller) {
    const {forwarding} = this.context.platform;
    const name = forwarding.headers.tokenUsage.toLowerCase();
    const usage = forwarding.parseTokenUsage(
      headerValue(rawHeaders, name) ?? '',
    );
    const tenant = caller.type === 'tenant' ? caller.tenant : undefined;
    const plain = tenant?.quota?.unit === 'tokens' && tenant.quota.plainTokens;
    const tokens =
      usage === undefined ? plain : usage.promptTokens + usage.outputTokens;
    const amount = Math.max(1, Number(tokens));
    return [tenant?.name, amount, this.context.clock.now()] as const;
  }
}
