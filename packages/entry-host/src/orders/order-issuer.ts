import {elapsedMs, type Instant} from '@basilworks/core';
import {
  AdapterDemand,
  type AdapterName,
  type AdapterSlots,
  type AdapterSlotsEffect,
  type AdapterSlotsEvent,
  type EventGap,
  LongTermSlowdown,
  type Order,
  type OrderOutcome,
  overloadThreshold,
  type PrefillPace,
  PrefillQueue,
  type PrepareAnswer,
  type PrepareRefusal,
  type PrepareRequest,
  type Server,
  ServerDemand,
} from '@basilworks/dispatch';

import type {EntryHostContext} from '../context.js';
import {type ServerCaller, UpstreamError} from '../upstream/index.js';
import type {SendPermits} from '../permits/index.js';
import type {ClaimManager} from './claim-manager.js';

/**
 * Timeout of an order: many round trips, yet short, because an unanswered order
 * delays other orders.
 */
const ORDER_TIMEOUT_MS = 60;

/**
 * Wait reported for a fully occupied server; an overloaded server reports it
 * multiplied by its occupancy.
 */
const FULL_SERVER_WAIT_MS = 300;

/** Calls that a load needs: an unload, a load, a report and the request. */
const CALLS_PER_LOAD = 4;

/**
 * Share of the time to a late first event that a prompt may be expected to wait
 * at a server while others can be asked.
 */
const PREFILL_WAIT_SHARE = 0.5;

/** Timeout of a request for a report. */
const REPORT_TIMEOUT_MS = 500;

/** Executes the effects of the adapter slots of one server instance. */
export class OrderIssuer {
  private readonly pendingPrepares = new Map<
    string,
    (answer: PrepareAnswer) => void
  >();
  private readonly demand = new ServerDemand();
  private readonly adapterDemand = new AdapterDemand();
  private readonly slowdown: LongTermSlowdown;
  private readonly prompts: PrefillQueue;
  /** Ends the wait of a prompt; by the id of its request. */
  private readonly waitingPrompts = new Map<string, () => void>();
  private closed = false;

  constructor(
    private readonly context: EntryHostContext,
    private readonly claims: ClaimManager,
    private readonly caller: ServerCaller,
    private readonly permits: SendPermits,
    private readonly server: Server,
    private readonly slots: AdapterSlots,
    private readonly pace: PrefillPace,
  ) {
    this.prompts = new PrefillQueue(pace);
    this.slowdown = new LongTermSlowdown(server.health.speed.longTermSlowdown);
  }

  post(event: AdapterSlotsEvent): void {
    const effects = this.slots.reduce(event, this.context.clock.now());
    for (const effect of effects) {
      EFFECT_HANDLERS[effect.type](this, effect as never);
    }
  }

  /** Releases a host's reference on an adapter. */
  release(host: string, name: AdapterName): void {
    this.post({type: 'adapter-released', host, name});
  }

  /** Resolves once the adapter is resident or the request is refused. */
  prepare(
    request: PrepareRequest,
    signal: AbortSignal,
  ): Promise<PrepareAnswer> {
    const {timers, clock} = this.context;
    const {among, uses, slowness} = request;
    const requestedAt = clock.now();
    if (slowness !== undefined) {
      this.slowdown.applyReport(slowness);
    }
    this.applyRequestCount(request.host, request.inFlight);
    this.adapterDemand.recordRequest(request, among, clock.now(), uses);
    return new Promise((resolve) => {
      const {requestId, maximumWaitMs} = request;
      const timer = `prepare/${this.server.key}/${requestId}`;
      const cancel = () => {
        if (this.pendingPrepares.delete(requestId)) {
          this.post({type: 'prepare-cancelled', requestId});
          settle(refused('too-long', 0));
        }
      };
      const settle = (answer: PrepareAnswer) => {
        if (answer.outcome === 'refused') {
          this.logRefusal(request, answer);
        } else {
          this.demand.recordGrant(request.host, clock.now());
        }
        timers.cancel(timer);
        signal.removeEventListener('abort', cancel);
        const limited = this.pace.limitMs !== undefined;
        const finish = (promptWaitMs?: number) => {
          resolve({
            ...answer,
            requests: this.requests(),
            spread: this.spreadOf(request),
            slowness: this.slowdown.current(),
            prefillLimit: this.pace.prefillLimit,
            promptWaitMs,
          });
        };
        if (
          limited &&
          answer.outcome === 'resident' &&
          request.promptTokens > 0
        ) {
          this.waitForPrefill(request, requestedAt, signal, finish);
        } else {
          finish();
        }
      };
      const refusal = this.refusal(request);
      if (refusal !== undefined) {
        settle(refusal);
        return;
      }
      this.pendingPrepares.set(requestId, settle);
      signal.addEventListener('abort', cancel, {once: true});
      timers.after(timer, maximumWaitMs, cancel);
      this.post({type: 'prepare-requested', request});
    });
  }

