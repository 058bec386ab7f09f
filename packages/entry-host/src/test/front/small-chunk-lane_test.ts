import type {Socket} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';

import test from 'ava';

import {hasSmallChunks, SmallChunkLane} from '../../front/small-chunk-lane.js';

const TURNS = 12;

// Guards against a crowd of bodies in chunks of a byte that keep the event loop
// from all other work: each turn of it read them all.
test('one connection with small chunks is read in a turn', async (t) => {
  const lane = new SmallChunkLane();
  const reads: number[] = [];
  for (let index = 0; index < 4; index += 1) {
    const socket = {
      pause: () => undefined,
      resume: () => {
        reads.push(index);
        if (reads.length < TURNS) {
          setImmediate(() => {
            lane.add(socket);
          });
        }
      },
    } as unknown as Socket;
    lane.add(socket);
  }
  for (let turn = 1; turn <= TURNS; turn += 1) {
    await nextTurn();
    t.true(reads.length <= turn);
  }
  t.deepEqual(new Set(reads), new Set([0, 1, 2, 3]));
});

test('only bodies of many small chunks are held up', (t) => {
  t.false(hasSmallChunks(10, 10));
  t.false(hasSmallChunks(1_048_576, 16));
  t.false(hasSmallChunks(2_000 * 1_024, 2_000));
  t.true(hasSmallChunks(2_000, 2_000));
});
