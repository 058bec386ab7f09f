import type {TimerService} from '@basilworks/daemon';

let serial = 0;

/** Resolves after `delayMs`, or when the signal is aborted. */
export const sleep = (
  timers: TimerService,
  delayMs: number,
  signal: AbortSignal,
): Promise<void> =>
  new Promise((resolve) => {
    if (signal.aborted) {
      resolve();
      return;
    }
    const name = `sleep/${(serial += 1)}`;
    const finish = () => {
      timers.cancel(name);
      signal.removeEventListener('abort', finish);
      resolve();
    };
    timers.after(name, delayMs, finish);
    signal.addEventListener('abort', finish, {once: true});
  });
