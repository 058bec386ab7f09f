/** A callback that can be withdrawn before it runs. */
export interface ScheduledCallback {
  cancel(): void;
}

/**
 * Source of time for the models of outside systems: real time in the
 * stand-in processes, virtual time in tests and in the bench.
 */
export interface Scheduler {
  /** Milliseconds from an arbitrary origin; never falls. */
  nowMs(): number;
  /** Runs the callback once after the delay. */
  schedule(delayMs: number, callback: () => void): ScheduledCallback;
}

/** Real time. Pending callbacks do not keep the process alive. */
export class RealScheduler implements Scheduler {
  nowMs(): number {
    return performance.now();
  }

  schedule(delayMs: number, callback: () => void): ScheduledCallback {
    const timer = setTimeout(callback, delayMs);
    timer.unref();
    return {
      cancel: () => {
        clearTimeout(timer);
      },
    };
  }
}

interface Entry {
  readonly dueMs: number;
  readonly sequence: number;
  readonly callback: () => void;
  cancelled: boolean;
}

/**
 * Virtual time: callbacks run in order of their due time, then of their
 * scheduling, and time passes only between them.
 */
export class VirtualScheduler implements Scheduler {
  private readonly heap: Entry[] = [];
  private currentMs = 0;
  private sequence = 0;

  nowMs(): number {
    return this.currentMs;
  }

  schedule(delayMs: number, callback: () => void): ScheduledCallback {
    const entry: Entry = {
      dueMs: this.currentMs + Math.max(0, delayMs),
      sequence: this.sequence++,
      callback,
      cancelled: false,
    };
    this.push(entry);
    return {
      cancel: () => {
        entry.cancelled = true;
      },
    };
  }

  /** Runs everything due up to and including `untilMs`, then stands there. */
  runUntil(untilMs: number): void {
    for (
      let next = this.heap[0];
      next !== undefined && next.dueMs <= untilMs;
      next = this.heap[0]
    ) {
      this.pop();
      this.currentMs = next.dueMs;
      if (!next.cancelled) {
        next.callback();
      }
    }
    this.currentMs = Math.max(this.currentMs, untilMs);
  }

  private push(entry: Entry): void {
    const {heap} = this;
    heap.push(entry);
    let index = heap.length - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      const above = heap[parent];
      if (above === undefined || !isBefore(entry, above)) {
        break;
      }
      heap[index] = above;
      index = parent;
    }
    heap[index] = entry;
  }

  private pop(): void {
    const {heap} = this;
    const last = heap.pop();
    if (last === undefined || heap.length === 0) {
      return;
    }
    let index = 0;
    for (;;) {
      const left = heap[2 * index + 1];
      const right = heap[2 * index + 2];
      const useRight =
        right !== undefined && left !== undefined && isBefore(right, left);
      const child = useRight ? right : left;
      if (child === undefined || !isBefore(child, last)) {
        break;
      }
      heap[index] = child;
      index = 2 * index + (useRight ? 2 : 1);
    }
    heap[index] = last;
  }
}

const isBefore = (first: Entry, second: Entry): boolean =>
  first.dueMs === second.dueMs
    ? first.sequence < second.sequence
    : first.dueMs < second.dueMs;
