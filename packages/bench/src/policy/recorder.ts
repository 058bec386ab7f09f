import type {Scheduler} from '@basilworks/stand-ins';

import type {Arrival} from './arrivals.js';

/** What became of one request. */
export interface RequestRecord {
  readonly arrival: Arrival;
  outcome: 'open' | 'answered' | 'refused' | 'unanswered';
  /** Time that it waited for its adapter to load. */
  stallMs: number;
  endedMs: number;
}

/** Follows every request of a run, in the same way for every policy. */
export class Recorder {
  readonly records = new Map<string, RequestRecord>();
  loads = 0;
  /** Loads whose adapter was evicted or lost without a request. */
  wastedLoads = 0;
  private readonly unused = new Set<string>();

  constructor(private readonly scheduler: Scheduler) {}

  arrived(arrival: Arrival): void {
    this.records.set(arrival.requestId, {
      arrival,
      outcome: 'open',
      stallMs: 0,
      endedMs: 0,
    });
  }

  /** The adapter became ready for a request that found it absent. */
  stalled(requestId: string, stallMs: number): void {
    const record = this.records.get(requestId);
    if (record) {
      record.stallMs = Math.max(record.stallMs, stallMs);
    }
  }

  ended(requestId: string, outcome: RequestRecord['outcome']): void {
    const record = this.records.get(requestId);
    if (record?.outcome === 'open') {
      record.outcome = outcome;
      record.endedMs = this.scheduler.nowMs();
    }
  }

  loaded(server: string, key: string): void {
    this.loads += 1;
    this.unused.add(`${server}|${key}`);
  }

  used(server: string, key: string): void {
    this.unused.delete(`${server}|${key}`);
  }

  /** A restart emptied all slots of a server. */
  emptied(server: string): void {
    for (const unused of this.unused) {
      if (unused.startsWith(`${server}|`)) {
        this.unused.delete(unused);
        this.wastedLoads += 1;
      }
    }
  }

  evicted(server: string, key: string): void {
    if (this.unused.delete(`${server}|${key}`)) {
      this.wastedLoads += 1;
    }
  }
}
