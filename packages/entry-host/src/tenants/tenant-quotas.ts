import {elapsedMs, type Instant} from '@basilworks/core';
import {
  QuotaAccount,
  type QuotaAsk,
  type ServingConfiguration,
  type Spend,
  requestCost,
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

/** How often accounts that no request waits for are looked at, ms. */
const UPKEEP_PERIOD_MS = 250;

/** Longest wait of a request for its meter, milliseconds: some round trips. */
const LONGEST_WAIT_MS = 120;

/** Answers missing in a row after which a host is passed over. */
const DOUBTFUL_MISSES = 2;

/** How long a host is passed over that gave no answer, milliseconds. */
const DOUBT_MS = 1_000;

/** When to come back after no meter was heard, milliseconds. */
const UNHEARD_RETRY_MS = 250;

interface Waiter {
  readonly requestId: string;
  readonly tokens: number;
  readonly timer: string;
  readonly resolve: (admission: Admission) => void;
  /** Serial of the first ask that told of it. */
  serial: number | undefined;
}

interface Holding {
  readonly account: QuotaAccount;
  readonly waiting: Set<Waiter>;
}

/** What quotas need of their host. */
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
    readonly forwarding: Pick<ForwardingProtocol, 'readTokenUsage'>;
  };
};

/** Asks of one message. */
type Asks = ReadonlyMap<string, QuotaAsk>;

/** Tells the timers of requests that wait apart. */
let waits = 0;

/**
 * Keeps the requests of all hosts within their tenants' quotas. Most are met
 * from what this host holds of a quota; one that finds nothing waits for one
 * answer of the tenant's meter.
 */
export class TenantQuotas implements QuotaGate {
  private readonly book: QuotaTable;
  private readonly meters: TenantMeters;
  private readonly holdings = new Map<string, Holding>();
  private readonly misses = new Map<string, {count: number; at: Instant}>();
  /** Tenants with requests that no ask has told of. */
  private readonly unasked = new Set<string>();

  constructor(
    private readonly context: TenantQuotasContext,
    private readonly linkTo: (
      host: string,
    ) => Pick<PeerConnection, 'quota'> | undefined,
  ) {
    this.book = new QuotaTable(() => context.settings.quotaTolerance);
    this.meters = new TenantMeters(context, this.book);
  }

  start(): void {
    const {timers, signal} = this.context;
    const upkeep = () => {
      this.upkeep();
    };
    timers.every('quotas/upkeep', UPKEEP_PERIOD_MS, upkeep, {signal});
  }

  /** Goes by a newer configuration from now on. */
  use(configuration: ServingConfiguration): void {
    this.book.use(configuration);
  }

