import {hashFraction} from '../lib/hash.js';

/** A candidate of rendezvous hashing and its share of the keys. */
export interface WeightedCandidate {
  readonly name: string;
  /** Relative share; candidates of weight zero are never chosen. */
  readonly weight: number;
}

const scoreOf = (key: string, {name, weight}: WeightedCandidate): number =>
  -weight / Math.log(hashFraction(`${key}\n${name}`));

/**
 * Returns the candidate with the highest score for the key. Candidates get
 * keys in proportion to their weights, and adding or removing a candidate moves
 * only its own keys.
 */
export const chooseByRendezvous = (
  key: string,
  candidates: readonly WeightedCandidate[],
): string | undefined => {
  let best: string | undefined;
  let bestScore = 0;
  for (const candidate of candidates) {
    const score = scoreOf(key, candidate);
    if (score > bestScore) {
      bestScore = score;
      best = candidate.name;
    }
  }
  return best;
};

/**
 * Returns the names ordered by their scores for the key, highest first; each
 * comes first for a share of the keys in proportion to its weight. With equal
 * weights, the order is that of `rankByRendezvous`.
 */
export const rankByWeightedRendezvous = (
  key: string,
  candidates: readonly WeightedCandidate[],
): readonly string[] =>
  candidates
    .map((candidate) => ({
      name: candidate.name,
      score: scoreOf(key, candidate),
    }))
    .sort((first, second) => second.score - first.score)
    .map(({name}) => name);

/** Returns the names ordered by their scores for the key, highest first. */
export const rankByRendezvous = (
  key: string,
  names: readonly string[],
): readonly string[] =>
  names
    .map((name) => ({name, score: hashFraction(`${key}\n${name}`)}))
    .sort((first, second) => second.score - first.score)
    .map(({name}) => name);
