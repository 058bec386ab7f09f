import {elapsedMs, type Instant} from '@basilworks/core';

import {adapterKey, type AdapterName} from './adapter-key.js';
import type {
  AdapterSlotsEffect,
  AdapterSlotsEvent,
  ClaimState,
  Order,
  OrderOutcome,
  PrepareAnswer,
  PrepareRefusal,
  PrepareRequest,
  ResidencyReport,
} from './adapter-slots-events.js';
import {BaseModels, type ModelOrderEffect} from './base-models.js';
import type {LoadTimes} from './load-times.js';
import {
  checkDueMs,
  isUsable,
  MAXIMUM_IN_TRANSIT,
  postponeCheck,
  SlotTable,
} from './slot-table.js';
import {
  type AdapterSlotUsage,
  expectedWaitMs,
  usageOf,
} from './wait-estimate.js';
import {WaitingRequests} from './waiting-requests.js';

/** Maximum lag of a server's report behind the orders that it accepted, ms. */
const MAXIMUM_REPORT_LAG_MS = 400;

/**
 * Interval between reports while another host may still issue orders, ms. Each
 * report is a call to the server, and few adapters change without an issuer.
 */
const WAITING_REPORT_PERIOD_MS = 2_000;

/** Delay before a failed report is requested again, ms. */
const REPORT_RETRY_MS = 500;

/**
 * Pause after a conflict, ms. A conflict lasts at most until the other order
 * ends.
 */
const CONFLICT_PAUSE_MS = 15;

/** Pause after an order that could not be sent, ms. */
const WITHHELD_PAUSE_MS = 100;

/** Consecutive conflicts after which the order count is taken to be wrong. */
const CONFLICTS_BEFORE_REPORT = 3;

type AdapterOrder = Order & AdapterName;

/**
 * State machine for the adapter slots of one server, run by the only host that
 * issues orders to it. State-changing orders are sent one at a time, each with
 * the number of orders accepted before it. An unanswered order is repeated with
 * the same number, so that at most one of its copies is executed. A slot in an
 * unknown state counts as taken, because a server crashes if it is ordered to
 * load more adapters than fit.
 */
export class AdapterSlots {
  private readonly table: SlotTable;
  private readonly models = new BaseModels();
  private readonly waiting = new WaitingRequests();
  /** Number of orders accepted by the server; undefined until it reports. */
  private ordersAccepted: number | undefined;
  /** The state-changing order in progress, if any. */
  private inProgress: Order | undefined;
  /** Completion queries in progress, by adapter key. */
  private readonly checks = new Map<string, Order>();
  private reportPending = false;
  private claim: ClaimState = 'none';
  private reportRequestedAt: Instant | undefined;
  private serverRemoved = false;
  private conflicts = 0;
  private lastSerial = 0;
  private acceptedAt: Instant | undefined;
  private paused: {since: Instant; forMs: number} | undefined;

  constructor(loadTimes: LoadTimes) {
    this.table = new SlotTable(loadTimes);
  }

  /** Number of slots that are, or may be, taken. */
  taken(): number {
    return this.table.size;
  }

  /** Whether the adapter is resident at this or a newer version. */
  isResident(name: AdapterName & {readonly version: number}): boolean {
    const slot = this.table.get(name);
    return slot !== undefined && isUsable(slot, name.version);
  }

  /** Returns the slot usage, which determines the wait for a load. */
  usage(at: Instant): AdapterSlotUsage {
    return usageOf(this.table, this.waiting, at);
  }

  reduce(event: AdapterSlotsEvent, at: Instant): readonly AdapterSlotsEffect[] {
    const effects = EVENT_HANDLERS[event.type](this, event as never, at);
    return [...effects, ...this.issueDue(at)];
  }

  /** Event handlers; see `EVENT_HANDLERS`. */
  prepare(request: PrepareRequest, at: Instant): readonly AdapterSlotsEffect[] {
    const {requestId, host, version, uses} = request;
    const slot = this.table.get(request);
    if (slot !== undefined && this.claim !== 'none') {
      this.table.recordUses(slot, uses + 1, at);
      if (isUsable(slot, version)) {
        const firm = this.claim === 'issuing';
        return [answer(requestId, this.table.grantLease(slot, host, firm, at))];
      }
    }
    const refusal = this.refusalReason(request, at);
    if (refusal !== undefined) {
      return [refuse(requestId, refusal, this.expectedWaitMs(request, at))];
    }
    this.waiting.add(request, at);
    return [];
  }

