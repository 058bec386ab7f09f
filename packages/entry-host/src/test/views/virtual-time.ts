import {type TimerOptions, TimerService} from '@basilworks/daemon';

interface Entry {
  readonly dueMs: number;
  readonly serial: number;
  readonly run: () => void;
}

/** Time that passes only when a test lets it. */
export class VirtualTime {
  nowMs = 0;
  private entries: Entry[] = [];
  private serial = 0;

  /** Calls back after `delayMs`. */
  after(delayMs: number, run: () => void): void {
    const dueMs = this.nowMs + Math.max(0, delayMs);
    this.entries.push({dueMs, serial: (this.serial += 1), run});
  }

  sleep(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.after(delayMs, resolve);
    });
  }

  /** Runs all that is due until `untilMs`, in order. */
  async advance(untilMs: number): Promise<void> {
    await settled();
    for (;;) {
      const next = this.entries
        .filter(({dueMs}) => dueMs <= untilMs)
        .reduce<Entry | undefined>(
          (first, entry) =>
            first === undefined ||
            entry.dueMs < first.dueMs ||
            (entry.dueMs === first.dueMs && entry.serial < first.serial)
              ? entry
              : first,
          undefined,
        );
      if (next === undefined) {
        this.nowMs = untilMs;
        return;
      }
      this.entries = this.entries.filter((entry) => entry !== next);
      this.nowMs = Math.max(this.nowMs, next.dueMs);
      next.run();
      await settled();
    }
  }
}

/** Resolves when all promises that could go on have done so. */
const settled = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

/** Timers of one process on virtual time; they stand still while it does. */
export class VirtualTimers extends TimerService {
  private readonly current = new Map<string, object>();

  constructor(
    private readonly time: VirtualTime,
    /** Calls back now, when the process goes on, or never if it is gone. */
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
