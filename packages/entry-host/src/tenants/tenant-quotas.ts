import {elapsedMs, type Instant} from '@basilworks/core';
import {
  QuotaAccount,
  type QuotaAsk,
  requestCost,
  type ServingConfiguration,
  type Spend,
} from '@basilworks/dispatch';
import type {fleet} from '@basilworks/protocol';

import type {EntryHostContext} from '../context.js';
import type {PeerConnection} from '../peers/index.js';
import type {ForwardingProtocol} from '../ports.js';
import {
  type Admission,
  ADMITTED,
  type QuotaGate,
  type QuotaRequest,
  REFUSAL_STATUS,
  type RefusalReason,
} from './quota-gate.js';
import {QuotaTable} from './quota-table.js';
import {TenantMeters} from './tenant-meters.js';

/** Interval between checks of accounts, for idle ones and due renewals. */
const UPKEEP_PERIOD_MS = 250;

/** Longest wait of a request for its meter: a few round trips. */
const MAX_WAIT_MS = 120;

/** Consecutive missing answers after which a meter host is avoided. */
const MAX_CONSECUTIVE_MISSES = 2;

/** Time for which a host is avoided after its latest missing answer. */
const AVOIDANCE_MS = 1_000;

/** Retry delay given to callers when no meter host answers. */
const UNREACHABLE_RETRY_MS = 250;

interface Waiter {
  readonly requestId: string;
  readonly tokens: number;
  readonly timer: string;
  readonly resolve: (admission: Admission) => void;
  /** Serial of the first ask that included it. */
  serial: number | undefined;
}

interface TenantAccount {
  readonly account: QuotaAccount;
  readonly waiting: Set<Waiter>;
}

/** The parts of the context that quotas use. */
export type TenantQuotasContext = Pick<
  EntryHostContext,
  | 'settings'
  | 'clock'
  | 'timers'
  | 'logger'
  | 'metrics'
  | 'membership'
  | 'views'
  | 'signal'
> & {
  readonly platform: {
    readonly forwarding: Pick<ForwardingProtocol, 'parseTokenUsage'>;
  };
};

/** Asks of one message, by tenant. */
type AsksByTenant = ReadonlyMap<string, QuotaAsk>;

/** Makes the timer names of waiting requests unique. */
let waiterCount = 0;

/**
 * Enforces tenants' quotas over the requests of all hosts. Most requests are
 * admitted from this host's allowance; one that the allowance does not cover
 * waits for one answer of the tenant's meter.
 */
export class TenantQuotas implements QuotaGate {
  private readonly quotas: QuotaTable;
  private readonly meters: TenantMeters;
  private readonly accounts = new Map<string, TenantAccount>();
  private readonly misses = new Map<string, {count: number; at: Instant}>();
  /** Tenants with requests that no ask has included yet. */
  private readonly pendingAsks = new Set<string>();

  constructor(
    private readonly context: TenantQuotasContext,
    private readonly linkTo: (
      host: string,
    ) => Pick<PeerConnection, 'quota'> | undefined,
  ) {
    this.quotas = new QuotaTable(() => context.settings.quotaTolerance);
    this.meters = new TenantMeters(context, this.quotas);
  }

  start(): void {
    const {timers, signal} = this.context;
    const upkeep = () => {
      this.upkeep();
    };
    timers.every('quotas/upkeep', UPKEEP_PERIOD_MS, upkeep, {signal});
  }

  /** Applies a newer configuration. */
  use(configuration: ServingConfiguration): void {
    this.quotas.use(configuration);
  }

  admit({requestId, caller, usage}: QuotaRequest): Promise<Admission> {
    const tenant = caller.type === 'tenant' ? caller.tenant.name : '';
    const quota = this.quotas.quotaOf(tenant);
    if (quota === undefined) {
      return Promise.resolve(ADMITTED);
    }
    const {parseTokenUsage} = this.context.platform.forwarding;
    const declared = usage === undefined ? undefined : parseTokenUsage(usage);
    const tokens = requestCost(quota, declared);
    return tokens === undefined
      ? Promise.resolve(this.refuse(tenant, requestId, Infinity, 'absurd', 0))
      : this.spend(tenant, requestId, tokens);
  }

