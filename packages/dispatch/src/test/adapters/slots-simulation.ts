import type {Instant} from '@basilworks/core';

import {
  AdapterSlots,
  type AdapterSlotsEffect,
  type AdapterSlotsEvent,
  LoadTimes,
  type Order,
  type OrderOutcome,
  type PrepareAnswer,
  type ResidencyReport,
} from '../../index.js';

/** Behavior of the simulated server. */
export interface SimulationOptions {
  readonly capacity: number;
  readonly loadMs: number;
  /** Draws from 0 to 1 that decide the fate of each order and answer. */
  readonly random: () => number;
  /** Fraction of orders that are executed but not answered. */
  readonly lostFraction: number;
  /** Fraction of orders that are executed late and not answered. */
  readonly lateFraction: number;
  /** Whether the server checks the requested state before the order count. */
  readonly checksStateFirst?: boolean;
  /** Age of the state in a report, milliseconds. */
  readonly reportLagMs?: number;
}

interface ScheduledEvent {
  readonly atMs: number;
  readonly run: () => void;
}

const MODEL = 'base';

/** Round trip time of an order, and the time-out of its answer. */
const ROUND_TRIP_MS = 4;
const ORDER_TIMEOUT_MS = 300;

const EMPTY_REPORT: ResidencyReport = {
  ordersAccepted: 0,
  models: [MODEL],
  resident: [],
  loading: [],
};

/** A simulated server and its issuer's `AdapterSlots`, in virtual time. */
export class SlotsSimulation {
  readonly slots = new AdapterSlots(new LoadTimes());
  readonly answers = new Map<string, PrepareAnswer>();
  readonly orders: Order[] = [];
  /** Versions of the resident adapters, and the adapters being loaded. */
  readonly resident = new Map<string, number>();
  readonly loading = new Set<string>();
  /** Adapters with requests in progress. */
  readonly inUse = new Set<string>();
  overfilled = 0;
  /** Number of unloads of adapters with requests in progress. */
  unloadedInUse = 0;
  private sequence = 0;
  private wakes = 0;
  private nowMs = 0;
  private events: ScheduledEvent[] = [];
  private readonly reportHistory: {
    readonly atMs: number;
    readonly report: ResidencyReport;
  }[] = [];

  constructor(private readonly options: SimulationOptions) {
    this.post({
      type: 'models-wanted',
      models: [MODEL],
      capacity: options.capacity,
    });
  }

  get at(): Instant {
    return {monotonicMs: this.nowMs, wallMs: this.nowMs};
  }

  /** Advances virtual time and runs the events that become due. */
  advance(milliseconds: number): void {
    const endMs = this.nowMs + milliseconds;
    for (;;) {
      const [next] = this.events
        .filter(({atMs}) => atMs <= endMs)
        .sort((first, second) => first.atMs - second.atMs);
      if (next === undefined) {
        break;
      }
      this.events = this.events.filter((event) => event !== next);
      this.nowMs = Math.max(this.nowMs, next.atMs);
      next.run();
    }
    this.nowMs = endMs;
  }

  prepare(
    requestId: string,
    adapter: string,
    {
      version = 1,
      maximumWaitMs = 5_000,
      onTimeWithinMs = 500,
      host = 'host',
      priority = 0,
    } = {},
  ): void {
    this.post({
      type: 'prepare-requested',
      request: {
        requestId,
        host,
        model: MODEL,
        adapter,
        version,
        maximumWaitMs,
        onTimeWithinMs,
        priority,
        uses: 0,
        inFlight: 0,
        takesCrowded: false,
        among: 1,
        promptTokens: 0,
      },
    });
  }

  release(adapter: string, host = 'host'): void {
    const name = {model: MODEL, adapter};
    this.post({type: 'adapter-released', host, name});
  }

  post(event: AdapterSlotsEvent): void {
    for (const effect of this.slots.reduce(event, this.at)) {
      this.runners[effect.type](effect as never);
    }
  }

