import type {DaemonContext} from '../context.js';
import type {RunnersOf} from '../runner-table.js';

/** Timers of the reducer's areas, named `<area>/<timer>`. */
export const createTimerRunners = ({
  timers,
  loop,
}: DaemonContext): RunnersOf<'set-timer' | 'cancel-timer'> => ({
  'set-timer': ({area, timer, delayMs}) => {
    timers.after(`${area}/${timer}`, delayMs, () => {
      loop.post({type: 'timer-fired', area, timer});
    });
  },
  'cancel-timer': ({area, timer}) => {
    timers.cancel(`${area}/${timer}`);
  },
});