  private async spend(
    tenant: string,
    requestId: string,
    tokens: number,
  ): Promise<Admission> {
    const at = this.context.clock.now();
    const {account, waiting} = this.accountOf(tenant);
    account.recordDemand(tokens, at);
    const spend = account.trySpend(tokens, at);
    if (spend !== undefined) {
      return this.admitted(tenant, account, spend);
    }
    const denial = account.denial(tokens, at);
    if (denial !== undefined) {
      const reason = denial.provisional ? 'unsettled' : 'over-quota';
      const {retryAfterMs} = denial;
      return this.refuse(tenant, requestId, tokens, reason, retryAfterMs);
    }
    return new Promise((resolve) => {
      const timer = `quotas/wait/${(waiterCount += 1)}`;
      const serial = undefined;
      const waiter: Waiter = {requestId, tokens, timer, resolve, serial};
      waiting.add(waiter);
      this.context.timers.after(timer, MAX_WAIT_MS, () => {
        this.reject(tenant, waiter, 'unheard', UNREACHABLE_RETRY_MS);
      });
      this.scheduleAsk(tenant);
    });
  }

  /** Answers a host that considers this one the meter host of tenants. */
  grant({
    fromHost,
    incarnation,
    asks,
  }: fleet.QuotaRequest): fleet.QuotaResponse {
    const at = this.context.clock.now();
    const grants = asks.flatMap(({tenant, ...ask}) => {
      const {meters} = this;
      const answer = meters.answer(fromHost, incarnation, tenant, ask, at);
      return answer === undefined
        ? []
        : [
            {
              ...answer,
              tenant,
              serial: ask.serial,
              nextMs: Math.ceil(answer.nextMs),
              retryAfterMs: Math.ceil(answer.retryAfterMs),
            },
          ];
    });
    return {grants};
  }

  private accountOf(tenant: string): TenantAccount {
    const bounds = this.quotas.boundsOf(tenant);
    const known = this.accounts.get(tenant);
    if (known !== undefined) {
      if (bounds !== undefined) {
        known.account.setBounds(bounds);
      }
      return known;
    }
    if (bounds === undefined) {
      throw new Error('cannot open an account for a tenant without a quota');
    }
    const account = new QuotaAccount(bounds);
    const tenantAccount = {account, waiting: new Set<Waiter>()};
    this.accounts.set(tenant, tenantAccount);
    return tenantAccount;
  }

  private upkeep(): void {
    if (this.quotas.empty && this.accounts.size === 0) {
      return;
    }
    const at = this.context.clock.now();
    this.meters.review(at);
    const due: string[] = [];
    for (const [tenant, {account, waiting}] of this.accounts) {
      if (waiting.size === 0 && account.isIdle(at)) {
        this.accounts.delete(tenant);
      } else if (account.isRenewalDue(at)) {
        due.push(tenant);
      }
    }
    this.ask(due);
  }

  /** Asks at the end of the turn, once for all requests of the turn. */
  private scheduleAsk(tenant: string): void {
    if (this.pendingAsks.size === 0) {
      queueMicrotask(() => {
        const tenants = [...this.pendingAsks];
        this.pendingAsks.clear();
        this.ask(tenants);
      });
    }
    this.pendingAsks.add(tenant);
  }

  /** Sends one message with all asks to each meter host of the tenants. */
  private ask(tenants: readonly string[]): void {
    const at = this.context.clock.now();
    const byHost = new Map<string, Map<string, QuotaAsk>>();
    for (const tenant of tenants) {
      const tenantAccount = this.accounts.get(tenant);
      if (tenantAccount === undefined) {
        continue;
      }
      const {account, waiting} = tenantAccount;
      const {primary, standby} = this.meters.meterHostsOf(tenant);
      const host = [primary, standby].find(
        (name) => name !== undefined && !this.isAvoided(name, at),
      );
      if (host === undefined) {
        for (const waiter of waiting) {
          this.reject(tenant, waiter, 'unheard', UNREACHABLE_RETRY_MS);
        }
        continue;
      }
      const needs = [...waiting].map(({tokens}) => tokens);
      const ask = account.ask(needs, at);
      for (const waiter of waiting) {
        waiter.serial ??= ask.serial;
      }
      const asks = byHost.get(host) ?? new Map<string, QuotaAsk>();
      byHost.set(host, asks.set(tenant, ask));
    }
    for (const [host, asks] of byHost) {
      void this.send(host, asks, at);
    }
  }

