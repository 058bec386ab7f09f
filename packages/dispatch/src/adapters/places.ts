import {elapsedMs, type Instant} from '@basilworks/core';

import {adapterKey, type AdapterName} from './adapter-key.js';
import type {LoadSource, LoadTimes} from './load-times.js';
import type {
  Order,
  OrderEnd,
  PlacesEffect,
  PlacesEvent,
  PlacesReport,
  PrepareAnswer,
  PrepareRefusal,
  PrepareRequest,
} from './places-events.js';

/** Adapters that may be on their way to one server at a time. */
const MAXIMUM_IN_TRANSIT = 4;

/** Share of the expected load time after which a load is checked. */
const FIRST_CHECK_SHARE = 0.95;

/** Between two checks of a load or unload, milliseconds: a round trip or two. */
const CHECK_PERIOD_MS = 12;

/** Reports lag by some hundred milliseconds behind the orders accepted. */
const REPORT_LAG_MS = 400;

/** Before a report that failed is asked for again, milliseconds. */
const REPORT_RETRY_MS = 500;

/** After a conflict, which ends with the other order at the latest. */
const CONFLICT_PAUSE_MS = 15;

/** After an order that could not be sent, milliseconds. */
const WITHHELD_PAUSE_MS = 100;

/** Conflicts in a row that mean that the count of orders is wrong. */
const CONFLICTS_BEFORE_REPORT = 3;

/** Half-life of the rate at which an adapter is used, milliseconds. */
const RATE_HALF_LIFE_MS = 6_000;

/**
 * Bounds of a promise, milliseconds: one request's way to the server, as places
 * are scarce, up to a second for an adapter in steady use.
 */
const SHORTEST_PROMISE_MS = 30;
const LONGEST_PROMISE_MS = 1_500;

/** Uses a second from which an adapter gets the longest promise. */
const STEADY_USES_PER_S = 4;

/** How long hosts hold an adapter for one request, as a rule, milliseconds. */
const ASSUMED_HOLD_MS = 1_000;

/** A host that has not released an adapter for this long is gone, ms. */
const LONGEST_HOLD_MS = 12_000;

/** Between two checks of a base model's load, milliseconds. */
const MODEL_CHECK_PERIOD_MS = 200;

/** Copies of adapters that a server keeps at hand, until that is known. */
const COPIES_AT_HAND = 100;

type PlaceState = 'resident' | 'loading' | 'unloading';

/** A place on the server that is taken, or may be. */
interface Place extends AdapterName {
  state: PlaceState;
  version: number;
  /** An order for it got no answer and may still be carried out. */
  unsettled: boolean;
  orderedAt: Instant;
  checkAfterMs: number;
  source: LoadSource;
  /** Decayed count of uses. */
  rate: number;
  usedAt: Instant;
  /** Hosts that may have requests on it, and since when. */
  readonly holders: Map<string, Instant>;
}

/** A base model that the server should hold. */
interface BaseModel {
  state: 'absent' | 'loading' | 'resident';
  /** An order for it got no answer and may still be carried out. */
  unsettled: boolean;
  askedAt: Instant | undefined;
}

type AdapterOrder = Order & AdapterName;

interface Waiting {
  readonly request: PrepareRequest;
  readonly since: Instant;
}

/**
 * The adapters of one server, as seen by the only host that issues its orders.
 * Orders go out one at a time, each with the count of orders accepted before
 * it; an order without an answer is repeated with the same count, so that at
 * most one of the copies is carried out. Places whose state is not known count
 * as taken: a server that is ordered to hold more than it can crashes.
 */
export class AdapterPlaces {
  private readonly places = new Map<string, Place>();
  private readonly waiting = new Map<string, Waiting>();
  private readonly copies = new Set<string>();
  private readonly models = new Map<string, BaseModel>();
  private capacity = 0;
  private ordersAccepted: number | undefined;
  /** The order in progress that may change what the server holds. */
  private inProgress: Order | undefined;
  /** Questions in progress whether an order has been carried out. */
  private readonly checks = new Map<string, Order>();
  private reportRequested = false;
  private issuing = false;
  private gone = false;
  private conflicts = 0;
  private serial = 0;
  private acceptedAt: Instant | undefined;
  private pausedUntil: {since: Instant; forMs: number} | undefined;

