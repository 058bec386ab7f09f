import test from 'ava';

import {type EngineSpeed, simulateEngine} from './engine-simulation.js';

const SEEDS = [1, 2, 3, 4, 5];

const LOAD = {
  requestsPerS: 9,
  clump: 4,
  promptTokens: 1_250,
  events: 57,
  gapTargetMs: 250,
  firstEventTargetMs: 1_000,
  durationMs: 60_000,
};

/** Three chunks of 158 ms between two events exceed the target of 250 ms. */
const LARGE_CHUNKS: EngineSpeed = {
  stepMs: 8.7,
  tokensPerMs: 25.8,
  chunkTokens: 4_096,
  tokensPerEvent: 3,
};

/** Four chunks of 67 ms between two events can't exceed a target of 400 ms. */
const SMALL_CHUNKS: EngineSpeed = {
  stepMs: 7,
  tokensPerMs: 30.6,
  chunkTokens: 2_048,
  tokensPerEvent: 4,
};

// The load that the limit answers: prompts that arrive in clumps at an engine
// whose steps grow with them, so that all running streams stand still.
test('clumped prompts leave nine in ten streams without a long gap', (t) => {
  for (const seed of SEEDS) {
    const unlimited = simulateEngine(LARGE_CHUNKS, LOAD, false, seed);
    const limited = simulateEngine(LARGE_CHUNKS, LOAD, true, seed);
    const label = JSON.stringify({seed, unlimited, limited});
    t.true(unlimited.lateByGap > unlimited.streams * 0.2, label);
    t.true(limited.lateByGap < limited.streams * 0.1, label);
    t.true(limited.lateFirstEvent < limited.streams * 0.1, label);
  }
});

// A limit that was always in force delayed prompts on engines whose gaps could
// not exceed their target, and fewer answers were on time.
test('there is no limit where gaps stay clear of their target', (t) => {
  for (const seed of SEEDS) {
    const load = {...LOAD, gapTargetMs: 400, requestsPerS: 14};
    const limited = simulateEngine(SMALL_CHUNKS, load, true, seed);
    const unlimited = simulateEngine(SMALL_CHUNKS, load, false, seed);
    t.is(limited.limitMs, undefined);
    t.deepEqual(limited, unlimited);
  }
});
