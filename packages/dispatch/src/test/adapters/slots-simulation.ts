import type {Instant} from '@basilworks/core';

import {
  AdapterSlots,
  LoadTimes,
  type Order,
  type OrderOutcome,
  type AdapterSlotsEffect,
  type AdapterSlotsEvent,
  type ResidencyReport,
  type PrepareAnswer,
} from '../../index.js';

/** How the modelled server treats orders. */
export interface WorldOptions {
  readonly capacity: number;
  readonly loadMs: number;
  /** Decides for each order whether its answer is lost, 0 to 1. */
  readonly random: () => number;
  /** Share of answers that are lost though the order was taken. */
  readonly lost: number;
  /** Share of orders that are carried out late and not answered. */
  readonly late: number;
  /** Whether what an order asks for is looked at before its count. */
  readonly holdsFirst?: boolean;
  /** Age of what the server reports, milliseconds. */
  readonly reportLagMs?: number;
}

interface Timed {
  readonly atMs: number;
  readonly run: () => void;
}

const MODEL = 'base';

/** Round trip of an order, and the time after which it counts unanswered. */
const ROUND_TRIP_MS = 4;
const ORDER_TIMEOUT_MS = 300;

const EMPTY_REPORT: ResidencyReport = {
  ordersAccepted: 0,
  models: [MODEL],
  resident: [],
  loading: [],
};

/** A modelled server and the places of its issuer, under virtual time. */
export class SlotsSimulation {
  readonly places = new AdapterSlots(new LoadTimes());
  readonly answers = new Map<string, PrepareAnswer>();
  readonly orders: Order[] = [];
  /** Adapters on the server and whether they have arrived. */
  readonly resident = new Map<string, number>();
  readonly coming = new Set<string>();
  /** Adapters that requests run on. */
  readonly inUse = new Set<string>();
  overfilled = 0;
  /** Adapters that were unloaded while a request ran on them. */
  unloadedInUse = 0;
  private sequence = 0;
  private wakes = 0;
  private nowMs = 0;
  private events: Timed[] = [];
  private readonly past: {
    readonly atMs: number;
    readonly report: ResidencyReport;
  }[] = [];

  constructor(private readonly options: WorldOptions) {
    this.post({
      type: 'models-wanted',
      models: [MODEL],
      capacity: options.capacity,
    });
  }

  get at(): Instant {
    return {monotonicMs: this.nowMs, wallMs: this.nowMs};
  }

  /** Passes virtual time. */
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
      },
    });
  }

  release(adapter: string, host = 'host'): void {
    const name = {model: MODEL, adapter};
    this.post({type: 'adapter-released', host, name});
  }

  post(event: AdapterSlotsEvent): void {
    for (const effect of this.places.reduce(event, this.at)) {
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
    // As a timer of the daemon, a later one replaces the one before.
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
          : (this.past.findLast(({atMs}) => atMs <= asOfMs)?.report ??
            EMPTY_REPORT);
      this.after(ROUND_TRIP_MS, () => {
        this.post({type: 'report-read', report});
      });
    },
    'send-order': ({order}) => {
      this.orders.push(order);
      const {random, lost, late} = this.options;
      const luck = random();
      const unanswered = () => {
        this.end(order, 'unanswered', ORDER_TIMEOUT_MS);
      };
      if (luck < late) {
        this.after(2_000 + 8_000 * random(), () => this.carryOut(order));
        unanswered();
      } else {
        const end = this.carryOut(order);
        if (luck < late + lost) {
          unanswered();
        } else {
          this.end(order, end, ROUND_TRIP_MS);
        }
      }
    },
  };

  /** The issuer before ordered a load, which is carried out late. */
  orderOfIssuerBefore(adapter: string, delayMs: number): void {
    const expectedOrders = this.sequence;
    const taken = new Set([...this.resident.keys(), ...this.coming]).size;
    if (taken >= this.options.capacity) {
      // An issuer orders no load for which there is no place.
      return;
    }
    this.after(delayMs, () => {
      this.carryOut({
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
      loading: [...this.coming].map((adapter) => ({
        model: MODEL,
        adapter,
        version: 1,
      })),
    };
  }

  /** Keeps what a report that lags will tell. */
  private record(): void {
    this.past.push({atMs: this.nowMs, report: this.currentReport()});
  }

  private end(order: Order, end: OrderOutcome, delayMs: number): void {
    this.after(delayMs, () => {
      this.post({type: 'order-ended', order, end});
    });
  }

  private carryOut(order: Order): OrderOutcome {
    const {operation, adapter = '', version = 1, expectedOrders} = order;
    const held = (this.resident.get(adapter) ?? 0) >= version;
    if (this.options.holdsFirst === true && operation === 'load' && held) {
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
        this.record();
      }
      return 'holds';
    }
    if (held) {
      return 'holds';
    }
    if (this.coming.has(adapter)) {
      return 'accepted';
    }
    if (this.coming.size >= 4) {
      return 'conflict';
    }
    this.sequence += 1;
    this.coming.add(adapter);
    this.record();
    const taken = new Set([...this.resident.keys(), ...this.coming]);
    if (taken.size > this.options.capacity) {
      this.overfilled += 1;
    }
    this.after(this.options.loadMs, () => {
      this.coming.delete(adapter);
      this.resident.set(adapter, version);
      this.record();
    });
    return 'accepted';
  }

  private after(delayMs: number, run: () => void): void {
    this.events.push({atMs: this.nowMs + delayMs, run});
  }
}
