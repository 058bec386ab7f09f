import {
  AdapterVersions,
  type PrepareAnswer,
  type PrepareRequest,
  type Server,
} from '@basilworks/dispatch';
import test from 'ava';
import fc from 'fast-check';

import type {EntryHostContext} from '../../context.js';
import {VersionGuard} from '../../front/version-guard.js';
import {EntryHostMetrics} from '../../metrics.js';

const BOUND_MS = 5_000;
const NAME = {model: 'base', adapter: 'a1'};
const REFUSED: PrepareAnswer = {
  outcome: 'refused',
  reason: 'not-issuer',
  retryAfterMs: 0,
};

interface World {
  nowMs: number;
  /** Answers a request for a replacement. */
  prepare: (request: PrepareRequest) => Promise<PrepareAnswer>;
  /** Whether the view of versions is young enough. */
  isConfirmed: boolean;
}

const instant = (milliseconds: number) => ({
  monotonicMs: milliseconds,
  wallMs: milliseconds,
});

/** A guard on virtual time. */
const createGuard = () => {
  const world: World = {
    nowMs: 100_000,
    prepare: () => Promise.resolve(REFUSED),
    isConfirmed: true,
  };
  const timers = new Map<string, {atMs: number; callback: () => void}>();
  const requests: {atMs: number; version: number}[] = [];
  const confirmations: number[] = [];
  const versions = new AdapterVersions();
  const ignore = () => undefined;
  const context = {
    clock: {now: () => instant(world.nowMs)},
    timers: {
      after: (name: string, delayMs: number, callback: () => void) => {
        timers.set(name, {atMs: world.nowMs + delayMs, callback});
      },
    },
    settings: {host: 'h0', newsBounds: {adapterVersionMs: BOUND_MS}},
    logger: {debug: ignore, info: ignore, warn: ignore, error: ignore},
    metrics: new EntryHostMetrics(() => 0),
  } as unknown as EntryHostContext;
  const gate = {
    isConfirmed: () => world.isConfirmed,
    confirm: () => {
      confirmations.push(world.nowMs);
      return Promise.resolve(false);
    },
  };
  const guard = new VersionGuard(
    context,
    versions,
    gate,
    (_server, request) => {
      requests.push({atMs: world.nowMs, version: request.version});
      return world.prepare(request);
    },
  );
  /** Sends a request now; returns when it was withdrawn. */
  const send = (version: number | undefined, id = 's0') => {
    const outcome: {withdrawnMs: number | undefined} = {withdrawnMs: undefined};
    const server = {
      key: id,
      entry: {id, service: 'engines'},
      health: {inFlight: 1},
    } as unknown as Server;
    const end = guard.track({
      requestId: 'r',
      model: 'base/a1',
      version,
      server,
      priority: 1,
      withdraw: () => {
        outcome.withdrawnMs = world.nowMs;
      },
    });
    return {outcome, end};
  };
  /** Advances the time in steps, with the timers that fall due. */
  const advanceTo = async (untilMs: number) => {
    while (world.nowMs < untilMs) {
      world.nowMs += 10;
      for (const [name, {atMs, callback}] of [...timers]) {
        if (atMs <= world.nowMs) {
          timers.delete(name);
          callback();
        }
      }
      await Promise.resolve();
      await Promise.resolve();
    }
  };
  const announce = (version: number, learnedMs: number, afterMs: number) => {
    const record = {...NAME, version};
    versions.update([record], instant(learnedMs), instant(afterMs));
  };
  return {world, guard, send, advanceTo, announce, requests, confirmations};
};

// Guards against requests that begin on an outdated version after waiting at
// their server: nothing looked at them between their first byte and first event.
test('a server replaces the version for which a request waits', async (t) => {
  const {world, send, advanceTo, announce, requests} = createGuard();
  const startMs = world.nowMs;
  world.prepare = () => new Promise(() => undefined);
  const first = send(undefined);
  send(undefined);
  announce(2, startMs + 100, startMs);
  await advanceTo(startMs + 2_000);
  t.deepEqual(requests, [], 'requests may still begin in time');
  await advanceTo(startMs + 2_900);
  t.is(requests.length, 1, 'one for all that wait there');
  t.is(requests[0]?.version, 2);
  first.end();
  await advanceTo(startMs + BOUND_MS);
  t.is(first.outcome.withdrawnMs, undefined);
});

test('a request that still waits is withdrawn in time', async (t) => {
  const {world, send, advanceTo, announce, requests} = createGuard();
  const startMs = world.nowMs;
  const {outcome} = send(3);
  announce(4, startMs + 200, startMs);
  await advanceTo(startMs + BOUND_MS);
  t.true(requests.length > 3, 'the issuer is asked again while it refuses');
  const withdrawnMs = outcome.withdrawnMs ?? Infinity;
  t.true(withdrawnMs - startMs < BOUND_MS);
  t.true(withdrawnMs - startMs >= BOUND_MS - 500);
});

