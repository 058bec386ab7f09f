import xxhash from 'xxhash-wasm';

const hashes = await xxhash();

/** Values of a 32-bit hash. */
const HASH_RANGE = 2 ** 32;

/** Returns a hash of the text, evenly spread over 0 to 1, both excluded. */
export const hashFraction = (text: string): number =>
  (hashes.h32(text) + 0.5) / HASH_RANGE;

/** Returns a 64-bit digest of the text as 16 hexadecimal digits. */
export const contentDigest = (text: string): string => hashes.h64ToString(text);
