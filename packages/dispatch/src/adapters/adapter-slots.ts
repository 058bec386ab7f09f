import {elapsedMs, type Instant} from '@basilworks/core';

import {adapterKey, type AdapterName} from './adapter-key.js';
import {BaseModels, type ModelOrderEffect} from './base-models.js';
import type {LoadTimes} from './load-times.js';
import {
  checkDueMs,
  checkLater,
  isUsable,
  MAXIMUM_IN_TRANSIT,
  SlotTable,
} from './slot-table.js';
import type {
  ClaimState,
  Order,
  OrderOutcome,
  AdapterSlotsEffect,
  AdapterSlotsEvent,
  ResidencyReport,
  PrepareAnswer,
  PrepareRefusal,
  PrepareRequest,
} from './adapter-slots-events.js';
import {
  expectedWaitMs,
  type AdapterSlotUsage,
  pressureOf,
} from './wait-estimate.js';
import {WaitingRequests} from './waiting-requests.js';

/** Reports lag by some hundred milliseconds behind the orders accepted. */
const REPORT_LAG_MS = 400;

/**
 * Between two reports while another host may still issue orders, milliseconds:
 * each is a call, and few adapters change without an issuer.
 */
const WAITING_REPORT_PERIOD_MS = 2_000;

/** Before a report that failed is asked for again, milliseconds. */
const REPORT_RETRY_MS = 500;

/** After a conflict, which ends with the other order at the latest. */
const CONFLICT_PAUSE_MS = 15;

/** After an order that could not be sent, milliseconds. */
const WITHHELD_PAUSE_MS = 100;

/** Conflicts in a row that mean that the count of orders is wrong. */
const CONFLICTS_BEFORE_REPORT = 3;

type AdapterOrder = Order & AdapterName;

/**
 * The adapters of one server, as seen by the only host that issues its orders.
 * Orders that change something go out one at a time, each with the count of
 * orders accepted before it; an order without an answer is repeated with the
 * same count, so that at most one of the copies is carried out. Places whose
 * state is not known count as taken: a server that is ordered to hold more than
 * it can crashes.
 */
export class AdapterSlots {
  private readonly table: SlotTable;
  private readonly models = new BaseModels();
  private readonly waiting = new WaitingRequests();
  /** Orders that the server has accepted; undefined until it reports. */
  private ordersAccepted: number | undefined;
  /** The order in progress that may change what the server holds. */
  private inProgress: Order | undefined;
  /** Questions in progress whether an order has been carried out. */
  private readonly checks = new Map<string, Order>();
  private reportRequested = false;
  private claim: ClaimState = 'none';
  private reportAskedAt: Instant | undefined;
  private gone = false;
  private conflicts = 0;
  private serial = 0;
  private acceptedAt: Instant | undefined;
  private paused: {since: Instant; forMs: number} | undefined;

  constructor(loadTimes: LoadTimes) {
    this.table = new SlotTable(loadTimes);
  }

  /** Places that are taken or may be. */
  taken(): number {
    return this.table.size;
  }

  /** Whether a version of an adapter can be used without a load. */
  isResident(name: AdapterName & {readonly version: number}): boolean {
    const place = this.table.get(name);
    return place !== undefined && isUsable(place, name.version);
  }

  /** What decides how soon an adapter can be resident. */
  usage(at: Instant): AdapterSlotUsage {
    return pressureOf(this.table, this.waiting, at);
  }

  reduce(event: AdapterSlotsEvent, at: Instant): readonly AdapterSlotsEffect[] {
    const effects = HANDLERS[event.type](this, event as never, at);
    return [...effects, ...this.proceed(at)];
  }

  /** Handlers of events; see `HANDLERS`. */
  prepare(request: PrepareRequest, at: Instant): readonly AdapterSlotsEffect[] {
    const {requestId, host, version, uses} = request;
    const place = this.table.get(request);
    if (place !== undefined && this.claim !== 'none') {
      this.table.count(place, uses + 1, at);
      if (isUsable(place, version)) {
        const firm = this.claim === 'issuing';
        return [answer(requestId, this.table.promise(place, host, firm, at))];
      }
    }
    const refusal = this.refusal(request, at);
    if (refusal !== undefined) {
      return [refuse(requestId, refusal, this.expectedWaitMs(request, at))];
    }
    this.waiting.add(request, at);
    return [];
  }