  release(host: string, name: AdapterName): readonly AdapterSlotsEffect[] {
    this.table.get(name)?.holders.delete(host);
    return [];
  }

  modelsWanted(
    models: readonly string[],
    capacity: number,
  ): readonly AdapterSlotsEffect[] {
    this.table.capacity = capacity;
    if (this.models.setWanted(models)) {
      this.ordersAccepted = undefined;
    }
    return [];
  }

  cancel(requestId: string): readonly AdapterSlotsEffect[] {
    this.waiting.remove(requestId);
    return [];
  }

  orderEnded(
    order: Order,
    outcome: OrderOutcome,
    at: Instant,
  ): readonly AdapterSlotsEffect[] {
    const key = orderKey(order);
    if (this.checks.get(key)?.serial === order.serial) {
      this.checks.delete(key);
      return this.checkEnded(order, outcome, at);
    }
    if (this.inProgress?.serial !== order.serial) {
      return [];
    }
    this.inProgress = undefined;
    if (outcome !== 'conflict') {
      this.conflicts = 0;
    }
    return order.adapter === undefined
      ? this.modelOrderEnded(order, outcome, at)
      : ORDER_OUTCOME_HANDLERS[outcome](
          this,
          {...order, adapter: order.adapter},
          at,
        );
  }

  reportRead(
    report: ResidencyReport,
    at: Instant,
  ): readonly AdapterSlotsEffect[] {
    this.reportPending = false;
    if (
      this.acceptedAt !== undefined &&
      elapsedMs(this.acceptedAt, at) < MAXIMUM_REPORT_LAG_MS
    ) {
      this.pause(MAXIMUM_REPORT_LAG_MS, at);
      return [];
    }
    this.ordersAccepted = report.ordersAccepted;
    this.conflicts = 0;
    this.models.applyReport(report.models);
    this.table.applyReport(report, at);
    return this.grantWaiting(at);
  }

  reportFailed(at: Instant): readonly AdapterSlotsEffect[] {
    this.reportPending = false;
    this.pause(REPORT_RETRY_MS, at);
    return [];
  }

  claimChanged(claim: ClaimState): readonly AdapterSlotsEffect[] {
    if (claim === 'issuing' && this.claim !== 'issuing') {
      // Another host may have issued orders meanwhile.
      this.ordersAccepted = undefined;
    }
    if (this.claim === 'none') {
      this.reportRequestedAt = undefined;
    }
    this.claim = claim;
    return claim === 'issuing'
      ? []
      : this.refuseWaiting(() => true, 'not-issuer');
  }

  serverGone(): readonly AdapterSlotsEffect[] {
    this.serverRemoved = true;
    return this.refuseWaiting(() => true, 'server-gone');
  }

  /** Handlers of order outcomes; see `ORDER_OUTCOME_HANDLERS`. */
  accepted(order: AdapterOrder, at: Instant): readonly AdapterSlotsEffect[] {
    this.countOrder(order, at);
    this.table.beginOrder(order, false, at);
    return [];
  }

  holds(order: AdapterOrder, at: Instant): readonly AdapterSlotsEffect[] {
    const slot = this.table.get(order);
    if (order.operation === 'unload') {
      // An idle adapter is unloaded at once, and the order counts as accepted.
      if (slot?.state === 'resident' || slot?.unconfirmed === true) {
        this.countOrder(order, at);
      }
      this.table.remove(order);
      return [];
    }
    if (slot === undefined) {
      return [];
    }
    if (slot.unconfirmed) {
      // The unanswered copy was executed.
      this.countOrder(order, at);
    }
    this.table.completeLoad(slot, order.version, at);
    return this.grantWaiting(at);
  }

  conflict(order: AdapterOrder, at: Instant): readonly AdapterSlotsEffect[] {
    if (this.table.get(order)?.unconfirmed === true) {
      // Either an earlier copy of this order or an order of a former issuer
      // was executed: only the server's report shows which.
      this.resynchronize(at);
      return [];
    }
    return this.countConflict(at);
  }

