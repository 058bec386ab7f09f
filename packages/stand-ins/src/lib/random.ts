import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Returns a number from 0 up to, but not including, 1. */
export type Random = () => number;

/** Numbers that are left out, as those of neighbouring seeds are alike. */
const DISCARDED_NUMBERS = 32;

/** A repeatable source of random numbers. */
export const seededRandom = (seed: number): Random => {
  const generator = xoroshiro128plus(seed);
  for (let index = 0; index < DISCARDED_NUMBERS; index++) {
    generator.next();
  }
  return () => uniformFloat64(generator);
};