  private readonly runners: {
    readonly [Type in AdapterSlotsEffect['type']]: (
      effect: Extract<AdapterSlotsEffect, {type: Type}>,
    ) => void;
  } = {
    'answer-prepare': ({requestId, answer}) => {
      this.answers.set(requestId, answer);
    },
    // A later timer replaces the earlier one, as in the entry host.
    'wake-after': ({delayMs}) => {
      const wake = (this.wakes += 1);
      this.after(delayMs, () => {
        if (wake === this.wakes) {
          this.post({type: 'woken'});
        }
      });
    },
    'read-report': () => {
      const {reportLagMs = 0} = this.options;
      const asOfMs = this.nowMs - reportLagMs;
      const report =
        reportLagMs === 0
          ? this.currentReport()
          : (this.reportHistory.findLast(({atMs}) => atMs <= asOfMs)?.report ??
            EMPTY_REPORT);
      this.after(ROUND_TRIP_MS, () => {
        this.post({type: 'report-read', report});
      });
    },
    'send-order': ({order}) => {
      this.orders.push(order);
      const {random, lostFraction, lateFraction} = this.options;
      const draw = random();
      const unanswered = () => {
        this.end(order, 'unanswered', ORDER_TIMEOUT_MS);
      };
      if (draw < lateFraction) {
        this.after(2_000 + 8_000 * random(), () => this.execute(order));
        unanswered();
      } else {
        const outcome = this.execute(order);
        if (draw < lateFraction + lostFraction) {
          unanswered();
        } else {
          this.end(order, outcome, ROUND_TRIP_MS);
        }
      }
    },
  };

  /** Schedules a load order of a former issuer that is executed late. */
  scheduleFormerIssuerOrder(adapter: string, delayMs: number): void {
    const expectedOrders = this.sequence;
    const taken = new Set([...this.resident.keys(), ...this.loading]).size;
    if (taken >= this.options.capacity) {
      // An issuer orders no load without a free slot.
      return;
    }
    this.after(delayMs, () => {
      this.execute({
        serial: 0,
        operation: 'load',
        model: MODEL,
        adapter,
        version: undefined,
        expectedOrders,
      });
    });
  }

  private currentReport(): ResidencyReport {
    return {
      ordersAccepted: this.sequence,
      models: [MODEL],
      resident: [...this.resident].map(([adapter, version]) => ({
        model: MODEL,
        adapter,
        version,
      })),
      loading: [...this.loading].map((adapter) => ({
        model: MODEL,
        adapter,
        version: 1,
      })),
    };
  }

  /** Records the current state for reports that lag behind. */
  private recordReport(): void {
    this.reportHistory.push({atMs: this.nowMs, report: this.currentReport()});
  }

  private end(order: Order, outcome: OrderOutcome, delayMs: number): void {
    this.after(delayMs, () => {
      this.post({type: 'order-ended', order, end: outcome});
    });
  }

  private execute(order: Order): OrderOutcome {
    const {operation, adapter = '', version = 1, expectedOrders} = order;
    const isResident = (this.resident.get(adapter) ?? 0) >= version;
    if (
      this.options.checksStateFirst === true &&
      operation === 'load' &&
      isResident
    ) {
      return 'holds';
    }
    if (expectedOrders !== this.sequence) {
      return 'conflict';
    }
    if (operation === 'unload') {
      if (this.inUse.has(adapter)) {
        this.unloadedInUse += 1;
      }
      if (this.resident.delete(adapter)) {
        this.sequence += 1;
        this.recordReport();
      }
      return 'holds';
    }
    if (isResident) {
      return 'holds';
    }
    if (this.loading.has(adapter)) {
      return 'accepted';
    }
    if (this.loading.size >= 4) {
      return 'conflict';
    }
    this.sequence += 1;
    this.loading.add(adapter);
    this.recordReport();
    const taken = new Set([...this.resident.keys(), ...this.loading]);
    if (taken.size > this.options.capacity) {
      this.overfilled += 1;
    }
    this.after(this.options.loadMs, () => {
      this.loading.delete(adapter);
      this.resident.set(adapter, version);
      this.recordReport();
    });
    return 'accepted';
  }

  private after(delayMs: number, run: () => void): void {
    this.events.push({atMs: this.nowMs + delayMs, run});
  }
}