  invalid(order: AdapterOrder): readonly AdapterSlotsEffect[] {
    if (this.table.get(order)?.state !== 'resident') {
      this.table.remove(order);
    }
    const key = adapterKey(order);
    return this.refuseWaiting(
      (request) => adapterKey(request) === key,
      'unknown-adapter',
    );
  }

  unanswered(order: AdapterOrder, at: Instant): readonly AdapterSlotsEffect[] {
    if ((this.ordersAccepted ?? 0) > order.expectedOrders) {
      // A later report already shows whether the order was executed.
      return [];
    }
    this.table.beginOrder(order, true, at);
    return [];
  }

  withheld(at: Instant): readonly AdapterSlotsEffect[] {
    this.pause(WITHHELD_PAUSE_MS, at);
    return [];
  }

  /** Returns the report requests, orders and wake-ups that are due. */
  private issueDue(at: Instant): readonly AdapterSlotsEffect[] {
    if (this.serverRemoved || this.claim === 'none') {
      return [];
    }
    const pauseMs = this.remainingPauseMs(at);
    if (pauseMs > 0) {
      return [{type: 'wake-after', delayMs: Math.max(1, pauseMs)}];
    }
    if (this.claim === 'waiting') {
      return this.reportIsStale(at) ? this.requestReport(at) : [];
    }
    if (this.ordersAccepted === undefined) {
      return this.requestReport(at);
    }
    const effects = this.dueChecks(this.ordersAccepted, at);
    if (this.inProgress === undefined) {
      const order = this.nextOrder(this.ordersAccepted, at);
      if (order !== undefined) {
        this.inProgress = order;
        effects.push({type: 'send-order', order});
      }
    }
    const delayMs = this.nextWakeMs(at);
    if (delayMs !== undefined) {
      effects.push({type: 'wake-after', delayMs});
    }
    return effects;
  }

  private requestReport(at: Instant): readonly AdapterSlotsEffect[] {
    if (this.reportPending) {
      return [];
    }
    this.reportPending = true;
    this.reportRequestedAt = at;
    return [{type: 'read-report'}];
  }

  private reportIsStale(at: Instant): boolean {
    return (
      this.reportRequestedAt === undefined ||
      elapsedMs(this.reportRequestedAt, at) > WAITING_REPORT_PERIOD_MS
    );
  }

  /** Queries the loads and unloads that should have completed. */
  private dueChecks(expectedOrders: number, at: Instant): AdapterSlotsEffect[] {
    const effects: AdapterSlotsEffect[] = [];
    for (const slot of this.table.all()) {
      const key = adapterKey(slot);
      if (
        slot.unconfirmed ||
        checkDueMs(slot, at) > 0 ||
        this.checks.has(key)
      ) {
        continue;
      }
      const operation = slot.state === 'unloading' ? 'unload' : 'load';
      const order = this.createOrder(
        slot,
        operation,
        slot.version,
        expectedOrders,
      );
      this.checks.set(key, order);
      effects.push({type: 'send-order', order});
    }
    return effects;
  }

  private checkEnded(
    order: Order,
    outcome: OrderOutcome,
    at: Instant,
  ): readonly AdapterSlotsEffect[] {
    const {adapter} = order;
    if (adapter === undefined) {
      return [];
    }
    const slot = this.table.get({...order, adapter});
    if (slot === undefined) {
      return [];
    }
    if (outcome === 'holds' || outcome === 'misdirected') {
      return ORDER_OUTCOME_HANDLERS[outcome](this, {...order, adapter}, at);
    }
    // An order accepted in the meantime makes a check fail: check again later.
    postponeCheck(slot, at);
    return outcome === 'conflict' &&
      order.expectedOrders === this.ordersAccepted
      ? this.countConflict(at)
      : [];
  }

