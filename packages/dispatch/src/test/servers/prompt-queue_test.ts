import test from 'ava';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

import {PromptQueue} from '../../index.js';

const at = (ms: number) => ({monotonicMs: ms, wallMs: ms});
const prompt = (id: string, tokens: number, priority = 0) => ({
  id,
  tokens,
  priority,
});
const ids = (prompts: readonly {readonly id: string}[]) =>
  prompts.map(({id}) => id);

const queueOf = (eventGapMs = 250): PromptQueue => {
  const queue = new PromptQueue();
  queue.keepGap(eventGapMs);
  return queue;
};

test('prompts that together stay within a pause go together', (t) => {
  const queue = queueOf();
  queue.add(prompt('a', 1_500));
  queue.add(prompt('b', 1_500));
  queue.add(prompt('c', 2_000));
  t.deepEqual(ids(queue.take(at(0))), ['a', 'b']);
  t.deepEqual(queue.take(at(100)), []);
  t.is(queue.nextMs(at(100)), 150);
  t.deepEqual(ids(queue.take(at(250))), ['c']);
  t.is(queue.nextMs(at(250)), undefined);
});

// Reviews of thousands of tokens waited until nothing else had been sent, and
// were late by that wait alone.
test('a prompt larger than any pause waits for half of the room only', (t) => {
  const queue = queueOf();
  queue.add(prompt('small', 2_000));
  queue.add(prompt('large', 30_000));
  t.deepEqual(ids(queue.take(at(0))), ['small', 'large']);
  queue.add(prompt('next', 100));
  t.deepEqual(queue.take(at(1_000)), []);
  t.deepEqual(ids(queue.take(at(1_500))), ['next']);
});

test('a large prompt waits while the streams have little time left', (t) => {
  const queue = queueOf();
  queue.add(prompt('first', 3_000));
  queue.add(prompt('large', 30_000));
  t.deepEqual(ids(queue.take(at(0))), ['first']);
  t.deepEqual(ids(queue.take(at(250))), ['large']);
});

test('a more urgent prompt goes first', (t) => {
  const queue = queueOf();
  queue.add(prompt('first', 4_000));
  queue.take(at(0));
  queue.add(prompt('later', 4_000, 1));
  queue.add(prompt('urgent', 4_000, 0));
  t.true(queue.expectedWaitMs(1) > queue.expectedWaitMs(0));
  t.deepEqual(ids(queue.take(at(300))), ['urgent']);
});

test('a prompt that waits no longer holds no other up', (t) => {
  const queue = queueOf();
  queue.add(prompt('first', 4_000));
  queue.take(at(0));
  queue.add(prompt('left', 4_000));
  queue.add(prompt('next', 4_000));
  queue.withdraw('left');
  t.deepEqual(ids(queue.take(at(300))), ['next']);
});

test('a fast server is given more at a time, a slow one less', (t) => {
  const sentAtOnce = (tookMs: number) => {
    const queue = queueOf();
    for (let index = 0; index < 100; index += 1) {
      const id = `p${index}`;
      queue.add(prompt(id, 1_000));
      queue.take(at(index * 1_000));
      queue.read(id, tookMs);
    }
    for (let index = 0; index < 100; index += 1) {
      queue.add(prompt(`q${index}`, 500));
    }
    return queue.take(at(200_000)).length;
  };
  t.true(sentAtOnce(20) > sentAtOnce(50));
  t.true(sentAtOnce(50) > sentAtOnce(200));
});

/**
 * The pattern: requests come in clumps, and a server reads all prompts that it
 * has got before its streams go on, so that one clump makes all of them late.
 */
const READS_TOKENS_PER_MS = 25;
const STEP_MS = 10;
const STEPS_OF_EVENT = 3;
const EVENT_GAP_MS = 250;
const CHUNK_TOKENS = 4_096;

const EVENTS_OF_STREAM = 57;
const FIRST_EVENT_MS = 1_000;

/** Wait after which a prompt goes in any case. */
const LONGEST_WAIT_MS = 450;

/** Plays clumped arrivals; returns the share of streams that are late. */
const play = (seed: number, paced: boolean): number => {
  const generator = xoroshiro128plus(seed);
  const random = () => uniformFloat64(generator);
  const queue = queueOf(EVENT_GAP_MS);
  let unread: {id: string; left: number}[] = [];
  let nextMs = 0;
  const tokensOf = new Map<string, number>();
  const waiting = new Map<string, number>();
  const addedAt = new Map<string, number>();
  const sentAt = new Map<string, number>();
  const steps: number[] = [];
  const streams: {firstStep: number; waitedMs: number}[] = [];
  for (let ms = 0; ms < 60_000;) {
    while (nextMs <= ms) {
      const clump = random() < 0.25 ? 5 : 1;
      for (let index = 0; index < clump; index += 1) {
        const id = `p${addedAt.size}`;
        const tokens = 200 + Math.floor(random() * 2_400);
        addedAt.set(id, ms);
        tokensOf.set(id, tokens);
        waiting.set(id, ms);
        queue.add(prompt(id, tokens));
      }
      nextMs += random() * 640;
    }
    const due = paced
      ? [
          ...ids(queue.take(at(ms))),
          ...[...waiting]
            .filter(([, since]) => ms - since > LONGEST_WAIT_MS)
            .map(([id]) => id),
        ]
      : [...waiting.keys()];
    for (const id of due) {
      if (waiting.delete(id)) {
        queue.withdraw(id);
        sentAt.set(id, ms);
        unread.push({id, left: tokensOf.get(id) ?? 0});
      }
    }
    let room = CHUNK_TOKENS;
    for (const each of unread) {
      const read = Math.min(room, each.left);
      each.left -= read;
      room -= read;
    }
    const stepMs = STEP_MS + (CHUNK_TOKENS - room) / READS_TOKENS_PER_MS;
    ms += stepMs;
    steps.push(stepMs);
    for (const {id, left} of unread) {
      if (left === 0) {
        queue.read(id, ms - (sentAt.get(id) ?? ms));
        const waitedMs = ms - (addedAt.get(id) ?? ms);
        streams.push({firstStep: steps.length, waitedMs});
      }
    }
    unread = unread.filter(({left}) => left > 0);
  }
  const late = streams.filter(
    ({firstStep, waitedMs}) =>
      waitedMs > FIRST_EVENT_MS ||
      Array.from({length: EVENTS_OF_STREAM}, (_unused, event) =>
        steps
          .slice(
            firstStep + event * STEPS_OF_EVENT,
            firstStep + (event + 1) * STEPS_OF_EVENT,
          )
          .reduce((sum, each) => sum + each, 0),
      ).some((gapMs) => gapMs > EVENT_GAP_MS),
  );
  return late.length / streams.length;
};

for (const seed of [1, 2, 3, 4, 5]) {
  test(`prompts that arrive in clumps do not make streams late (seed ${seed})`, (t) => {
    const together = play(seed, false);
    const paced = play(seed, true);
    t.log({together, paced});
    t.true(paced <= together * 0.6);
  });
}
