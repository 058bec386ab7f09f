import xxhash from 'xxhash-wasm';

const hashes = await xxhash();

/** Returns a 64-bit digest of the text as 16 hexadecimal digits. */
export const contentDigest = (text: string): string => hashes.h64ToString(text);