  admit({requestId, caller, usage}: QuotaRequest): Promise<Admission> {
    const tenant = caller.type === 'tenant' ? caller.tenant.name : '';
    const quota = this.book.quotaOf(tenant);
    if (quota === undefined) {
      return Promise.resolve(ADMITTED);
    }
    const {readTokenUsage} = this.context.platform.forwarding;
    const stated = usage === undefined ? undefined : readTokenUsage(usage);
    const tokens = requestCost(quota, stated);
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
    const {account, waiting} = this.holdingOf(tenant);
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
      const timer = `quotas/wait/${(waits += 1)}`;
      const serial = undefined;
      const waiter: Waiter = {requestId, tokens, timer, resolve, serial};
      waiting.add(waiter);
      this.context.timers.after(timer, LONGEST_WAIT_MS, () => {
        this.turnAway(tenant, waiter, 'unheard', UNHEARD_RETRY_MS);
      });
      this.askSoon(tenant);
    });
  }

  /** Answers a host that takes this one for the meter of tenants. */
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

  private holdingOf(tenant: string): Holding {
    const bounds = this.book.boundsOf(tenant);
    const known = this.holdings.get(tenant);
    if (known !== undefined) {
      if (bounds !== undefined) {
        known.account.setBounds(bounds);
      }
      return known;
    }
    if (bounds === undefined) {
      throw new Error('an account needs a quota');
    }
    const account = new QuotaAccount(bounds);
    const made = {account, waiting: new Set<Waiter>()};
    this.holdings.set(tenant, made);
    return made;
  }

  private upkeep(): void {
    if (this.book.empty && this.holdings.size === 0) {
      return;
    }
    const at = this.context.clock.now();
    this.meters.review(at);
    const due: string[] = [];
    for (const [tenant, {account, waiting}] of this.holdings) {
      if (waiting.size === 0 && account.isIdle(at)) {
        this.holdings.delete(tenant);
      } else if (account.isRenewalDue(at)) {
        due.push(tenant);
      }
    }
    this.ask(due);
  }

  /** Asks at the end of the turn, for all requests that it brought. */
  private askSoon(tenant: string): void {
    if (this.unasked.size === 0) {
      queueMicrotask(() => {
        const tenants = [...this.unasked];
        this.unasked.clear();
        this.ask(tenants);
      });
    }
    this.unasked.add(tenant);
  }

  /** Sends one message to each host that meters some of the tenants. */
  private ask(tenants: readonly string[]): void {
    const at = this.context.clock.now();
    const byHost = new Map<string, Map<string, QuotaAsk>>();
    for (const tenant of tenants) {
      const holding = this.holdings.get(tenant);
      if (holding === undefined) {
        continue;
      }
      const {account, waiting} = holding;
      const {primary, standby} = this.meters.meterHostsOf(tenant);
      const host = [primary, standby].find(
        (name) => name !== undefined && !this.isDoubtful(name, at),
      );
      if (host === undefined) {
        for (const waiter of waiting) {
          this.turnAway(tenant, waiter, 'unheard', UNHEARD_RETRY_MS);
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

  private async send(host: string, asks: Asks, askedAt: Instant) {
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
    this.take(response, asks, askedAt);
  }

  private isDoubtful(host: string, at: Instant): boolean {
    const {count = 0, at: missedAt = at} = this.misses.get(host) ?? {};
    if (count > 0 && elapsedMs(missedAt, at) >= DOUBT_MS) {
      this.misses.delete(host);
      return false;
    }
    return count >= DOUBTFUL_MISSES;
  }

  private take(
    {grants}: fleet.QuotaResponse,
    asks: Asks,
    askedAt: Instant,
  ): void {
    const at = this.context.clock.now();
    const byTenant = new Map(grants.map((grant) => [grant.tenant, grant]));
    for (const [tenant, {serial}] of asks) {
      const holding = this.holdings.get(tenant);
      if (holding === undefined) {
        continue;
      }
      const {account, waiting} = holding;
      const grant = byTenant.get(tenant);
      if (grant !== undefined) {
        const rise = account.applyAnswer(grant, askedAt, at);
        this.count(tenant, 'granted', rise);
      }
      const reason = refusalOf(grant);
      let retryAfterMs = grant?.retryAfterMs ?? UNHEARD_RETRY_MS;
      for (const waiter of waiting) {
        const spend = account.trySpend(waiter.tokens, at);
        if (spend !== undefined) {
          this.resolve(tenant, waiter, this.admitted(tenant, account, spend));
        } else if ((waiter.serial ?? Infinity) <= serial) {
          this.turnAway(tenant, waiter, reason, retryAfterMs);
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
    this.count(tenant, 'spent', spend.tokens);
    const end = (ran: boolean) => {
      const {clock} = this.context;
      this.count(tenant, 'returned', account.settle(spend, ran, clock.now()));
    };
    return {type: 'admitted', end};
  }

  private turnAway(
    tenant: string,
    waiter: Waiter,
    reason: RefusalReason,
    retryAfterMs: number,
  ): void {
    const {requestId, tokens} = waiter;
    const ends = [tokens, reason, retryAfterMs] as const;
    this.resolve(tenant, waiter, this.refuse(tenant, requestId, ...ends));
  }

  private resolve(tenant: string, waiter: Waiter, admission: Admission): void {
    this.context.timers.cancel(waiter.timer);
    this.holdings.get(tenant)?.waiting.delete(waiter);
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
    const known = this.holdings.get(tenant)?.account.latestBalance(clock.now());
    metrics.quotaRefusals.inc({tenant, reason});
    logger.info('request refused by a quota', {
      requestId,
      tenant,
      configuration: this.book.version,
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

  private count(tenant: string, event: string, tokens: number): void {
    if (tokens > 0) {
      this.context.metrics.quotaTokens.inc({tenant, event}, tokens);
    }
  }
}

const refusalOf = (grant: fleet.QuotaGrant | undefined): RefusalReason => {
  if (grant === undefined) {
    return 'unheard';
  }
  return grant.provisional ? 'unsettled' : 'over-quota';
};
