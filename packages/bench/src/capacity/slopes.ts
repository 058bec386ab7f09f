import {linearRegression} from 'simple-statistics';

/** A figure that was measured at one value of a dimension. */
export interface Sample {
  readonly value: number;
  readonly figure: number;
}

/** The line through samples. */
export interface Slope {
  readonly perUnit: number;
  readonly atZero: number;
  /** The largest value that was measured; beyond it is extrapolated. */
  readonly measuredUpTo: number;
}

/** Fits a line through samples by least squares. */
export const fitSlope = (samples: readonly Sample[]): Slope => {
  const {m, b} = linearRegression(
    samples.map(({value, figure}) => [value, figure]),
  );
  return {
    perUnit: m,
    atZero: b,
    measuredUpTo: Math.max(...samples.map(({value}) => value)),
  };
};

/** The figure that the line gives at a value. */
export const extrapolate = ({perUnit, atZero}: Slope, value: number): number =>
  atZero + perUnit * value;
