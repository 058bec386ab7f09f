import type {Readiness} from '../readiness.js';
import type {TimerService} from '../timer-service.js';

/** How often a host that stops looks for work that has not ended. */
const CHECK_PERIOD_MS = 50;

/** What a planned stop waits for. */
export interface StopConditions {
  /** Work of callers and peers that has not ended on this host. */
  unfinished(): number;
  /** Closes the listeners once their last answers have been written. */
  drainListeners(): Promise<void>;
}

/**
 * The end of a planned stop. When the reducer has handed over everything, no
 * new request is taken any more; the process ends after the last answer.
 */
export class PlannedStop {
  private begun = false;

  constructor(
    private readonly timers: TimerService,
    private readonly readiness: Readiness,
    private readonly conditions: StopConditions,
    private readonly onStopped: () => void,
  ) {}

  /** Refuses new requests and ends when the present ones are over. */
  finish(): void {
    if (this.begun) {
      return;
    }
    this.begun = true;
    this.readiness.close();
    this.check();
  }

  private check(): void {
    if (this.conditions.unfinished() === 0) {
      void this.conditions.drainListeners().then(this.onStopped);
      return;
    }
    const check = () => {
      this.check();
    };
    const options = {keepAlive: true};
    this.timers.after('planned-stop', CHECK_PERIOD_MS, check, options);
  }
}
