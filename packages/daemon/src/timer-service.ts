/** Options of a subscription. */
export interface TimerOptions {
  /** Ends the subscription when it is aborted. */
  readonly signal?: AbortSignal;
  /** Whether the timer alone keeps the process alive; false by default. */
  readonly keepAlive?: boolean;
}

/** Longest delay that the runtime supports, ms; it fires longer ones at once. */
const MAXIMUM_DELAY_MS = 2 ** 31 - 1;

/**
 * The one source of delayed calls in the daemon. Parts subscribe under a name;
 * a second subscription with the same name replaces the first.
 */
export class TimerService {
  private readonly timers = new Map<string, NodeJS.Timeout>();

  /** Calls back once after `delayMs`. */
  after(
    name: string,
    delayMs: number,
    callback: () => void,
    options: TimerOptions = {},
  ): void {
    const fire = () => {
      this.timers.delete(name);
      callback();
    };
    const delay = Math.min(MAXIMUM_DELAY_MS, Math.max(0, delayMs));
    this.subscribe(name, setTimeout(fire, delay), options);
  }

  /** Calls back every `periodMs` until cancelled. */
  every(
    name: string,
    periodMs: number,
    callback: () => void,
    options: TimerOptions = {},
  ): void {
    this.subscribe(name, setInterval(callback, periodMs), options);
  }

  /** Ends a subscription; does nothing where there is none. */
  cancel(name: string): void {
    clearTimeout(this.timers.get(name));
    this.timers.delete(name);
  }

  /** Ends all subscriptions. */
  close(): void {
    for (const name of [...this.timers.keys()]) {
      this.cancel(name);
    }
  }

  private subscribe(
    name: string,
    timer: NodeJS.Timeout,
    {signal, keepAlive = false}: TimerOptions,
  ): void {
    this.cancel(name);
    this.timers.set(name, timer);
    if (!keepAlive) {
      timer.unref();
    }
    signal?.addEventListener(
      'abort',
      () => {
        if (this.timers.get(name) === timer) {
          this.cancel(name);
        }
      },
      {once: true},
    );
  }
}