  /** Records how many requests a host has at the server. */
  applyRequestCount(host: string, requests: number): void {
    this.demand.applyReport(host, requests, this.context.clock.now());
  }

  /** Applies a host's report of a long gap between two events. */
  recordGap(host: string, gap: EventGap): void {
    const at = this.context.clock.now();
    const {key: server} = this.server;
    const busyMs = this.prompts.recentBusyMs(at);
    const before = this.pace.limitMs;
    this.pace.recordGap(gap, {server, host, busyMs}, at);
    if (this.pace.limitMs !== before) {
      this.context.logger.info('prefill limit changed', {
        server: this.server.entry.id,
        limitMs: Math.round(this.pace.limitMs ?? 0),
        previousMs: before === undefined ? undefined : Math.round(before),
        busyMs: Math.round(busyMs),
        gapMs: Math.round(gap.gapMs),
        targetMs: Math.round(gap.targetMs),
      });
    }
  }

  /** Records that a prompt is no longer pending, which lets others go. */
  recordPrefilled(requestId: string, prefillMs: number | undefined): void {
    this.prompts.recordPrefilled(
      requestId,
      prefillMs,
      this.context.clock.now(),
    );
    this.releasePrompts();
  }

  /** Number of requests of all live hosts at the server. */
  requests(): number {
    const {membership, clock} = this.context;
    return this.demand.requests((host) => membership.isLive(host), clock.now());
  }

  close(): void {
    this.closed = true;
    this.context.timers.cancel(this.wakeTimer);
    this.context.timers.cancel(this.promptTimer);
    // The hosts notice that the server is gone before they send.
    for (const endWait of [...this.waitingPrompts.values()]) {
      endWait();
    }
    this.post({type: 'server-gone'});
  }

  /** Called for an effect, like the next three; see `EFFECT_HANDLERS`. */
  resolvePrepare(requestId: string, answer: PrepareAnswer): void {
    const resolve = this.pendingPrepares.get(requestId);
    this.pendingPrepares.delete(requestId);
    resolve?.(answer);
  }

  wakeAfter(delayMs: number): void {
    this.context.timers.after(this.wakeTimer, delayMs, () => {
      this.post({type: 'woken'});
    });
  }

  sendOrder(order: Order): void {
    this.whenPermitted(`order/${order.serial}`, () => {
      this.writeOrder(order);
    });
  }

  private writeOrder(order: Order): void {
    // Checked in the same turn as the order is written, so that it is current.
    const fence = this.claims.fenceFor(this.server.entry.id);
    if (fence === undefined) {
      this.endOrder(order, 'withheld');
      return;
    }
    const {platform, settings} = this.context;
    const call = platform.engines.order(order, settings.host, fence);
    void this.caller
      .call(this.server, 'order', call, ORDER_TIMEOUT_MS)
      .then((answer) => {
        this.endOrder(
          order,
          answer instanceof UpstreamError
            ? answer.sent
              ? 'unanswered'
              : 'withheld'
            : platform.engines.orderOutcome(answer.status),
        );
      });
  }