  private nextOrder(expectedOrders: number, at: Instant): Order | undefined {
    const missing = this.models.missing();
    if (missing !== undefined) {
      // A server executes no other order while it loads a base model.
      if (this.models.dueMs(at) > 0) {
        return undefined;
      }
      this.models.orderSent(missing, at);
      const model = {model: missing, adapter: undefined};
      return this.createOrder(model, 'load', undefined, expectedOrders);
    }
    // An unanswered order is repeated before any other is sent.
    const slots = this.table.all();
    const unconfirmed = slots.find((slot) => slot.unconfirmed);
    if (unconfirmed !== undefined) {
      const {state, version} = unconfirmed;
      const operation = state === 'unloading' ? 'unload' : 'load';
      return this.createOrder(unconfirmed, operation, version, expectedOrders);
    }
    const blocked = slots.some(({state}) => state === 'unloading');
    if (blocked || this.table.inTransit() >= MAXIMUM_IN_TRANSIT) {
      // The server accepts no other order while the requests on an adapter
      // that is being unloaded end.
      return undefined;
    }
    return this.nextLoad(expectedOrders, at);
  }

  /** Returns the most urgent load, or the unload that has to precede it. */
  private nextLoad(expectedOrders: number, at: Instant): Order | undefined {
    const byUrgency = this.waiting.byUrgency(at, (name) =>
      this.table.loadMs(name),
    );
    for (const request of byUrgency) {
      const slot = this.table.get(request);
      if (slot !== undefined && slot.state !== 'resident') {
        continue;
      }
      if (slot !== undefined || this.table.size < this.table.capacity) {
        return this.createOrder(
          request,
          'load',
          request.version,
          expectedOrders,
        );
      }
      const evicted = this.table.evictionCandidate(at);
      if (evicted !== undefined) {
        return this.createOrder(evicted, 'unload', undefined, expectedOrders);
      }
    }
    return undefined;
  }

  /** Creates an order; the version is omitted for first versions. */
  private createOrder(
    {model, adapter}: {model: string; adapter: string | undefined},
    operation: Order['operation'],
    version: number | undefined,
    expectedOrders: number,
  ): Order {
    const needsVersion = operation === 'load' && (version ?? 1) > 1;
    return {
      serial: (this.lastSerial += 1),
      operation,
      model,
      adapter,
      version: needsVersion ? version : undefined,
      expectedOrders,
    };
  }

  private refusalReason(
    request: PrepareRequest,
    at: Instant,
  ): PrepareRefusal | undefined {
    if (this.serverRemoved) {
      return 'server-gone';
    }
    if (this.claim !== 'issuing') {
      return 'not-issuer';
    }
    if (this.expectedWaitMs(request, at) <= request.maximumWaitMs) {
      return undefined;
    }
    const known = this.table.get(request) !== undefined;
    return known || this.table.hasRoom(at) ? 'too-long' : 'no-place';
  }

  private expectedWaitMs(request: PrepareRequest, at: Instant): number {
    return expectedWaitMs(this.table, this.waiting, request, at);
  }

  private grantWaiting(at: Instant): readonly AdapterSlotsEffect[] {
    return this.waiting
      .removeMatching((request) => {
        const slot = this.table.get(request);
        return slot !== undefined && isUsable(slot, request.version);
      })
      .flatMap((request) => {
        const slot = this.table.get(request);
        if (slot === undefined) {
          return [];
        }
        this.table.recordUses(slot, request.uses + 1, at);
        const lease = this.table.grantLease(slot, request.host, true, at);
        return [answer(request.requestId, lease)];
      });
  }

  private refuseWaiting(
    matches: (request: PrepareRequest) => boolean,
    reason: PrepareRefusal,
  ): readonly AdapterSlotsEffect[] {
    return this.waiting
      .removeMatching(matches)
      .map(({requestId}) => refuse(requestId, reason, 0));
  }

  private modelOrderEnded(
    order: Order,
    outcome: OrderOutcome,
    at: Instant,
  ): readonly AdapterSlotsEffect[] {
    if (outcome === 'misdirected') {
      return this.serverGone();
    }
    MODEL_EFFECT_HANDLERS[this.models.orderEnded(order.model, outcome)](
      this,
      order,
      at,
    );
    return [];
  }

  /** Records that the server accepted an order, now or some time before. */
  countOrder(order: Order, at: Instant): void {
    this.ordersAccepted = order.expectedOrders + 1;
    this.acceptedAt = at;
  }

