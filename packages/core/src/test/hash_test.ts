import test from 'ava';
import fc from 'fast-check';
import xxhash from 'xxhash-wasm';

import {hash32, hashFraction} from '../lib/hash.js';

// Hosts of different builds have to agree on where an adapter belongs.
test('hashes are those of XXH32', async (t) => {
  const hashes = await xxhash();
  fc.assert(
    fc.property(
      fc.oneof(
        fc.string({unit: 'binary', maxLength: 80}),
        fc.string({unit: 'grapheme', minLength: 400, maxLength: 700}),
      ),
      (text) => hash32(text) === hashes.h32(text),
    ),
    {numRuns: 2_000, seed: 21},
  );
  t.is(hash32(''), 0x02cc5d05);
  t.is(hashFraction('a'), (hashes.h32('a') + 0.5) / 2 ** 32);
});