  private async send(host: string, asks: AsksByTenant, requestedAt: Instant) {
    const {settings, membership, clock} = this.context;
    const {incarnation} = membership.self();
    const request = {
      fromHost: settings.host,
      incarnation,
      asks: [...asks].map(([tenant, ask]) => ({
        ...ask,
        tenant,
        needs: [...ask.needs],
      })),
    };
    const response =
      host === settings.host
        ? this.grant(request)
        : await this.linkTo(host)?.quota(request);
    if (response === undefined) {
      const count = (this.misses.get(host)?.count ?? 0) + 1;
      this.misses.set(host, {count, at: clock.now()});
      return;
    }
    this.misses.delete(host);
    this.applyGrants(response, asks, requestedAt);
  }

  private isAvoided(host: string, at: Instant): boolean {
    const {count = 0, at: missedAt = at} = this.misses.get(host) ?? {};
    if (count > 0 && elapsedMs(missedAt, at) >= AVOIDANCE_MS) {
      this.misses.delete(host);
      return false;
    }
    return count >= MAX_CONSECUTIVE_MISSES;
  }

  private applyGrants(
    {grants}: fleet.QuotaResponse,
    asks: AsksByTenant,
    requestedAt: Instant,
  ): void {
    const at = this.context.clock.now();
    const byTenant = new Map(grants.map((grant) => [grant.tenant, grant]));
    for (const [tenant, {serial}] of asks) {
      const tenantAccount = this.accounts.get(tenant);
      if (tenantAccount === undefined) {
        continue;
      }
      const {account, waiting} = tenantAccount;
      const grant = byTenant.get(tenant);
      if (grant !== undefined) {
        const rise = account.applyAnswer(grant, requestedAt, at);
        this.countTokens(tenant, 'granted', rise);
      }
      const reason = refusalReason(grant);
      let retryAfterMs = grant?.retryAfterMs ?? UNREACHABLE_RETRY_MS;
      for (const waiter of waiting) {
        const spend = account.trySpend(waiter.tokens, at);
        if (spend !== undefined) {
          this.resolve(tenant, waiter, this.admitted(tenant, account, spend));
        } else if ((waiter.serial ?? Infinity) <= serial) {
          this.reject(tenant, waiter, reason, retryAfterMs);
          retryAfterMs += account.refillMs(waiter.tokens);
        }
      }
    }
  }

  private admitted(
    tenant: string,
    account: QuotaAccount,
    spend: Spend,
  ): Admission {
    this.countTokens(tenant, 'spent', spend.tokens);
    const end = (ran: boolean) => {
      const {clock} = this.context;
      this.countTokens(
        tenant,
        'returned',
        account.settle(spend, ran, clock.now()),
      );
    };
    return {type: 'admitted', end};
  }

  private reject(
    tenant: string,
    waiter: Waiter,
    reason: RefusalReason,
    retryAfterMs: number,
  ): void {
    const {requestId, tokens} = waiter;
    const details = [tokens, reason, retryAfterMs] as const;
    this.resolve(tenant, waiter, this.refuse(tenant, requestId, ...details));
  }

  private resolve(tenant: string, waiter: Waiter, admission: Admission): void {
    this.context.timers.cancel(waiter.timer);
    this.accounts.get(tenant)?.waiting.delete(waiter);
    waiter.resolve(admission);
  }

  private refuse(
    tenant: string,
    requestId: string,
    tokens: number,
    reason: RefusalReason,
    retryAfterMs: number,
  ): Admission {
    const {metrics, logger, clock} = this.context;
    const known = this.accounts.get(tenant)?.account.latestBalance(clock.now());
    metrics.quotaRefusals.inc({tenant, reason});
    logger.info('request refused by quota', {
      requestId,
      tenant,
      configuration: this.quotas.version,
      tokens,
      balance: known && Math.round(known.balance),
      balanceAgeMs: known && Math.round(known.ageMs),
      reason,
      retryAfterMs: Math.round(retryAfterMs),
    });
    return {
      type: 'refused',
      status: REFUSAL_STATUS[reason],
      reason,
      retryAfterMs,
    };
  }

  private countTokens(tenant: string, event: string, tokens: number): void {
    if (tokens > 0) {
      this.context.metrics.quotaTokens.inc({tenant, event}, tokens);
    }
  }
}

const refusalReason = (grant: fleet.QuotaGrant | undefined): RefusalReason => {
  if (grant === undefined) {
    return 'unheard';
  }
  return grant.provisional ? 'unsettled' : 'over-quota';
};
