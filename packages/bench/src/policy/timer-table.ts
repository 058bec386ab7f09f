import type {CoreEvent, Effect} from '@basilworks/core';
import type {ScheduledCallback, Scheduler} from '@basilworks/stand-ins';

/** The timer service of the reducer on virtual time. */
export class TimerTable {
  private readonly timers = new Map<string, ScheduledCallback>();

  constructor(
    private readonly scheduler: Scheduler,
    private readonly handle: (event: CoreEvent) => void,
  ) {}

  /** Runs a timer effect; returns false for any other. */
  run(effect: Effect): boolean {
    if (effect.type !== 'set-timer' && effect.type !== 'cancel-timer') {
      return false;
    }
    const {area, timer} = effect;
    const key = `${area}/${timer}`;
    this.timers.get(key)?.cancel();
    this.timers.delete(key);
    if (effect.type === 'set-timer') {
      const callback = this.scheduler.schedule(effect.delayMs, () => {
        this.timers.delete(key);
        this.handle({type: 'timer-fired', area, timer});
      });
      this.timers.set(key, callback);
    }
    return true;
  }
}
