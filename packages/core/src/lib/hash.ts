/** Values of a 32-bit hash. */
const HASH_RANGE = 2 ** 32;

const PRIME_1 = 0x9e3779b1;
const PRIME_2 = 0x85ebca77;
const PRIME_3 = 0xc2b2ae3d;
const PRIME_4 = 0x27d4eb2f;
const PRIME_5 = 0x165667b1;

/** Bytes that the four lanes take together. */
const STRIPE_BYTES = 16;

const encoder = new TextEncoder();

/** Holds the bytes of the text being hashed; longer texts replace it. */
let buffer = new Uint8Array(512);

/** Returns a hash of the text, evenly spread over 0 to 1, both excluded. */
export const hashFraction = (text: string): number =>
  (hash32(text) + 0.5) / HASH_RANGE;

/** XXH32 of the text in UTF-8, with seed 0. */
export const hash32 = (text: string): number => {
  // A UTF-16 unit takes at most three bytes.
  if (buffer.length < text.length * 3) {
    buffer = new Uint8Array(text.length * 6);
  }
  const {written} = encoder.encodeInto(text, buffer);
  return finish(mix(buffer, written), buffer, written);
};

/** Hashes all whole stripes. */
const mix = (bytes: Uint8Array, length: number): number => {
  if (length < STRIPE_BYTES) {
    return PRIME_5;
  }
  let lane1 = (PRIME_1 + PRIME_2) | 0;
  let lane2 = PRIME_2 | 0;
  let lane3 = 0;
  let lane4 = -PRIME_1 | 0;
  for (let at = 0; at + STRIPE_BYTES <= length; at += STRIPE_BYTES) {
    lane1 = round(lane1, wordAt(bytes, at));
    lane2 = round(lane2, wordAt(bytes, at + 4));
    lane3 = round(lane3, wordAt(bytes, at + 8));
    lane4 = round(lane4, wordAt(bytes, at + 12));
  }
  return (
    (rotate(lane1, 1) +
      rotate(lane2, 7) +
      rotate(lane3, 12) +
      rotate(lane4, 18)) |
    0
  );
};

/** Adds the bytes behind the last whole stripe and spreads the bits. */
const finish = (mixed: number, bytes: Uint8Array, length: number): number => {
  let hash = (mixed + length) | 0;
  let at = length - (length % STRIPE_BYTES);
  for (; at + 4 <= length; at += 4) {
    hash = (hash + Math.imul(wordAt(bytes, at), PRIME_3)) | 0;
    hash = Math.imul(rotate(hash, 17), PRIME_4);
  }
  for (; at < length; at += 1) {
    hash = (hash + Math.imul(bytes[at] ?? 0, PRIME_5)) | 0;
    hash = Math.imul(rotate(hash, 11), PRIME_1);
  }
  hash = Math.imul(hash ^ (hash >>> 15), PRIME_2);
  hash = Math.imul(hash ^ (hash >>> 13), PRIME_3);
  return (hash ^ (hash >>> 16)) >>> 0;
};

const round = (lane: number, word: number): number =>
  Math.imul(rotate((lane + Math.imul(word, PRIME_2)) | 0, 13), PRIME_1);

const rotate = (value: number, bits: number): number =>
  (value << bits) | (value >>> (32 - bits));

const wordAt = (bytes: Uint8Array, at: number): number =>
  (bytes[at] ?? 0) |
  ((bytes[at + 1] ?? 0) << 8) |
  ((bytes[at + 2] ?? 0) << 16) |
  ((bytes[at + 3] ?? 0) << 24);