  fetchReport(): void {
    this.whenPermitted('report', () => {
      this.sendReportRequest();
    });
  }

  private sendReportRequest(): void {
    const {platform, logger} = this.context;
    void this.caller
      .call(this.server, 'report', platform.engines.report, REPORT_TIMEOUT_MS)
      .then((answer) => {
        if (answer instanceof UpstreamError || answer.status !== 200) {
          this.post({type: 'report-failed'});
          return;
        }
        const report = platform.engines.parseReport(answer.body);
        if (report.isErr()) {
          const {id} = this.server.entry;
          const problem = report.error.message;
          logger.warn('malformed server report', {server: id, problem});
          this.post({type: 'report-failed'});
          return;
        }
        this.post({type: 'report-read', report: report.value});
      });
  }

  /** Runs a call of this host once the server's rate limit permits it. */
  private whenPermitted(name: string, run: () => void): void {
    const delayMs = this.permits.reserve(this.server);
    if (delayMs === 0) {
      run();
      return;
    }
    const timer = `held/${this.server.key}/${name}`;
    this.context.timers.after(timer, delayMs, () => {
      if (!this.closed) {
        run();
      }
    });
  }

  /**
   * Calls back once the prompt of a request may be sent, or when the request has
   * waited for its maximum since `requestedAt`, adapter included: its host would
   * take this one for unresponsive. A request whose caller leaves is called back
   * at once, since its host holds the adapter by then.
   */
  private waitForPrefill(
    request: PrepareRequest,
    requestedAt: Instant,
    signal: AbortSignal,
    done: (waitedMs: number) => void,
  ): void {
    const {timers, clock, metrics} = this.context;
    const {requestId: id, promptTokens: tokens, priority} = request;
    const {onTimeWithinMs, maximumWaitMs} = request;
    const timer = `prompt/${this.server.key}/${id}`;
    const since = clock.now();
    const endWait = () => {
      timers.cancel(timer);
      signal.removeEventListener('abort', abandon);
      this.waitingPrompts.delete(id);
      const {service} = this.server.entry;
      const waitedMs = elapsedMs(since, clock.now());
      metrics.prefillWaitSeconds.observe({service}, waitedMs / 1_000);
      done(waitedMs);
    };
    const abandon = () => {
      this.prompts.withdraw(id, clock.now());
      endWait();
    };
    this.prompts.add({id, tokens, priority, onTimeWithinMs}, since);
    this.waitingPrompts.set(id, endWait);
    signal.addEventListener('abort', abandon, {once: true});
    const leftMs = maximumWaitMs - elapsedMs(requestedAt, since);
    timers.after(timer, Math.max(1, leftMs), abandon);
    this.releasePrompts();
  }

  /** Lets the prompts go that may be sent now. */
  private releasePrompts(): void {
    const {timers, clock} = this.context;
    for (const id of this.prompts.release(clock.now())) {
      this.waitingPrompts.get(id)?.();
    }
    const nextMs = this.prompts.nextMs(clock.now());
    if (nextMs !== undefined) {
      timers.after(this.promptTimer, nextMs, () => {
        this.releasePrompts();
      });
    }
  }

  /** Returns a refusal that does not depend on free slots, if any applies. */
  private refusal(request: PrepareRequest): PrepareAnswer | undefined {
    const {notices} = this.server;
    if (notices.leaving) {
      return refused('server-gone', 0);
    }
    const pauseMs = notices.pauseLeftMs(this.context.clock.now());
    if (pauseMs > 0) {
      return refused('held-back', pauseMs);
    }
    const limit = this.permits.capacity(this.server);
    // Orders count towards the rate limit: no load if the request itself would
    // not be permitted, or if another server may load the adapter instead.
    if (
      limit !== undefined &&
      !(
        limit.available &&
        (request.takesCrowded || this.slots.isResident(request))
      )
    ) {
      return refused('held-back', CALLS_PER_LOAD * limit.msPerRequest);
    }
    const {maximumWaitMs, onTimeWithinMs, promptTokens} = request;
    if (this.pace.limitMs !== undefined && promptTokens > 0) {
      const waitMs = this.prompts.expectedWaitMs(
        request,
        this.context.clock.now(),
      );
      const acceptableMs = request.takesCrowded
        ? maximumWaitMs
        : Math.min(maximumWaitMs, onTimeWithinMs * PREFILL_WAIT_SHARE);
      if (waitMs > acceptableMs) {
        return refused('prompts-waiting', waitMs);
      }
    }
    const occupancy = this.requests() / this.effectiveSlots();
    return !request.takesCrowded && this.isOverloaded(occupancy)
      ? refused('crowded', occupancy * FULL_SERVER_WAIT_MS)
      : undefined;
  }

