import {
  AdapterDemand,
  type AdapterName,
  type AdapterSlots,
  overloadThreshold,
  LongTermSlowdown,
  type Order,
  type OrderOutcome,
  type AdapterSlotsEffect,
  type AdapterSlotsEvent,
  type PrepareAnswer,
  type PrepareRefusal,
  type PrepareRequest,
  type Server,
  ServerDemand,
} from '@basilworks/dispatch';

import type {EntryHostContext} from '../context.js';
import {UpstreamError, type ServerCaller} from '../upstream/index.js';
import type {SendPermits} from '../permits/index.js';
import type {ClaimManager} from './claim-manager.js';

/**
 * Longest wait for the answer to an order, milliseconds: many round trips, and
 * short, as an order without an answer keeps others back.
 */
const ORDER_TIMEOUT_MS = 60;

/** Wait at a full server that a crowded one is told to cause, by its share. */
const FULL_SERVER_WAIT_MS = 300;

/** An unload, a load, the question whether it is done, and the request. */
const CALLS_OF_A_LOAD = 4;

/** Longest wait for a report, milliseconds. */
const REPORT_TIMEOUT_MS = 500;

/** Runs the effects of the adapter places of one run of a server. */
export class OrderIssuer {
  private readonly answers = new Map<string, (answer: PrepareAnswer) => void>();
  private readonly demand = new ServerDemand();
  private readonly adapterDemand = new AdapterDemand();
  private readonly slowness: LongTermSlowdown;
  private closed = false;

  constructor(
    private readonly context: EntryHostContext,
    private readonly claims: ClaimManager,
    private readonly caller: ServerCaller,
    private readonly permits: SendPermits,
    private readonly server: Server,
    private readonly places: AdapterSlots,
  ) {
    this.slowness = new LongTermSlowdown(server.health.speed.longTermSlowdown);
  }

  post(event: AdapterSlotsEvent): void {
    const effects = this.places.reduce(event, this.context.clock.now());
    for (const effect of effects) {
      RUNNERS[effect.type](this, effect as never);
    }
  }

  /** A host is done with an adapter. */
  release(host: string, name: AdapterName): void {
    this.post({type: 'adapter-released', host, name});
  }

