import {elapsedMs, type Instant} from '@basilworks/core';

import type {OrderOutcome} from './adapter-slots-events.js';

/** Interval between queries for the state of a base model's load, ms. */
const CHECK_PERIOD_MS = 200;

interface BaseModel {
  state: 'absent' | 'loading' | 'resident';
  /** An order for it was not answered and may still be executed. */
  unconfirmed: boolean;
  orderedAt: Instant | undefined;
}

/**
 * Effect of an order's outcome on the issuer's count of accepted orders: none,
 * one more order, or a count that differs from the server's.
 */
export type ModelOrderEffect = 'none' | 'counted' | 'out-of-step';

/**
 * The base models that a server should have resident. A server that restarts
 * has none.
 */
export class BaseModels {
  private readonly models = new Map<string, BaseModel>();

  /** Sets the wanted models; true if the state of any is unknown. */
  setWanted(names: readonly string[]): boolean {
    const added = names.filter((name) => !this.models.has(name));
    for (const name of added) {
      this.models.set(name, {
        state: 'absent',
        unconfirmed: false,
        orderedAt: undefined,
      });
    }
    for (const name of this.models.keys()) {
      if (!names.includes(name)) {
        this.models.delete(name);
      }
    }
    return added.length > 0;
  }

  /** Applies the list of resident models that the server reports. */
  applyReport(resident: readonly string[]): void {
    for (const [name, model] of this.models) {
      model.state = resident.includes(name) ? 'resident' : 'absent';
      model.unconfirmed = false;
    }
  }

  /** The first model that is not resident, if any. */
  missing(): string | undefined {
    return [...this.models].find(([, {state}]) => state !== 'resident')?.[0];
  }

  /** Milliseconds until the next order for, or query of, the missing model. */
  dueMs(at: Instant): number {
    const orderedAt = this.models.get(this.missing() ?? '')?.orderedAt;
    return orderedAt === undefined
      ? 0
      : Math.max(0, CHECK_PERIOD_MS - elapsedMs(orderedAt, at));
  }

  /** Records that an order for a model is sent. */
  orderSent(name: string, at: Instant): void {
    const model = this.models.get(name);
    if (model !== undefined) {
      model.orderedAt = at;
    }
  }

  /** Applies the outcome of an order for a model. */
  orderEnded(name: string, outcome: OrderOutcome): ModelOrderEffect {
    const model = this.models.get(name);
    return model === undefined ? 'none' : OUTCOME_EFFECTS[outcome](model);
  }
}

const startLoading = (model: BaseModel): ModelOrderEffect => {
  model.state = 'loading';
  model.unconfirmed = false;
  return 'counted';
};

const noEffect = (): ModelOrderEffect => 'none';

const OUTCOME_EFFECTS: Readonly<
  Record<OrderOutcome, (model: BaseModel) => ModelOrderEffect>
> = {
  // The server also answers `accepted` to a query of a load in progress.
  accepted: (model) =>
    model.state === 'absent' ? startLoading(model) : 'none',
  holds: (model) => {
    model.state = 'resident';
    return 'none';
  },
  conflict: (model) =>
    model.unconfirmed ? startLoading(model) : 'out-of-step',
  unanswered: (model) => {
    model.unconfirmed = true;
    return 'none';
  },
  invalid: noEffect,
  misdirected: noEffect,
  withheld: noEffect,
};
