import {setMaxListeners} from 'node:events';

import test from 'ava';
import fc from 'fast-check';

import {ViewGate} from '../../store/index.js';
import {VirtualTime, VirtualTimers} from '../views/virtual-time.js';

interface Read {
  readonly beganMs: number;
  /** Ends it; what it shows was current when it began. */
  readonly end: (succeeded: boolean) => Promise<void>;
}

/** A gate that only a read which begins after a question passes. */
const createGate = (
  refreshIntervalMs = 0,
  maximumAgeMs = 0,
  responseMs = 4,
) => {
  const time = new VirtualTime();
  const reads: Read[] = [];
  let freshMs = -10_000;
  const {signal} = new AbortController();
  setMaxListeners(0, signal);
  const now = () => ({monotonicMs: time.nowMs, wallMs: time.nowMs});
  const gate = new ViewGate(
    {
      clock: {now},
      timers: new VirtualTimers(time, (run) => {
        run();
      }),
      signal,
    },
    {
      ageMs: () => time.nowMs - freshMs,
      maximumAgeMs: () => maximumAgeMs,
      refreshIntervalMs,
    },
    {
      refresh: () =>
        new Promise((resolve) => {
          const beganMs = time.nowMs;
          const end = async (succeeded: boolean) => {
            freshMs = succeeded ? beganMs : freshMs;
            resolve(succeeded);
            await time.advance(time.nowMs);
          };
          reads.push({beganMs, end});
        }),
      failingMs: () => 0,
      responseMs: () => responseMs,
    },
  );
  const pass = (ms: number) => time.advance(time.nowMs + ms);
  const ask = () => gate.confirm(now());
  return {time, reads, pass, ask};
};

// Guards against streams that are refused when many callers take them up at one
// moment: of the questions that waited for the same read only one was answered.
test('all questions that arrive during a read are answered by the next one', async (t) => {
  const {reads, pass, ask} = createGate();
  await pass(1_000);
  const answers = [ask()];
  for (let index = 0; index < 20; index += 1) {
    await pass(0.1);
    answers.push(ask());
  }
  await pass(1);
  await reads[0]?.end(true);
  t.is(reads.length, 2, 'one more read for all that it can not answer');
  await pass(4);
  await reads[1]?.end(true);
  t.deepEqual(
    await Promise.all(answers),
    answers.map(() => true),
  );
});

// The store may lose one answer while many wait for it.
test('all questions that arrive during a failing read are answered by the next one', async (t) => {
  const {reads, pass, ask} = createGate();
  await pass(1_000);
  const first = ask();
  await pass(1);
  const answers = Array.from({length: 20}, ask);
  await pass(1);
  await reads[0]?.end(false);
  t.is(reads.length, 2);
  await pass(4);
  await reads[1]?.end(true);
  await first;
  t.deepEqual(
    await Promise.all(answers),
    answers.map(() => true),
  );
});

// Reads that began long ago confirm nothing within a bound either.
test('questions within a bound share the read after an old one', async (t) => {
  const {reads, pass, ask} = createGate(500, 100);
  await pass(1_000);
  void ask();
  await pass(450);
  const answers = Array.from({length: 20}, ask);
  await pass(60);
  await reads[0]?.end(true);
  t.is(reads.length, 2);
  await pass(4);
  await reads[1]?.end(true);
  t.deepEqual(
    await Promise.all(answers),
    answers.map(() => true),
  );
});

test('a read that is not answered holds nothing for longer than one wait', async (t) => {
  const {reads, pass, ask} = createGate();
  await pass(1_000);
  const answers = [ask()];
  await pass(1);
  answers.push(ask());
  await pass(300);
  t.is(reads.length, 1);
  t.deepEqual(await Promise.all(answers), [false, false]);
});

test('a question that fails is not asked of the store over and over', async (t) => {
  const {reads, pass, ask} = createGate();
  await pass(1_000);
  const answer = ask();
  for (let index = 0; index < 5; index += 1) {
    await pass(1);
    await reads[index]?.end(false);
  }
  t.false(await answer);
  t.true(reads.length <= 2);
});

// Whatever the moments at which callers come and reads end.
test('a store that answers confirms every question within two reads', async (t) => {
  const property = fc.asyncProperty(
    fc.integer({min: 1, max: 900}),
    fc.array(fc.double({min: 0, max: 3, noNaN: true}), {
      minLength: 1,
      maxLength: 40,
    }),
    fc.array(fc.double({min: 0.01, max: 1, noNaN: true}), {
      minLength: 1,
      maxLength: 10,
    }),
    async (responseMs, arrivals, shares) => {
      const {time, reads, ask} = createGate(0, 0, responseMs);
      const startMs = 1_000;
      const answers: Promise<{confirmed: boolean; waitedMs: number}>[] = [];
      const limitMs = 2 * responseMs + 1;
      for (const arrival of arrivals) {
        time.after(startMs + arrival * responseMs, () => {
          const askedMs = time.nowMs;
          answers.push(
            ask().then((confirmed) => ({
              confirmed,
              waitedMs: time.nowMs - askedMs,
            })),
          );
        });
      }
      // Ends each read after its share of the response time.
      const endMs = startMs + 10 * responseMs;
      let ended = 0;
      let dueMs = Infinity;
      while (time.nowMs < endMs) {
        await time.advance(time.nowMs + responseMs / 50);
        const reading = reads.length - ended;
        t.true(reading <= 1, 'one read at a time');
        if (reading === 1 && dueMs === Infinity) {
          const share = shares[ended % shares.length] ?? 1;
          dueMs = (reads[ended]?.beganMs ?? 0) + 0.9 * share * responseMs;
        }
        if (time.nowMs >= dueMs) {
          dueMs = Infinity;
          await reads[ended]?.end(true);
          ended += 1;
        }
      }
      for (const {confirmed, waitedMs} of await Promise.all(answers)) {
        t.true(confirmed);
        t.true(waitedMs <= limitMs, `${waitedMs} of ${limitMs} ms`);
      }
    },
  );
  await fc.assert(property, {seed: 6, numRuns: 100});
});
