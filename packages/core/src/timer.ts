import type {AreaName} from './area.js';

/** Subscribes to one call of the timer service; replaces an equal name. */
export interface SetTimerEffect {
  readonly type: 'set-timer';
  readonly area: AreaName;
  readonly timer: string;
  readonly delayMs: number;
}

export interface CancelTimerEffect {
  readonly type: 'cancel-timer';
  readonly area: AreaName;
  readonly timer: string;
}

/** A timer that `set-timer` subscribed to is due. */
export interface TimerFiredEvent {
  readonly type: 'timer-fired';
  readonly area: AreaName;
  readonly timer: string;
}