  /** Resolves when the adapter is resident, or won't be. */
  prepare(
    request: PrepareRequest,
    signal: AbortSignal,
  ): Promise<PrepareAnswer> {
    const {timers, clock} = this.context;
    const {among, uses, slowness} = request;
    if (slowness !== undefined) {
      this.slowness.applyReport(slowness);
    }
    this.applyRequestCount(request.host, request.inFlight);
    this.adapterDemand.recordRequest(request, among, clock.now(), uses);
    return new Promise((resolve) => {
      const {requestId, maximumWaitMs} = request;
      const timer = `prepare/${this.server.key}/${requestId}`;
      const giveUp = () => {
        if (this.answers.delete(requestId)) {
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
        signal.removeEventListener('abort', giveUp);
        resolve({
          ...answer,
          requests: this.requests(),
          spread: this.spreadOf(request),
          slowness: this.slowness.current(),
        });
      };
      const refusal = this.refusal(request);
      if (refusal !== undefined) {
        settle(refusal);
        return;
      }
      this.answers.set(requestId, settle);
      signal.addEventListener('abort', giveUp, {once: true});
      timers.after(timer, maximumWaitMs, giveUp);
      this.post({type: 'prepare-requested', request});
    });
  }

  /** A host says how many requests it has at the server. */
  applyRequestCount(host: string, requests: number): void {
    this.demand.applyReport(host, requests, this.context.clock.now());
  }

  /** Requests of all hosts at the server. */
  requests(): number {
    const {membership, clock} = this.context;
    return this.demand.requests((host) => membership.isLive(host), clock.now());
  }

  close(): void {
    this.closed = true;
    this.context.timers.cancel(this.wakeTimer);
    this.post({type: 'server-gone'});
  }

  /** Runners; see `RUNNERS`. */
  answer(requestId: string, answer: PrepareAnswer): void {
    const resolve = this.answers.get(requestId);
    this.answers.delete(requestId);
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
    // Checked in the turn in which the order is written.
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
            : platform.engines.orderEnd(answer.status),
        );
      });
  }

  fetchReport(): void {
    this.whenPermitted('report', () => {
      this.writeReport();
    });
  }

  private writeReport(): void {
    const {platform, logger} = this.context;
    void this.caller
      .call(this.server, 'report', platform.engines.report, REPORT_TIMEOUT_MS)
      .then((answer) => {
        if (answer instanceof UpstreamError || answer.status !== 200) {
          this.post({type: 'report-failed'});
          return;
        }
        const report = platform.engines.readReport(answer.body);
        if (report.isErr()) {
          const {id} = this.server.entry;
          const problem = report.error.message;
          logger.warn('a report is malformed', {server: id, problem});
          this.post({type: 'report-failed'});
          return;
        }
        this.post({type: 'report-read', report: report.value});
      });
  }

  /** Runs a call of this host's own as soon as the server's limit allows. */
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

  /** Why the server is not worth a load, whatever its places hold. */
  private refusal(request: PrepareRequest): PrepareAnswer | undefined {
    const {notices} = this.server;
    if (notices.leaving) {
      return refused('server-gone', 0);
    }
    const pauseMs = notices.pauseLeftMs(this.context.clock.now());
    if (pauseMs > 0) {
      return refused('held-back', pauseMs);
    }
    const room = this.permits.capacity(this.server);
    // Orders take up a limit: no load where the request may not go, or where
    // another server may do it.
    if (
      room !== undefined &&
      !(
        room.available &&
        (request.takesCrowded || this.places.isResident(request))
      )
    ) {
      return refused('held-back', CALLS_OF_A_LOAD * room.msPerRequest);
    }
    const occupancy = this.requests() / this.effectiveSlots();
    return !request.takesCrowded && this.isCrowded(occupancy)
      ? refused('crowded', occupancy * FULL_SERVER_WAIT_MS)
      : undefined;
  }

  /** Places that the server is worth, as a slower one does less with each. */
  effectiveSlots(): number {
    return this.server.entry.slots / (this.slowness.current() ?? 1);
  }

  /** Whether the server is much fuller than the others of its service. */
  private isCrowded(occupancy: number): boolean {
    return occupancy >= (this.crowdedFrom() ?? Infinity);
  }

  /** Occupancy from which the server is crowded; undefined if not known. */
  private crowdedFrom(): number | undefined {
    const {fleetLoad, clock} = this.context;
    const {service} = this.server.entry;
    const mean = fleetLoad.occupancy(service, clock.now());
    return mean === undefined ? undefined : overloadThreshold(mean);
  }

  /** Servers over which an adapter should be spread. */
  private spreadOf(name: AdapterName): number | undefined {
    const limit = this.crowdedFrom();
    return limit === undefined
      ? undefined
      : this.adapterDemand.spread(
          name,
          {
            requests: this.requests(),
            overloadThreshold: limit * this.effectiveSlots(),
            detectBursts: this.slowness.current() !== undefined,
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
      ...this.places.usage(clock.now()),
    });
  }

  private endOrder(order: Order, end: OrderOutcome): void {
    const {metrics, logger} = this.context;
    const {operation, model, adapter, version, expectedOrders} = order;
    metrics.orders.inc({operation, end});
    logger.info('order ended', {
      server: this.server.entry.id,
      operation,
      model,
      adapter,
      version,
      expectedOrders,
      end,
    });
    // Never within the turn that issued it, which may not be over.
    queueMicrotask(() => {
      this.post({type: 'order-ended', order, end});
    });
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

type Runners = {
  readonly [Type in AdapterSlotsEffect['type']]: (
    issuer: OrderIssuer,
    effect: Extract<AdapterSlotsEffect, {type: Type}>,
  ) => void;
};

const RUNNERS: Runners = {
  'send-order': (issuer, {order}) => {
    issuer.sendOrder(order);
  },
  'read-report': (issuer) => {
    issuer.fetchReport();
  },
  'answer-prepare': (issuer, {requestId, answer}) => {
    issuer.answer(requestId, answer);
  },
  'wake-after': (issuer, {delayMs}) => {
    issuer.wakeAfter(delayMs);
  },
};
