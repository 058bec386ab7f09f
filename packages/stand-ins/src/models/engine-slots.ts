import {adapterVersionKey, type AdapterVersion} from '@basilworks/core';

import type {ScheduledCallback} from './scheduler.js';
import type {WeightStoreModel} from './weight-store-model.js';

/** One occupied adapter slot. */
export interface EngineSlot extends AdapterVersion {
  state: 'loading' | 'ready';
}

/** How an order ended at the engine. */
export type OrderOutcome =
  'done' | 'failed' | 'no-free-slot' | 'in-use' | 'stale-fencing';

type Answer = (outcome: OrderOutcome) => void;

interface Occupied extends EngineSlot {
  readonly answers: Answer[];
  transfer: ScheduledCallback | undefined;
}

/** The adapter slots of one engine. */
export class EngineSlots {
  private readonly occupied = new Map<string, Occupied>();

  constructor(
    private readonly capacity: number,
    private readonly weightStore: WeightStoreModel,
    private readonly changing: () => void,
  ) {}

  list(): readonly EngineSlot[] {
    return [...this.occupied.values()];
  }

  isReady(adapterVersion: AdapterVersion): boolean {
    const slot = this.occupied.get(adapterVersionKey(adapterVersion));
    return slot?.state === 'ready';
  }

  /** Loads into a free slot; joins a load that is under way. */
  load(adapterVersion: AdapterVersion, answer: Answer): void {
    const key = adapterVersionKey(adapterVersion);
    const present = this.occupied.get(key);
    if (present?.state === 'ready') {
      answer('done');
    } else if (present !== undefined) {
      present.answers.push(answer);
    } else if (this.occupied.size >= this.capacity) {
      answer('no-free-slot');
    } else {
      this.begin(key, adapterVersion, answer);
    }
  }

  /** Frees a slot. A load that is under way fails. */
  unload(adapterVersion: AdapterVersion): void {
    this.changing();
    const key = adapterVersionKey(adapterVersion);
    const slot = this.occupied.get(key);
    this.occupied.delete(key);
    abort(slot);
  }

  /** Empties every slot. */
  clear(): void {
    const slots = [...this.occupied.values()];
    this.occupied.clear();
    slots.forEach(abort);
  }

  private begin(
    key: string,
    adapterVersion: AdapterVersion,
    answer: Answer,
  ): void {
    this.changing();
    const {adapter, version} = adapterVersion;
    const slot: Occupied = {
      adapter,
      version,
      state: 'loading',
      answers: [answer],
      transfer: undefined,
    };
    this.occupied.set(key, slot);
    slot.transfer = this.weightStore.load(adapterVersion, (outcome) => {
      this.changing();
      slot.transfer = undefined;
      if (outcome === 'loaded') {
        slot.state = 'ready';
      } else {
        this.occupied.delete(key);
      }
      answerAll(slot, outcome === 'loaded' ? 'done' : 'failed');
    });
  }
}

const abort = (slot: Occupied | undefined): void => {
  slot?.transfer?.cancel();
  if (slot !== undefined) {
    answerAll(slot, 'failed');
  }
};

const answerAll = (slot: Occupied, outcome: OrderOutcome): void => {
  for (const answer of slot.answers.splice(0)) {
    answer(outcome);
  }
};
