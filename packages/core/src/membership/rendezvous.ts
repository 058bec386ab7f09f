import {hashFraction} from '../lib/hash.js';

/** A candidate of a rendezvous hash and its share of the keys. */
export interface WeightedCandidate {
  readonly name: string;
  /** Relative share; candidates without weight are never chosen. */
  readonly weight: number;
}

/**
 * Returns the candidate with the highest score for the key. Candidates get
 * keys in proportion to their weights, and a candidate that comes or goes moves
 * only its own keys.
 */
export const chooseByRendezvous = (
  key: string,
  candidates: readonly WeightedCandidate[],
): string | undefined => {
  let best: string | undefined;
  let bestScore = 0;
  for (const {name, weight} of candidates) {
    const score = -weight / Math.log(hashFraction(`${key}\n${name}`));
    if (score > bestScore) {
      bestScore = score;
      best = name;
    }
  }
  return best;
};

/** Returns the names ordered by their scores for the key, highest first. */
export const rankByRendezvous = (
  key: string,
  names: readonly string[],
): readonly string[] =>
  names
    .map((name) => ({name, score: hashFraction(`${key}\n${name}`)}))
    .sort((first, second) => second.score - first.score)
    .map(({name}) => name);