  constructor(private readonly loadTimes: LoadTimes) {}

  /** Adapters that are resident and usable. */
  resident(): readonly (AdapterName & {version: number})[] {
    return [...this.places.values()].filter(({state}) => state === 'resident');
  }

  /** Places that are taken or may be. */
  taken(): number {
    return this.places.size;
  }

  reduce(event: PlacesEvent, at: Instant): readonly PlacesEffect[] {
    const effects = HANDLERS[event.type](this, event as never, at);
    return [...effects, ...this.proceed(at)];
  }

  /** Handlers; see `HANDLERS`. */
  prepare(request: PrepareRequest, at: Instant): readonly PlacesEffect[] {
    const {requestId} = request;
    const place = this.places.get(adapterKey(request));
    if (place !== undefined) {
      this.count(place, request.uses + 1, at);
      if (isUsable(place, request.version)) {
        return [answer(requestId, this.promise(place, request.host, at))];
      }
    }
    const refusal = this.refusal(request, place, at);
    if (refusal !== undefined) {
      return [refuse(requestId, refusal, this.expectedWaitMs(request, at))];
    }
    this.waiting.set(requestId, {request, since: at});
    return [];
  }

  modelsWanted(
    models: readonly string[],
    capacity: number,
  ): readonly PlacesEffect[] {
    this.capacity = capacity;
    for (const model of models) {
      if (!this.models.has(model)) {
        // Its state is not known before the next report.
        this.ordersAccepted = undefined;
        this.models.set(model, {
          state: 'absent',
          unsettled: false,
          askedAt: undefined,
        });
      }
    }
    for (const model of this.models.keys()) {
      if (!models.includes(model)) {
        this.models.delete(model);
      }
    }
    return [];
  }

  released(host: string, name: AdapterName): readonly PlacesEffect[] {
    this.places.get(adapterKey(name))?.holders.delete(host);
    return [];
  }

  cancel(requestId: string): readonly PlacesEffect[] {
    this.waiting.delete(requestId);
    return [];
  }