  /** Number of slots divided by the slowdown of the server. */
  effectiveSlots(): number {
    return this.server.entry.slots / (this.slowdown.current() ?? 1);
  }

  /** Whether the occupancy is far above the mean of the service. */
  private isOverloaded(occupancy: number): boolean {
    return occupancy >= (this.overloadOccupancy() ?? Infinity);
  }

  /** Occupancy from which the server is overloaded; undefined if unknown. */
  private overloadOccupancy(): number | undefined {
    const {fleetLoad, clock} = this.context;
    const {service} = this.server.entry;
    const mean = fleetLoad.occupancy(service, clock.now());
    return mean === undefined ? undefined : overloadThreshold(mean);
  }

  /** Number of servers over which an adapter should be spread. */
  private spreadOf(name: AdapterName): number | undefined {
    const occupancyLimit = this.overloadOccupancy();
    return occupancyLimit === undefined
      ? undefined
      : this.adapterDemand.spread(
          name,
          {
            requests: this.requests(),
            overloadThreshold: occupancyLimit * this.effectiveSlots(),
            detectBursts: this.slowdown.current() !== undefined,
          },
          this.context.clock.now(),
        );
  }

  private logRefusal(
    {requestId, model, adapter, maximumWaitMs}: PrepareRequest,
    {reason, retryAfterMs}: PrepareAnswer & {outcome: 'refused'},
  ): void {
    const {clock, logger} = this.context;
    logger.info('adapter refused', {
      requestId,
      server: this.server.entry.id,
      model,
      adapter,
      reason,
      maximumWaitMs: Math.round(maximumWaitMs),
      expectedWaitMs: Math.round(retryAfterMs),
      requests: this.requests(),
      ...this.slots.usage(clock.now()),
    });
  }

  private endOrder(order: Order, outcome: OrderOutcome): void {
    const {metrics, logger} = this.context;
    const {operation, model, adapter, version, expectedOrders} = order;
    metrics.orders.inc({operation, end: outcome});
    logger.info('order ended', {
      server: this.server.entry.id,
      operation,
      model,
      adapter,
      version,
      expectedOrders,
      end: outcome,
    });
    // Deferred, as the turn that issued the order may still be running.
    queueMicrotask(() => {
      this.post({type: 'order-ended', order, end: outcome});
    });
  }

  private get promptTimer(): string {
    return `prompts/${this.server.key}`;
  }

  private get wakeTimer(): string {
    return `orders/${this.server.key}`;
  }
}

const refused = (reason: PrepareRefusal, waitMs: number): PrepareAnswer => ({
  outcome: 'refused',
  reason,
  retryAfterMs: Math.ceil(waitMs),
});

type EffectHandlers = {
  readonly [Type in AdapterSlotsEffect['type']]: (
    issuer: OrderIssuer,
    effect: Extract<AdapterSlotsEffect, {type: Type}>,
  ) => void;
};

const EFFECT_HANDLERS: EffectHandlers = {
  'send-order': (issuer, {order}) => {
    issuer.sendOrder(order);
  },
  'read-report': (issuer) => {
    issuer.fetchReport();
  },
  'answer-prepare': (issuer, {requestId, answer}) => {
    issuer.resolvePrepare(requestId, answer);
  },
  'wake-after': (issuer, {delayMs}) => {
    issuer.wakeAfter(delayMs);
  },
};