  released(host: string, name: AdapterName): readonly AdapterSlotsEffect[] {
    this.table.get(name)?.holders.delete(host);
    return [];
  }

  modelsWanted(
    models: readonly string[],
    capacity: number,
  ): readonly AdapterSlotsEffect[] {
    this.table.capacity = capacity;
    if (this.models.want(models)) {
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
    end: OrderOutcome,
    at: Instant,
  ): readonly AdapterSlotsEffect[] {
    const key = orderKey(order);
    if (this.checks.get(key)?.serial === order.serial) {
      this.checks.delete(key);
      return this.checkEnded(order, end, at);
    }
    if (this.inProgress?.serial !== order.serial) {
      return [];
    }
    this.inProgress = undefined;
    if (end !== 'conflict') {
      this.conflicts = 0;
    }
    return order.adapter === undefined
      ? this.modelOrderEnded(order, end, at)
      : ORDER_ENDS[end](this, {...order, adapter: order.adapter}, at);
  }

  reportRead(
    report: ResidencyReport,
    at: Instant,
  ): readonly AdapterSlotsEffect[] {
    this.reportRequested = false;
    if (
      this.acceptedAt !== undefined &&
      elapsedMs(this.acceptedAt, at) < REPORT_LAG_MS
    ) {
      this.pause(REPORT_LAG_MS, at);
      return [];
    }
    this.ordersAccepted = report.ordersAccepted;
    this.conflicts = 0;
    this.models.report(report.models);
    this.table.replace(report, at);
    return this.serveWaiting(at);
  }

  reportFailed(at: Instant): readonly AdapterSlotsEffect[] {
    this.reportRequested = false;
    this.pause(REPORT_RETRY_MS, at);
    return [];
  }

  claimChanged(claim: ClaimState): readonly AdapterSlotsEffect[] {
    if (claim === 'issuing' && this.claim !== 'issuing') {
      // Another host may have issued orders meanwhile.
      this.ordersAccepted = undefined;
    }
    if (this.claim === 'none') {
      this.reportAskedAt = undefined;
    }
    this.claim = claim;
    return claim === 'issuing'
      ? []
      : this.refuseWaiting(() => true, 'not-issuer');
  }

  serverGone(): readonly AdapterSlotsEffect[] {
    this.gone = true;
    return this.refuseWaiting(() => true, 'server-gone');
  }

  /** Ends of orders that may change something; see `ORDER_ENDS`. */
  accepted(order: AdapterOrder, at: Instant): readonly AdapterSlotsEffect[] {
    this.countOrder(order, at);
    this.table.begin(order, false, at);
    return [];
  }

  holds(order: AdapterOrder, at: Instant): readonly AdapterSlotsEffect[] {
    const place = this.table.get(order);
    if (order.operation === 'unload') {
      // An idle adapter is gone at once, which counts as an order.
      if (place?.state === 'resident' || place?.unsettled === true) {
        this.countOrder(order, at);
      }
      this.table.remove(order);
      return [];
    }
    if (place === undefined) {
      return [];
    }
    if (place.unsettled) {
      // The copy without an answer was carried out.
      this.countOrder(order, at);
    }
    this.table.arrived(place, order.version, at);
    return this.serveWaiting(at);
  }

  conflict(order: AdapterOrder, at: Instant): readonly AdapterSlotsEffect[] {
    if (this.table.get(order)?.unsettled === true) {
      // An earlier copy of this order was carried out, or an order of an
      // earlier issuer was: only the server can tell.
      this.outOfStep(at);
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
      // A report came in between: it shows what became of the order.
      return [];
    }
    this.table.begin(order, true, at);
    return [];
  }

  withheld(at: Instant): readonly AdapterSlotsEffect[] {
    this.pause(WITHHELD_PAUSE_MS, at);
    return [];
  }

  /** Issues what is due. */
  private proceed(at: Instant): readonly AdapterSlotsEffect[] {
    if (this.gone || this.claim === 'none') {
      return [];
    }
    const pauseMs = this.pauseLeftMs(at);
    if (pauseMs > 0) {
      return [{type: 'wake-after', delayMs: Math.max(1, pauseMs)}];
    }
    if (this.claim === 'waiting') {
      return this.reportIsOld(at) ? this.askForReport(at) : [];
    }
    if (this.ordersAccepted === undefined) {
      return this.askForReport(at);
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

  private askForReport(at: Instant): readonly AdapterSlotsEffect[] {
    if (this.reportRequested) {
      return [];
    }
    this.reportRequested = true;
    this.reportAskedAt = at;
    return [{type: 'read-report'}];
  }

  private reportIsOld(at: Instant): boolean {
    return (
      this.reportAskedAt === undefined ||
      elapsedMs(this.reportAskedAt, at) > WAITING_REPORT_PERIOD_MS
    );
  }

  /** Asks about loads and unloads that should have been carried out. */
  private dueChecks(expectedOrders: number, at: Instant): AdapterSlotsEffect[] {
    const effects: AdapterSlotsEffect[] = [];
    for (const place of this.table.all()) {
      const key = adapterKey(place);
      if (
        place.unsettled ||
        checkDueMs(place, at) > 0 ||
        this.checks.has(key)
      ) {
        continue;
      }
      const operation = place.state === 'unloading' ? 'unload' : 'load';
      const order = this.order(place, operation, place.version, expectedOrders);
      this.checks.set(key, order);
      effects.push({type: 'send-order', order});
    }
    return effects;
  }

  private checkEnded(
    order: Order,
    end: OrderOutcome,
    at: Instant,
  ): readonly AdapterSlotsEffect[] {
    const {adapter} = order;
    if (adapter === undefined) {
      return [];
    }
    const place = this.table.get({...order, adapter});
    if (place === undefined) {
      return [];
    }
    if (end === 'holds' || end === 'misdirected') {
      return ORDER_ENDS[end](this, {...order, adapter}, at);
    }
    // An order that was accepted meanwhile makes a check fail: ask again.
    checkLater(place, at);
    return end === 'conflict' && order.expectedOrders === this.ordersAccepted
      ? this.countConflict(at)
      : [];
  }

  private nextOrder(expectedOrders: number, at: Instant): Order | undefined {
    const missing = this.models.missing();
    if (missing !== undefined) {
      // A server carries out nothing else while it loads a base model.
      if (this.models.dueMs(at) > 0) {
        return undefined;
      }
      this.models.asked(missing, at);
      const model = {model: missing, adapter: undefined};
      return this.order(model, 'load', undefined, expectedOrders);
    }
    // An order without an answer is settled before anything else.
    const places = this.table.all();
    const unsettled = places.find((place) => place.unsettled);
    if (unsettled !== undefined) {
      const {state, version} = unsettled;
      const operation = state === 'unloading' ? 'unload' : 'load';
      return this.order(unsettled, operation, version, expectedOrders);
    }
    const blocked = places.some(({state}) => state === 'unloading');
    if (blocked || this.table.inTransit() >= MAXIMUM_IN_TRANSIT) {
      // The server takes no other order while an adapter's runs end.
      return undefined;
    }
    return this.nextLoad(expectedOrders, at);
  }

  /** The most urgent load, or the unload that it needs first. */
  private nextLoad(expectedOrders: number, at: Instant): Order | undefined {
    const wanted = this.waiting.wanted(at, (name) => this.table.loadMs(name));
    for (const request of wanted) {
      const place = this.table.get(request);
      if (place !== undefined && place.state !== 'resident') {
        continue;
      }
      if (place !== undefined || this.table.size < this.table.capacity) {
        return this.order(request, 'load', request.version, expectedOrders);
      }
      const victim = this.table.victim(at);
      if (victim !== undefined) {
        return this.order(victim, 'unload', undefined, expectedOrders);
      }
    }
    return undefined;
  }

  /** An order; the first version of an adapter is what any load fetches. */
  private order(
    {model, adapter}: {model: string; adapter: string | undefined},
    operation: Order['operation'],
    version: number | undefined,
    expectedOrders: number,
  ): Order {
    const newer = operation === 'load' && (version ?? 1) > 1;
    return {
      serial: (this.serial += 1),
      operation,
      model,
      adapter,
      version: newer ? version : undefined,
      expectedOrders,
    };
  }

  private refusal(
    request: PrepareRequest,
    at: Instant,
  ): PrepareRefusal | undefined {
    if (this.gone) {
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

  private serveWaiting(at: Instant): readonly AdapterSlotsEffect[] {
    return this.waiting
      .take((request) => {
        const place = this.table.get(request);
        return place !== undefined && isUsable(place, request.version);
      })
      .flatMap((request) => {
        const place = this.table.get(request);
        if (place === undefined) {
          return [];
        }
        this.table.count(place, request.uses + 1, at);
        const promise = this.table.promise(place, request.host, true, at);
        return [answer(request.requestId, promise)];
      });
  }

  private refuseWaiting(
    matches: (request: PrepareRequest) => boolean,
    reason: PrepareRefusal,
  ): readonly AdapterSlotsEffect[] {
    return this.waiting
      .take(matches)
      .map(({requestId}) => refuse(requestId, reason, 0));
  }

  private modelOrderEnded(
    order: Order,
    end: OrderOutcome,
    at: Instant,
  ): readonly AdapterSlotsEffect[] {
    if (end === 'misdirected') {
      return this.serverGone();
    }
    MODEL_EFFECTS[this.models.ended(order.model, end)](this, order, at);
    return [];
  }

  /** The server accepted an order, now or earlier than was known. */
  countOrder(order: Order, at: Instant): void {
    this.ordersAccepted = order.expectedOrders + 1;
    this.acceptedAt = at;
  }

  /** The count of orders is wrong: the server has to report. */
  outOfStep(at: Instant): void {
    this.ordersAccepted = undefined;
    this.pause(REPORT_LAG_MS, at);
  }

  /** The server takes no order now, or the count of orders is wrong. */
  private countConflict(at: Instant): readonly AdapterSlotsEffect[] {
    this.conflicts += 1;
    this.pause(CONFLICT_PAUSE_MS, at);
    if (this.conflicts >= CONFLICTS_BEFORE_REPORT) {
      this.outOfStep(at);
    }
    return [];
  }

  private nextWakeMs(at: Instant): number | undefined {
    const due = this.table
      .all()
      .filter(
        (place) =>
          place.state !== 'resident' &&
          !place.unsettled &&
          !this.checks.has(adapterKey(place)),
      )
      .map((place) => checkDueMs(place, at));
    if (this.models.missing() !== undefined) {
      due.push(this.models.dueMs(at));
    }
    const soonest = Math.min(Infinity, ...due);
    return soonest === Infinity ? undefined : Math.max(1, soonest);
  }

  private pause(forMs: number, at: Instant): void {
    this.paused = {since: at, forMs};
  }

  private pauseLeftMs(at: Instant): number {
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

type Handlers = {
  readonly [Type in AdapterSlotsEvent['type']]: (
    places: AdapterSlots,
    event: Extract<AdapterSlotsEvent, {type: Type}>,
    at: Instant,
  ) => readonly AdapterSlotsEffect[];
};

const HANDLERS: Handlers = {
  'prepare-requested': (places, {request}, at) => places.prepare(request, at),
  'adapter-released': (places, {host, name}) => places.released(host, name),
  'prepare-cancelled': (places, {requestId}) => places.cancel(requestId),
  'order-ended': (places, {order, end}, at) =>
    places.orderEnded(order, end, at),
  'report-read': (places, {report}, at) => places.reportRead(report, at),
  'report-failed': (places, _event, at) => places.reportFailed(at),
  'claim-changed': (places, {claim}) => places.claimChanged(claim),
  'models-wanted': (places, {models, capacity}) =>
    places.modelsWanted(models, capacity),
  'server-gone': (places) => places.serverGone(),
  woken: () => [],
};

type OrderEnds = Readonly<
  Record<
    OrderOutcome,
    (
      places: AdapterSlots,
      order: AdapterOrder,
      at: Instant,
    ) => readonly AdapterSlotsEffect[]
  >
>;

const ORDER_ENDS: OrderEnds = {
  accepted: (places, order, at) => places.accepted(order, at),
  holds: (places, order, at) => places.holds(order, at),
  conflict: (places, order, at) => places.conflict(order, at),
  invalid: (places, order) => places.invalid(order),
  misdirected: (places) => places.serverGone(),
  unanswered: (places, order, at) => places.unanswered(order, at),
  withheld: (places, _order, at) => places.withheld(at),
};

const MODEL_EFFECTS: Readonly<
  Record<
    ModelOrderEffect,
    (places: AdapterSlots, order: Order, at: Instant) => void
  >
> = {
  none: () => undefined,
  counted: (places, order, at) => {
    places.countOrder(order, at);
  },
  'out-of-step': (places, _order, at) => {
    places.outOfStep(at);
  },
};
