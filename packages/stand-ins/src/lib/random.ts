import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Returns a number from 0 up to, but not including, 1. */
export type Random = () => number;

/** A repeatable source of random numbers. */
export const seededRandom = (seed: number): Random => {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
};
