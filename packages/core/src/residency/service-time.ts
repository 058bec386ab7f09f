import type {PriorityClass} from '../request.js';

/** Share of a new measurement in the mean and in the deviation. */
const GAIN = 0.05;

/** Measured time for which requests hold a batch position. */
export interface ServiceTime {
  meanMs: number;
  /** Mean absolute deviation from the mean. */
  deviationMs: number;
}

/** Service times by class. */
export type ServiceTimes = Record<PriorityClass, ServiceTime>;

/** Times that are assumed before the first measurement. */
export const initialServiceTimes = (): ServiceTimes => ({
  urgent: {meanMs: 1_500, deviationMs: 500},
  standard: {meanMs: 3_000, deviationMs: 1_000},
  deferrable: {meanMs: 10_000, deviationMs: 4_000},
});

/** Takes in one measurement. */
export const observeServiceTime = (
  time: ServiceTime,
  measuredMs: number,
): void => {
  const error = measuredMs - time.meanMs;
  time.meanMs += GAIN * error;
  time.deviationMs += GAIN * (Math.abs(error) - time.deviationMs);
};
