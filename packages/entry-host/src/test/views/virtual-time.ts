import {type TimerOptions, TimerService} from '@basilworks/daemon';

interface ScheduledCallback {
  readonly dueMs: number;
  readonly serial: number;
  readonly run: () => void;
}

/** A clock that advances only when a test tells it to. */
export class VirtualTime {
  nowMs = 0;
  /** Binary heap ordered by due time, then by serial number. */
  private readonly heap: ScheduledCallback[] = [];
  private serial = 0;

  /** Schedules a callback after `delayMs`. */
  after(delayMs: number, run: () => void): void {
    const dueMs = this.nowMs + Math.max(0, delayMs);
    this.push({dueMs, serial: (this.serial += 1), run});
  }

  sleep(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.after(delayMs, resolve);
    });
  }

  /** Runs all callbacks due until `untilMs`, in order of their due times. */
  async advance(untilMs: number): Promise<void> {
    await drainMicrotasks();
    for (;;) {
      const [next] = this.heap;
      if (next === undefined || next.dueMs > untilMs) {
        this.nowMs = untilMs;
        return;
      }
      this.pop();
      this.nowMs = Math.max(this.nowMs, next.dueMs);
      next.run();
      await drainMicrotasks();
    }
  }

  private push(entry: ScheduledCallback): void {
    const {heap} = this;
    let index = heap.push(entry) - 1;
    for (;;) {
      const parent = Math.floor((index - 1) / 2);
      if (index === 0 || !this.swapIfEarlier(index, parent)) {
        return;
      }
      index = parent;
    }
  }

  private pop(): void {
    const {heap} = this;
    const last = heap.pop();
    if (last === undefined || heap.length === 0) {
      return;
    }
    heap[0] = last;
    let index = 0;
    for (;;) {
      const left = 2 * index + 1;
      const child = isEarlier(heap[left + 1], heap[left]) ? left + 1 : left;
      if (!this.swapIfEarlier(child, index)) {
        return;
      }
      index = child;
    }
  }

  /** Swaps two heap entries if the lower one is due before the upper one. */
  private swapIfEarlier(lower: number, upper: number): boolean {
    const {heap} = this;
    const [first, second] = [heap[lower], heap[upper]];
    if (!isEarlier(first, second) || !first || !second) {
      return false;
    }
    heap[lower] = second;
    heap[upper] = first;
    return true;
  }
}

/** Whether an entry is due before another; a missing entry never is. */
const isEarlier = (
  first: ScheduledCallback | undefined,
  second: ScheduledCallback | undefined,
) =>
  first !== undefined &&
  (second === undefined ||
    first.dueMs < second.dueMs ||
    (first.dueMs === second.dueMs && first.serial < second.serial));

/** Resolves when all pending promise continuations have run. */
const drainMicrotasks = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

/** Timers of one process on virtual time, paused while the process is. */
export class VirtualTimers extends TimerService {
  private readonly current = new Map<string, object>();

  constructor(
    private readonly time: VirtualTime,
    /** Runs a callback now, or after the pause; never if the process ended. */
    private readonly whenRunning: (run: () => void) => void,
  ) {
    super();
  }

  override after(
    name: string,
    delayMs: number,
    callback: () => void,
    {signal}: TimerOptions = {},
  ): void {
    const token = {};
    this.current.set(name, token);
    this.time.after(delayMs, () => {
      this.whenRunning(() => {
        if (this.current.get(name) === token && signal?.aborted !== true) {
          this.current.delete(name);
          callback();
        }
      });
    });
  }

  override every(
    name: string,
    periodMs: number,
    callback: () => void,
    options: TimerOptions = {},
  ): void {
    this.after(
      name,
      periodMs,
      () => {
        this.every(name, periodMs, callback, options);
        callback();
      },
      options,
    );
  }

  override cancel(name: string): void {
    this.current.delete(name);
  }

  override close(): void {
    this.current.clear();
  }
}
