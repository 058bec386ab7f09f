/**
 * Revisions of one era of the store. An era lasts until the store is restored
 * from an older copy, which gives out earlier revisions once more.
 */
const REVISIONS_PER_ERA = 2 ** 40;

/**
 * Returns a revision that is ordered over all eras: an era's are above those of
 * all earlier ones. Undefined if it can't be represented exactly.
 */
export const storeRevision = (
  era: number,
  counter: number,
): number | undefined => {
  const revision = era * REVISIONS_PER_ERA + counter;
  const valid =
    Number.isSafeInteger(era) &&
    era >= 0 &&
    counter >= 0 &&
    counter < REVISIONS_PER_ERA &&
    Number.isSafeInteger(revision);
  return valid ? revision : undefined;
};

/** The era of a revision. */
export const eraOf = (revision: number): number =>
  Math.floor(revision / REVISIONS_PER_ERA);

/** The revision within its era, as the store gave it out. */
export const counterOf = (revision: number): number =>
  revision % REVISIONS_PER_ERA;