  orderEnded(
    order: Order,
    end: OrderEnd,
    at: Instant,
  ): readonly PlacesEffect[] {
    const check = this.checks.get(orderKey(order));
    if (check?.serial === order.serial) {
      this.checks.delete(orderKey(order));
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

  reportRead(report: PlacesReport, at: Instant): readonly PlacesEffect[] {
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
    for (const [name, model] of this.models) {
      const resident = report.models.includes(name);
      model.state = resident ? 'resident' : 'absent';
      model.unsettled = false;
    }
    const before = new Map(this.places);
    this.places.clear();
    for (const held of report.resident) {
      this.take(held, 'resident', before, at);
    }
    for (const coming of report.coming) {
      this.take(coming, 'loading', before, at);
    }
    return this.serveWaiting(at);
  }

  reportFailed(at: Instant): readonly PlacesEffect[] {
    this.reportRequested = false;
    this.pause(REPORT_RETRY_MS, at);
    return [];
  }

  issuingChanged(issuing: boolean): readonly PlacesEffect[] {
    if (issuing && !this.issuing) {
      // Another host may have issued orders meanwhile.
      this.ordersAccepted = undefined;
    }
    this.issuing = issuing;
    return issuing ? [] : this.refuseAll('not-issuer');
  }

  serverGone(): readonly PlacesEffect[] {
    this.gone = true;
    return this.refuseAll('server-gone');
  }

  accepted(order: AdapterOrder, at: Instant): readonly PlacesEffect[] {
    this.countOrder(order, at);
    this.begin(order, at);
    return [];
  }

  holds(order: AdapterOrder, at: Instant): readonly PlacesEffect[] {
    const key = adapterKey(order);
    const place = this.places.get(key);
    if (order.operation === 'unload') {
      // An idle adapter is gone at once, which counts as an order.
      if (place?.state === 'resident' || place?.unsettled === true) {
        this.countOrder(order, at);
      }
      this.places.delete(key);
      return [];
    }
    if (place === undefined) {
      return [];
    }
    if (place.state === 'loading') {
      if (!place.unsettled) {
        const tookMs = elapsedMs(place.orderedAt, at);
        this.loadTimes.observe(place.source, tookMs);
      }
      this.remember(key);
    }
    place.state = 'resident';
    place.unsettled = false;
    place.version = Math.max(place.version, order.version ?? 0);
    return this.serveWaiting(at);
  }

  conflict(order: AdapterOrder, at: Instant): readonly PlacesEffect[] {
    const place = this.places.get(adapterKey(order));
    if (place?.unsettled === true) {
      // An earlier copy of this order was carried out after all.
      this.countOrder(order, at);
      this.begin(order, at);
      return [];
    }
    return this.countConflict(at);
  }

  /** The server takes no order now, or the count of orders is wrong. */
  private countConflict(at: Instant): readonly PlacesEffect[] {
    this.conflicts += 1;
    this.pause(CONFLICT_PAUSE_MS, at);
    if (this.conflicts >= CONFLICTS_BEFORE_REPORT) {
      this.ordersAccepted = undefined;
      this.pause(REPORT_LAG_MS, at);
    }
    return [];
  }

  invalid(order: AdapterOrder): readonly PlacesEffect[] {
    const key = adapterKey(order);
    const place = this.places.get(key);
    if (place?.state !== 'resident') {
      this.places.delete(key);
    }
    return this.refuseWaiting(
      ({request}) => adapterKey(request) === key,
      'unknown-adapter',
    );
  }

  unanswered(order: AdapterOrder, at: Instant): readonly PlacesEffect[] {
    this.begin(order, at);
    const begun = this.places.get(adapterKey(order));
    if (begun !== undefined) {
      begun.unsettled = true;
      begun.checkAfterMs = 0;
    }
    return [];
  }

  withheld(order: AdapterOrder, at: Instant): readonly PlacesEffect[] {
    const place = this.places.get(adapterKey(order));
    if (place !== undefined) {
      place.checkAfterMs = elapsedMs(place.orderedAt, at) + WITHHELD_PAUSE_MS;
    }
    this.pause(WITHHELD_PAUSE_MS, at);
    return [];
  }

  private proceed(at: Instant): readonly PlacesEffect[] {
    if (this.gone || !this.issuing) {
      return [];
    }
    const pauseMs = this.pauseLeftMs(at);
    if (pauseMs > 0) {
      return [{type: 'wake-after', delayMs: Math.max(1, pauseMs)}];
    }
    if (this.ordersAccepted === undefined) {
      if (this.reportRequested) {
        return [];
      }
      this.reportRequested = true;
      return [{type: 'read-report'}];
    }
    const effects = this.dueChecks(this.ordersAccepted, at);
    if (this.inProgress === undefined) {
      const order = this.nextOrder(this.ordersAccepted, at);
      if (order !== undefined) {
        this.inProgress = order;
        effects.push({type: 'send-order', order});
      }
    }
    const delayMs = this.nextCheckMs(at);
    if (delayMs !== undefined) {
      effects.push({type: 'wake-after', delayMs});
    }
    return effects;
  }

  /** Asks about loads and unloads that should have been carried out. */
  private dueChecks(expectedOrders: number, at: Instant): PlacesEffect[] {
    const effects: PlacesEffect[] = [];
    for (const [key, place] of this.places) {
      if (
        place.unsettled ||
        checkDueMs(place, at) > 0 ||
        this.checks.has(key)
      ) {
        continue;
      }
      const {model, adapter, version, state} = place;
      const operation = state === 'unloading' ? 'unload' : 'load';
      const order: Order = {
        serial: (this.serial += 1),
        operation,
        model,
        adapter,
        version: operation === 'load' && version > 1 ? version : undefined,
        expectedOrders,
      };
      this.checks.set(key, order);
      effects.push({type: 'send-order', order});
    }
    return effects;
  }

  private checkEnded(
    order: Order,
    end: OrderEnd,
    at: Instant,
  ): readonly PlacesEffect[] {
    const place = this.places.get(orderKey(order));
    if (place === undefined || order.adapter === undefined) {
      return [];
    }
    if (end === 'holds' || end === 'misdirected') {
      const {adapter} = order;
      return ORDER_ENDS[end](this, {...order, adapter}, at);
    }
    // An order that was accepted meanwhile makes a check fail: ask again.
    place.checkAfterMs = elapsedMs(place.orderedAt, at) + CHECK_PERIOD_MS;
    if (end === 'conflict' && order.expectedOrders === this.ordersAccepted) {
      return this.countConflict(at);
    }
    return [];
  }

  private nextOrder(expectedOrders: number, at: Instant): Order | undefined {
    const issue = (
      {model, adapter}: {model: string; adapter: string | undefined},
      operation: Order['operation'],
      version?: number,
    ): Order => ({
      serial: (this.serial += 1),
      operation,
      model,
      adapter,
      version,
      expectedOrders,
    });
    const missing = [...this.models].find(
      ([, {state}]) => state !== 'resident',
    );
    if (missing !== undefined) {
      // A server carries out nothing else while it loads a base model.
      const [name, model] = missing;
      if (modelCheckDueMs(model, at) > 0) {
        return undefined;
      }
      model.askedAt = at;
      return issue({model: name, adapter: undefined}, 'load');
    }
    const all = [...this.places.values()];
    // An order without an answer is settled before anything else.
    const unsettled = all.find((place) => place.unsettled);
    if (unsettled !== undefined) {
      const {state, version} = unsettled;
      return state === 'unloading'
        ? issue(unsettled, 'unload')
        : issue(unsettled, 'load', version > 1 ? version : undefined);
    }
    if (all.some(({state}) => state === 'unloading')) {
      // The server takes no other order while an adapter's runs end.
      return undefined;
    }
    const inTransit = all.filter(({state}) => state === 'loading').length;
    if (inTransit >= MAXIMUM_IN_TRANSIT) {
      return undefined;
    }
    for (const request of this.wanted()) {
      const place = this.places.get(adapterKey(request));
      if (place?.state === 'resident') {
        return issue(request, 'load', request.version);
      }
      if (place !== undefined) {
        continue;
      }
      if (this.places.size < this.capacity) {
        const version = request.version > 1 ? request.version : undefined;
        return issue(request, 'load', version);
      }
      const victim = this.victim(at);
      if (victim !== undefined) {
        return issue(victim, 'unload');
      }
    }
    return undefined;
  }

  /** Distinct adapters that requests wait for, the most urgent first. */
  private wanted(): readonly PrepareRequest[] {
    const byKey = new Map<string, PrepareRequest>();
    const ordered = [...this.waiting.values()].sort(
      (first, second) => first.request.priority - second.request.priority,
    );
    for (const {request} of ordered) {
      const key = adapterKey(request);
      const known = byKey.get(key);
      if (known === undefined || known.version < request.version) {
        byKey.set(
          key,
          known === undefined ? request : {...known, version: request.version},
        );
      }
    }
    return [...byKey.values()];
  }

  /** The resident adapter that will be missed least, if one may go. */
  private victim(at: Instant): Place | undefined {
    const idle = [...this.places.values()].filter(
      (place) => place.state === 'resident' && !isHeld(place, at),
    );
    return idle.reduce<Place | undefined>(
      (least, place) =>
        least === undefined || rateAt(place, at) < rateAt(least, at)
          ? place
          : least,
      undefined,
    );
  }

  private refusal(
    request: PrepareRequest,
    place: Place | undefined,
    at: Instant,
  ): PrepareRefusal | undefined {
    if (this.gone) {
      return 'server-gone';
    }
    if (!this.issuing) {
      return 'not-issuer';
    }
    if (this.expectedWaitMs(request, at) <= request.maximumWaitMs) {
      return undefined;
    }
    return place === undefined && !this.hasRoom(at) ? 'no-place' : 'too-long';
  }

  private expectedWaitMs(request: AdapterName, at: Instant): number {
    const key = adapterKey(request);
    const place = this.places.get(key);
    if (place?.state === 'loading') {
      return Math.max(0, checkDueMs(place, at));
    }
    const ahead = this.wanted().filter(
      (other) => this.places.get(adapterKey(other))?.state !== 'loading',
    ).length;
    const rounds = 1 + Math.floor(ahead / MAXIMUM_IN_TRANSIT);
    const loadMs = rounds * this.loadTimes.expectedMs(this.sourceOf(key));
    const holdMs = this.hasRoom(at)
      ? 0
      : ((ahead + 1) * ASSUMED_HOLD_MS) / Math.max(1, this.capacity);
    return holdMs + loadMs;
  }

  private hasRoom(at: Instant): boolean {
    return this.places.size < this.capacity || this.victim(at) !== undefined;
  }

  private promise(place: Place, host: string, at: Instant): PrepareAnswer {
    const perSecond =
      (rateAt(place, at) * Math.LN2 * 1_000) / RATE_HALF_LIFE_MS;
    const validMs = Math.min(
      LONGEST_PROMISE_MS,
      Math.max(
        SHORTEST_PROMISE_MS,
        (perSecond / STEADY_USES_PER_S) * LONGEST_PROMISE_MS,
      ),
    );
    place.holders.set(host, at);
    return {outcome: 'resident', version: place.version, validMs};
  }

  private serveWaiting(at: Instant): readonly PlacesEffect[] {
    const effects: PlacesEffect[] = [];
    for (const [requestId, {request}] of this.waiting) {
      const place = this.places.get(adapterKey(request));
      if (place !== undefined && isUsable(place, request.version)) {
        this.waiting.delete(requestId);
        this.count(place, request.uses + 1, at);
        const promise = this.promise(place, request.host, at);
        effects.push(answer(requestId, promise));
      }
    }
    return effects;
  }

  private refuseAll(reason: PrepareRefusal): readonly PlacesEffect[] {
    return this.refuseWaiting(() => true, reason);
  }

  private refuseWaiting(
    matches: (waiting: Waiting) => boolean,
    reason: PrepareRefusal,
  ): readonly PlacesEffect[] {
    const effects: PlacesEffect[] = [];
    for (const [requestId, waiting] of this.waiting) {
      if (matches(waiting)) {
        this.waiting.delete(requestId);
        effects.push(refuse(requestId, reason, 0));
      }
    }
    return effects;
  }

  private modelOrderEnded(
    order: Order,
    end: OrderEnd,
    at: Instant,
  ): readonly PlacesEffect[] {
    const model = this.models.get(order.model);
    if (model === undefined) {
      return [];
    }
    if (end === 'misdirected') {
      return this.serverGone();
    }
    if (end === 'holds') {
      model.state = 'resident';
    } else if (end === 'unanswered') {
      model.unsettled = true;
    } else if (
      (end === 'accepted' && model.state === 'absent') ||
      (end === 'conflict' && model.unsettled)
    ) {
      this.countOrder(order, at);
      model.state = 'loading';
      model.unsettled = false;
    } else if (end === 'conflict') {
      this.ordersAccepted = undefined;
      this.pause(REPORT_LAG_MS, at);
    }
    return [];
  }

  /** Records that the server has accepted, or may have accepted, an order. */
  private begin(order: AdapterOrder, at: Instant): void {
    const key = adapterKey(order);
    const known = this.places.get(key);
    const source = this.sourceOf(key);
    const loading = order.operation === 'load';
    const expectedMs = this.loadTimes.expectedMs(source);
    this.places.set(key, {
      model: order.model,
      adapter: order.adapter,
      state: loading ? 'loading' : 'unloading',
      version: order.version ?? known?.version ?? 1,
      unsettled: false,
      orderedAt: at,
      checkAfterMs: loading ? expectedMs * FIRST_CHECK_SHARE : CHECK_PERIOD_MS,
      source,
      rate: known?.rate ?? 0,
      usedAt: known?.usedAt ?? at,
      holders: new Map(),
    });
  }

  private take(
    held: AdapterName & {version: number},
    state: PlaceState,
    before: ReadonlyMap<string, Place>,
    at: Instant,
  ): void {
    const key = adapterKey(held);
    const known = before.get(key);
    this.remember(key);
    this.places.set(key, {
      model: held.model,
      adapter: held.adapter,
      state,
      version: held.version,
      unsettled: false,
      orderedAt: at,
      checkAfterMs: CHECK_PERIOD_MS,
      source: 'store',
      rate: known?.rate ?? 0,
      usedAt: known?.usedAt ?? at,
      holders: known?.holders ?? new Map<string, Instant>(),
    });
  }

  private countOrder(order: Order, at: Instant): void {
    this.ordersAccepted = order.expectedOrders + 1;
    this.acceptedAt = at;
  }

  private count(place: Place, uses: number, at: Instant): void {
    place.rate = rateAt(place, at) + uses;
    place.usedAt = at;
  }

  /** Notes that the server has a copy at hand. */
  private remember(key: string): void {
    this.copies.delete(key);
    this.copies.add(key);
    if (this.copies.size > COPIES_AT_HAND) {
      const [oldest] = this.copies;
      this.copies.delete(oldest ?? key);
    }
  }

  private sourceOf(key: string): LoadSource {
    return this.copies.has(key) ? 'copy' : 'store';
  }

  private nextCheckMs(at: Instant): number | undefined {
    const checks = [...this.places.values()]
      .filter(
        (place) =>
          place.state !== 'resident' &&
          !place.unsettled &&
          !this.checks.has(adapterKey(place)),
      )
      .map((place) => checkDueMs(place, at));
    for (const model of this.models.values()) {
      if (model.state !== 'resident') {
        checks.push(modelCheckDueMs(model, at));
      }
    }
    const soonest = Math.min(Infinity, ...checks);
    return soonest === Infinity ? undefined : Math.max(1, soonest);
  }

  private pause(forMs: number, at: Instant): void {
    this.pausedUntil = {since: at, forMs};
  }

  private pauseLeftMs(at: Instant): number {
    const {pausedUntil} = this;
    return pausedUntil === undefined
      ? 0
      : Math.max(0, pausedUntil.forMs - elapsedMs(pausedUntil.since, at));
  }
}

const orderKey = ({model, adapter}: Order): string =>
  adapterKey({model, adapter: adapter ?? ''});

const isHeld = ({holders}: Place, at: Instant): boolean =>
  [...holders.values()].some((since) => elapsedMs(since, at) < LONGEST_HOLD_MS);

const isUsable = (place: Place, version: number): boolean =>
  place.state === 'resident' && place.version >= version;

const modelCheckDueMs = ({askedAt}: BaseModel, at: Instant): number =>
  askedAt === undefined ? 0 : MODEL_CHECK_PERIOD_MS - elapsedMs(askedAt, at);

/** Milliseconds until an order under way should be asked about. */
const checkDueMs = (place: Place, at: Instant): number =>
  place.state === 'resident'
    ? Infinity
    : place.checkAfterMs - elapsedMs(place.orderedAt, at);

const rateAt = (place: Place, at: Instant): number =>
  place.rate *
  0.5 ** (Math.max(0, elapsedMs(place.usedAt, at)) / RATE_HALF_LIFE_MS);

const answer = (requestId: string, value: PrepareAnswer): PlacesEffect => ({
  type: 'answer-prepare',
  requestId,
  answer: value,
});

const refuse = (
  requestId: string,
  reason: PrepareRefusal,
  retryAfterMs: number,
): PlacesEffect =>
  answer(requestId, {outcome: 'refused', reason, retryAfterMs});

type Handlers = {
  readonly [Type in PlacesEvent['type']]: (
    places: AdapterPlaces,
    event: Extract<PlacesEvent, {type: Type}>,
    at: Instant,
  ) => readonly PlacesEffect[];
};

const HANDLERS: Handlers = {
  'prepare-requested': (places, {request}, at) => places.prepare(request, at),
  'adapter-released': (places, {host, name}) => places.released(host, name),
  'prepare-cancelled': (places, {requestId}) => places.cancel(requestId),
  'order-ended': (places, {order, end}, at) =>
    places.orderEnded(order, end, at),
  'report-read': (places, {report}, at) => places.reportRead(report, at),
  'report-failed': (places, _event, at) => places.reportFailed(at),
  'issuing-changed': (places, {issuing}) => places.issuingChanged(issuing),
  'models-wanted': (places, {models, capacity}) =>
    places.modelsWanted(models, capacity),
  'server-gone': (places) => places.serverGone(),
  woken: () => [],
};

const ORDER_ENDS: Readonly<
  Record<
    OrderEnd,
    (
      places: AdapterPlaces,
      order: AdapterOrder,
      at: Instant,
    ) => readonly PlacesEffect[]
  >
> = {
  accepted: (places, order, at) => places.accepted(order, at),
  holds: (places, order, at) => places.holds(order, at),
  conflict: (places, order, at) => places.conflict(order, at),
  invalid: (places, order) => places.invalid(order),
  misdirected: (places) => places.serverGone(),
  unanswered: (places, order, at) => places.unanswered(order, at),
  withheld: (places, order, at) => places.withheld(order, at),
};