test('a failed issuer is asked again, and ends no process', async (t) => {
  const {world, send, advanceTo, announce, requests} = createGuard();
  const startMs = world.nowMs;
  world.prepare = () => Promise.reject(new Error('the issuer failed'));
  const {outcome} = send(1);
  announce(2, startMs, startMs);
  await advanceTo(startMs + BOUND_MS);
  t.true(requests.length > 3);
  t.not(outcome.withdrawnMs, undefined);
});

test('late news leave an order the time to refuse the request', async (t) => {
  const {world, send, advanceTo, announce, requests} = createGuard();
  const startMs = world.nowMs;
  const {outcome} = send(1);
  await advanceTo(startMs + 6_000);
  announce(2, startMs + 6_000, startMs);
  await advanceTo(startMs + 6_400);
  t.true(requests.length > 0);
  t.is(outcome.withdrawnMs, undefined);
  await advanceTo(startMs + 7_500);
  t.not(outcome.withdrawnMs, undefined);
});

// Guards against bounds that a series of versions begins anew.
test('a series of versions extends no bound', async (t) => {
  const {world, send, advanceTo, announce, requests} = createGuard();
  const startMs = world.nowMs;
  const {outcome} = send(1);
  for (let version = 2; version < 8; version += 1) {
    announce(version, world.nowMs, world.nowMs);
    await advanceTo(world.nowMs + 800);
  }
  t.true((outcome.withdrawnMs ?? Infinity) - startMs < BOUND_MS);
  t.true((requests.at(-1)?.version ?? 0) >= 6, 'the newest is asked for');
});

test('a request for another adapter or a base model is left alone', async (t) => {
  const {world, guard, send, advanceTo, announce, requests} = createGuard();
  const {outcome} = send(2);
  guard.track({
    requestId: 'r',
    model: 'base',
    version: undefined,
    server: {} as unknown as Server,
    priority: 1,
    withdraw: () => {
      t.fail();
    },
  });
  announce(2, world.nowMs, world.nowMs);
  await advanceTo(world.nowMs + 2 * BOUND_MS);
  t.is(outcome.withdrawnMs, undefined);
  t.deepEqual(requests, []);
});

// Guards against a bound that is kept when a request is sent but not when it
// begins: news that come late find it begun.
test('the view of versions is confirmed while requests wait', async (t) => {
  const {world, send, advanceTo, confirmations} = createGuard();
  world.isConfirmed = false;
  const startMs = world.nowMs;
  const {end} = send(1);
  await advanceTo(startMs + 900);
  t.deepEqual(confirmations, [], 'most requests begin within a second');
  await advanceTo(startMs + 1_500);
  t.true(confirmations.length > 0);
  end();
  const {length} = confirmations;
  await advanceTo(startMs + 5_000);
  t.true(confirmations.length <= length + 1, 'no request, no review');
});

test('no request waits beyond the bound, whatever issuers answer', async (t) => {
  const property = fc.asyncProperty(
    fc.array(fc.integer({min: 0, max: 9_000}), {minLength: 1, maxLength: 12}),
    fc.array(fc.integer({min: 100, max: 3_000}), {minLength: 1, maxLength: 6}),
    fc.integer({min: 0, max: 2_500}),
    fc.constantFrom('pending', 'refused', 'resident'),
    async (sentMs, gapsMs, lagMs, issuer) => {
      const {world, send, advanceTo, announce} = createGuard();
      const startMs = world.nowMs;
      const answers: Record<string, () => Promise<PrepareAnswer>> = {
        pending: () => new Promise(() => undefined),
        refused: () => Promise.resolve(REFUSED),
        resident: () =>
          Promise.resolve({outcome: 'resident', version: 99, validMs: 0}),
      };
      world.prepare = answers[issuer] ?? world.prepare;
      const announcedMs: number[] = [];
      let atMs = startMs;
      for (const gapMs of gapsMs) {
        atMs += gapMs;
        announcedMs.push(atMs);
      }
      const sends = sentMs.map((offsetMs, index) => ({
        atMs: startMs + offsetMs,
        id: `s${index % 3}`,
        known: 0,
        outcome: undefined as ReturnType<typeof send>['outcome'] | undefined,
      }));
      const steps = [
        ...sends.map((each) => ({
          atMs: each.atMs,
          run: () => {
            each.known = announcedMs.filter(
              (ms) => ms + lagMs <= world.nowMs,
            ).length;
            each.outcome = send(1 + each.known, each.id).outcome;
          },
        })),
        ...announcedMs.map((ms, index) => ({
          atMs: ms + lagMs,
          run: () => {
            announce(2 + index, world.nowMs, ms);
          },
        })),
      ].sort((left, right) => left.atMs - right.atMs);
      for (const step of steps) {
        await advanceTo(step.atMs);
        step.run();
      }
      await advanceTo(world.nowMs + 2 * BOUND_MS);
      for (const {known, outcome} of sends) {
        const newerMs = announcedMs[known];
        const latestMs = (newerMs ?? Infinity) + BOUND_MS;
        if (newerMs === undefined) {
          t.is(outcome?.withdrawnMs, undefined);
        } else {
          t.true((outcome?.withdrawnMs ?? Infinity) < latestMs);
        }
      }
    },
  );
  await fc.assert(property, {seed: 49, numRuns: 60});
});
