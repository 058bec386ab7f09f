import {elapsedMs, type Instant} from '@basilworks/core';

import type {OrderOutcome} from './adapter-slots-events.js';

/** Between two questions about a base model's load, milliseconds. */
const CHECK_PERIOD_MS = 200;

interface BaseModel {
  state: 'absent' | 'loading' | 'resident';
  /** An order for it got no answer and may still be carried out. */
  unsettled: boolean;
  askedAt: Instant | undefined;
}

/** What the end of an order for a base model means for the issuer. */
export type ModelOrderEffect = 'none' | 'counted' | 'out-of-step';

/** The base models that a server should hold; restarts leave it empty. */
export class BaseModels {
  private readonly models = new Map<string, BaseModel>();

  /** Sets what the server should hold; true if some state is not known. */
  want(names: readonly string[]): boolean {
    const added = names.filter((name) => !this.models.has(name));
    for (const name of added) {
      this.models.set(name, {
        state: 'absent',
        unsettled: false,
        askedAt: undefined,
      });
    }
    for (const name of this.models.keys()) {
      if (!names.includes(name)) {
        this.models.delete(name);
      }
    }
    return added.length > 0;
  }

  /** Takes over what the server reports. */
  report(resident: readonly string[]): void {
    for (const [name, model] of this.models) {
      model.state = resident.includes(name) ? 'resident' : 'absent';
      model.unsettled = false;
    }
  }

  /** The first model that is not resident, if any. */
  missing(): string | undefined {
    return [...this.models].find(([, {state}]) => state !== 'resident')?.[0];
  }

  /** Milliseconds until the missing model should be ordered, or asked about. */
  dueMs(at: Instant): number {
    const askedAt = this.models.get(this.missing() ?? '')?.askedAt;
    return askedAt === undefined
      ? 0
      : Math.max(0, CHECK_PERIOD_MS - elapsedMs(askedAt, at));
  }

  /** An order for a model goes out. */
  asked(name: string, at: Instant): void {
    const model = this.models.get(name);
    if (model !== undefined) {
      model.askedAt = at;
    }
  }

  /** An order for a model has ended. */
  ended(name: string, end: OrderOutcome): ModelOrderEffect {
    const model = this.models.get(name);
    return model === undefined ? 'none' : ENDS[end](model);
  }
}

const begin = (model: BaseModel): ModelOrderEffect => {
  model.state = 'loading';
  model.unsettled = false;
  return 'counted';
};

const none = (): ModelOrderEffect => 'none';

const ENDS: Readonly<
  Record<OrderOutcome, (model: BaseModel) => ModelOrderEffect>
> = {
  // A question about a load that is under way is accepted, too.
  accepted: (model) => (model.state === 'absent' ? begin(model) : 'none'),
  holds: (model) => {
    model.state = 'resident';
    return 'none';
  },
  conflict: (model) => (model.unsettled ? begin(model) : 'out-of-step'),
  unanswered: (model) => {
    model.unsettled = true;
    return 'none';
  },
  invalid: none,
  misdirected: none,
  withheld: none,
};