  /** Discards the order count, which is wrong, to have the server report. */
  resynchronize(at: Instant): void {
    this.ordersAccepted = undefined;
    this.pause(MAXIMUM_REPORT_LAG_MS, at);
  }

  /** Records that the server is busy, or that the order count is wrong. */
  private countConflict(at: Instant): readonly AdapterSlotsEffect[] {
    this.conflicts += 1;
    this.pause(CONFLICT_PAUSE_MS, at);
    if (this.conflicts >= CONFLICTS_BEFORE_REPORT) {
      this.resynchronize(at);
    }
    return [];
  }

  private nextWakeMs(at: Instant): number | undefined {
    const dueMs = this.table
      .all()
      .filter(
        (slot) =>
          slot.state !== 'resident' &&
          !slot.unconfirmed &&
          !this.checks.has(adapterKey(slot)),
      )
      .map((slot) => checkDueMs(slot, at));
    if (this.models.missing() !== undefined) {
      dueMs.push(this.models.dueMs(at));
    }
    const soonestMs = Math.min(Infinity, ...dueMs);
    return soonestMs === Infinity ? undefined : Math.max(1, soonestMs);
  }

  private pause(forMs: number, at: Instant): void {
    this.paused = {since: at, forMs};
  }

  private remainingPauseMs(at: Instant): number {
    const {paused} = this;
    return paused === undefined
      ? 0
      : Math.max(0, paused.forMs - elapsedMs(paused.since, at));
  }
}

const orderKey = ({model, adapter}: Order): string =>
  adapterKey({model, adapter: adapter ?? ''});

const answer = (
  requestId: string,
  value: PrepareAnswer,
): AdapterSlotsEffect => ({
  type: 'answer-prepare',
  requestId,
  answer: value,
});

const refuse = (
  requestId: string,
  reason: PrepareRefusal,
  retryAfterMs: number,
): AdapterSlotsEffect =>
  answer(requestId, {outcome: 'refused', reason, retryAfterMs});

type EventHandlers = {
  readonly [Type in AdapterSlotsEvent['type']]: (
    slots: AdapterSlots,
    event: Extract<AdapterSlotsEvent, {type: Type}>,
    at: Instant,
  ) => readonly AdapterSlotsEffect[];
};

const EVENT_HANDLERS: EventHandlers = {
  'prepare-requested': (slots, {request}, at) => slots.prepare(request, at),
  'adapter-released': (slots, {host, name}) => slots.release(host, name),
  'prepare-cancelled': (slots, {requestId}) => slots.cancel(requestId),
  'order-ended': (slots, {order, end: outcome}, at) =>
    slots.orderEnded(order, outcome, at),
  'report-read': (slots, {report}, at) => slots.reportRead(report, at),
  'report-failed': (slots, _event, at) => slots.reportFailed(at),
  'claim-changed': (slots, {claim}) => slots.claimChanged(claim),
  'models-wanted': (slots, {models, capacity}) =>
    slots.modelsWanted(models, capacity),
  'server-gone': (slots) => slots.serverGone(),
  woken: () => [],
};

type OrderOutcomeHandlers = Readonly<
  Record<
    OrderOutcome,
    (
      slots: AdapterSlots,
      order: AdapterOrder,
      at: Instant,
    ) => readonly AdapterSlotsEffect[]
  >
>;

const ORDER_OUTCOME_HANDLERS: OrderOutcomeHandlers = {
  accepted: (slots, order, at) => slots.accepted(order, at),
  holds: (slots, order, at) => slots.holds(order, at),
  conflict: (slots, order, at) => slots.conflict(order, at),
  invalid: (slots, order) => slots.invalid(order),
  misdirected: (slots) => slots.serverGone(),
  unanswered: (slots, order, at) => slots.unanswered(order, at),
  withheld: (slots, _order, at) => slots.withheld(at),
};

const MODEL_EFFECT_HANDLERS: Readonly<
  Record<
    ModelOrderEffect,
    (slots: AdapterSlots, order: Order, at: Instant) => void
  >
> = {
  none: () => undefined,
  counted: (slots, order, at) => {
    slots.countOrder(order, at);
  },
  'out-of-step': (slots, _order, at) => {
    slots.resynchronize(at);
  },
};
