import test from 'ava';
import fastCheck from 'fast-check';

import {type SimulationOptions, SlotsSimulation} from './slots-simulation.js';

const RELIABLE = {
  capacity: 3,
  loadMs: 250,
  random: () => 0.99,
  lostFraction: 0,
  lateFraction: 0,
};

/** A simulation with an issuing host, and the draws for its next orders. */
const simulationWithDraws = (options: Partial<SimulationOptions>) => {
  const draws: number[] = [];
  const random = () => draws.shift() ?? 0.99;
  const simulation = new SlotsSimulation({...RELIABLE, ...options, random});
  simulation.post({type: 'claim-changed', claim: 'issuing'});
  simulation.advance(100);
  return {simulation, draws};
};

test('loads a requested adapter and answers once it is resident', (t) => {
  const simulation = new SlotsSimulation(RELIABLE);
  simulation.post({type: 'claim-changed', claim: 'issuing'});
  simulation.prepare('r1', 'a1');
  simulation.advance(200);
  t.is(simulation.answers.get('r1'), undefined);
  simulation.advance(120);
  t.like(simulation.answers.get('r1'), {outcome: 'resident', version: 1});
});

test('coalesces requests for an adapter into one load', (t) => {
  const simulation = new SlotsSimulation(RELIABLE);
  simulation.post({type: 'claim-changed', claim: 'issuing'});
  for (let index = 0; index < 20; index += 1) {
    simulation.prepare(`r${index}`, 'a1', {host: `host-${index % 3}`});
  }
  simulation.advance(400);
  t.is(simulation.answers.size, 20);
  t.is(
    new Set(simulation.orders.map(({expectedOrders}) => expectedOrders)).size,
    2,
  );
});

test('refuses all requests without a claim', (t) => {
  const simulation = new SlotsSimulation(RELIABLE);
  simulation.prepare('r1', 'a1');
  t.like(simulation.answers.get('r1'), {
    outcome: 'refused',
    reason: 'not-issuer',
  });
  t.is(simulation.orders.length, 0);
});

test('grants leases on resident adapters until it may issue orders', (t) => {
  const simulation = new SlotsSimulation(RELIABLE);
  simulation.resident.set('a1', 1);
  simulation.post({type: 'claim-changed', claim: 'waiting'});
  simulation.advance(50);
  simulation.prepare('r1', 'a1');
  t.like(simulation.answers.get('r1'), {outcome: 'resident', version: 1});
  simulation.prepare('r2', 'a2');
  t.like(simulation.answers.get('r2'), {
    outcome: 'refused',
    reason: 'not-issuer',
  });
  t.is(simulation.orders.length, 0);
  simulation.post({type: 'claim-changed', claim: 'issuing'});
  simulation.prepare('r3', 'a2');
  simulation.advance(400);
  t.like(simulation.answers.get('r3'), {outcome: 'resident'});
});

test('grants no lease after losing the claim', (t) => {
  const simulation = new SlotsSimulation(RELIABLE);
  simulation.post({type: 'claim-changed', claim: 'issuing'});
  simulation.prepare('r1', 'a1');
  simulation.advance(400);
  simulation.post({type: 'claim-changed', claim: 'none'});
  simulation.prepare('r2', 'a1');
  t.like(simulation.answers.get('r2'), {
    outcome: 'refused',
    reason: 'not-issuer',
  });
});

test('never unloads an adapter that a host still references', (t) => {
  const simulation = new SlotsSimulation({...RELIABLE, capacity: 1});
  simulation.post({type: 'claim-changed', claim: 'issuing'});
  simulation.prepare('r1', 'a1');
  simulation.advance(400);
  simulation.inUse.add('a1');
  simulation.prepare('r2', 'a2');
  simulation.advance(3_000);
  t.is(simulation.answers.get('r2'), undefined);
  simulation.inUse.delete('a1');
  simulation.release('a1');
  simulation.advance(400);
  t.like(simulation.answers.get('r2'), {outcome: 'resident'});
  t.is(simulation.unloadedInUse, 0);
});

test('evicts the least used adapter', (t) => {
  const simulation = new SlotsSimulation({...RELIABLE, capacity: 2});
  simulation.post({type: 'claim-changed', claim: 'issuing'});
  simulation.prepare('r1', 'often');
  simulation.advance(400);
  for (let index = 0; index < 5; index += 1) {
    simulation.prepare(`often${index}`, 'often');
  }
  simulation.prepare('r2', 'seldom');
  simulation.advance(400);
  simulation.release('often');
  simulation.release('seldom');
  simulation.prepare('r3', 'new');
  simulation.advance(400);
  t.true(simulation.resident.has('often'));
  t.false(simulation.resident.has('seldom'));
});

test('keeps answering on time while demand exceeds the slots', (t) => {
  // Every request is for a new adapter, at three times the rate that the slots
  // can serve. Loading in order of arrival would make every answer late.
  const simulation = new SlotsSimulation({...RELIABLE, capacity: 4});
  simulation.post({type: 'claim-changed', claim: 'issuing'});
  simulation.advance(100);
  const USE_MS = 1_000;
  const TARGET_MS = 500;
  const requestedAt = new Map<string, number>();
  const inUseUntilMs = new Map<string, number>();
  let onTime = 0;
  const STEP_MS = 10;
  for (let nowMs = 0; nowMs < 8_000; nowMs += STEP_MS) {
    if (nowMs % 100 === 0) {
      const name = `a${nowMs}`;
      requestedAt.set(name, nowMs);
      simulation.prepare(name, name, {onTimeWithinMs: TARGET_MS});
    }
    simulation.advance(STEP_MS);
    for (const [name, answer] of simulation.answers) {
      simulation.answers.delete(name);
      if (answer.outcome === 'resident') {
        const waitedMs = nowMs + STEP_MS - (requestedAt.get(name) ?? 0);
        onTime += waitedMs <= TARGET_MS ? 1 : 0;
        inUseUntilMs.set(name, nowMs + USE_MS);
      }
    }
    for (const [name, untilMs] of inUseUntilMs) {
      if (untilMs <= nowMs) {
        inUseUntilMs.delete(name);
        simulation.release(name);
      }
    }
  }
  // A slot serves one adapter per load, use and unload.
  const possible = (8_000 / (250 + USE_MS + 50)) * 4;
  t.true(onTime >= possible * 0.75, `${onTime} of ${possible}`);
});

test('estimates the wait of a late request behind all waiting requests', (t) => {
  const simulation = new SlotsSimulation({...RELIABLE, capacity: 2});
  simulation.post({type: 'claim-changed', claim: 'issuing'});
  for (const name of ['a1', 'a2']) {
    simulation.prepare(name, name);
  }
  simulation.advance(400);
  for (let index = 0; index < 30; index += 1) {
    simulation.prepare(`late${index}`, `late${index}`, {onTimeWithinMs: 0});
  }
  // It goes before the late requests, but would be late itself by its turn.
  simulation.prepare('r1', 'r1', {onTimeWithinMs: 400, maximumWaitMs: 3_000});
  t.like(simulation.answers.get('r1'), {
    outcome: 'refused',
    reason: 'no-place',
  });
  t.is(simulation.answers.get('late0'), undefined);
});

test('continues at once when a repeated load is already complete', (t) => {
  const {simulation, draws} = simulationWithDraws({
    lostFraction: 0.2,
    checksStateFirst: true,
  });
  // The load is executed but not answered, and complete when repeated.
  draws.push(0.1);
  simulation.prepare('r1', 'a1');
  simulation.advance(310);
  t.like(simulation.answers.get('r1'), {outcome: 'resident'});
  simulation.prepare('r2', 'a2');
  simulation.advance(270);
  t.like(simulation.answers.get('r2'), {outcome: 'resident'});
});

test('loads for a lower priority first only if it is due clearly sooner', (t) => {
  const loadedFirst = (lowDueMs: number) => {
    const simulation = new SlotsSimulation({...RELIABLE, capacity: 1});
    simulation.post({type: 'claim-changed', claim: 'issuing'});
    simulation.prepare('first', 'first');
    simulation.advance(400);
    simulation.prepare('low', 'low', {onTimeWithinMs: lowDueMs, priority: 2});
    simulation.prepare('high', 'high', {onTimeWithinMs: 900, priority: 0});
    simulation.release('first');
    simulation.advance(200);
    return simulation.orders.findLast(({operation}) => operation === 'load')
      ?.adapter;
  };
  t.is(loadedFirst(850), 'high');
  t.is(loadedFirst(600), 'low');
});

test('replaces an adapter when a newer version is requested', (t) => {
  const simulation = new SlotsSimulation(RELIABLE);
  simulation.post({type: 'claim-changed', claim: 'issuing'});
  simulation.prepare('r1', 'a1');
  simulation.advance(400);
  simulation.prepare('r2', 'a1', {version: 2});
  t.is(simulation.answers.get('r2'), undefined);
  simulation.advance(400);
  t.like(simulation.answers.get('r2'), {outcome: 'resident', version: 2});
});

// Guards against an order each 12 ms for as long as a replacement waits for the
// requests that run on the version before.
test('asks less often the longer an order takes', (t) => {
  const simulation = new SlotsSimulation({...RELIABLE, loadMs: 5_000});
  simulation.post({type: 'claim-changed', claim: 'issuing'});
  simulation.prepare('r1', 'a1', {maximumWaitMs: 9_000});
  simulation.advance(5_500);
  t.like(simulation.answers.get('r1'), {outcome: 'resident'});
  t.true(simulation.orders.length < 100, `${simulation.orders.length} orders`);
});

test('refuses requests for a newer version while the older one is in use', (t) => {
  const simulation = new SlotsSimulation(RELIABLE);
  simulation.post({type: 'claim-changed', claim: 'issuing'});
  simulation.prepare('r1', 'a1');
  simulation.advance(400);
  // A host references it: replacing it has to wait for its requests to end.
  simulation.prepare('r2', 'a1', {version: 2, maximumWaitMs: 450});
  t.like(simulation.answers.get('r2'), {
    outcome: 'refused',
    reason: 'too-long',
  });
  simulation.release('a1');
  simulation.prepare('r3', 'a1', {version: 2, maximumWaitMs: 450});
  simulation.advance(400);
  t.like(simulation.answers.get('r3'), {outcome: 'resident', version: 2});
});

test('reads the report again after regaining the claim', (t) => {
  const simulation = new SlotsSimulation(RELIABLE);
  simulation.post({type: 'claim-changed', claim: 'issuing'});
  simulation.prepare('r1', 'a1');
  simulation.advance(400);
  simulation.post({type: 'claim-changed', claim: 'none'});
  simulation.resident.set('other', 1);
  simulation.resident.set('another', 1);
  simulation.post({type: 'claim-changed', claim: 'issuing'});
  simulation.advance(1_000);
  t.is(simulation.slots.taken(), 3);
});

test('repeats an unanswered order with the same order count', (t) => {
  const {simulation, draws} = simulationWithDraws({
    lostFraction: 0.2,
  });
  simulation.prepare('r1', 'a1');
  simulation.advance(400);
  draws.push(0.1);
  simulation.prepare('r2', 'a2');
  simulation.advance(900);
  t.like(simulation.answers.get('r2'), {outcome: 'resident'});
  const forSecond = simulation.orders.filter(({adapter}) => adapter === 'a2');
  t.is(forSecond[0]?.expectedOrders, forSecond[1]?.expectedOrders);
});

test('counts an order that may still be executed after a report', (t) => {
  const {simulation, draws} = simulationWithDraws({
    capacity: 1,
    lateFraction: 0.3,
  });
  // Not answered, and executed two seconds later, as is its copy.
  draws.push(0.1, 0, 0.1, 0);
  simulation.prepare('r1', 'a1');
  simulation.advance(400);
  simulation.post({type: 'prepare-cancelled', requestId: 'r1'});
  simulation.post({type: 'claim-changed', claim: 'none'});
  simulation.post({type: 'claim-changed', claim: 'issuing'});
  simulation.advance(100);
  t.is(simulation.slots.taken(), 1);
});

test('does not take a conflict of a repeated order as proof of execution', (t) => {
  const {simulation, draws} = simulationWithDraws({
    capacity: 1,
    lateFraction: 0.3,
  });
  // Not answered, and not yet executed when it is repeated.
  draws.push(0.1, 0.99);
  simulation.prepare('r1', 'a1');
  // An order of the former issuer is executed first, with the same count.
  simulation.scheduleFormerIssuerOrder('a2', 0);
  simulation.advance(5_000);
  t.is(simulation.overfilled, 0);
});

test('never overfills a server when orders are lost or executed late', (t) => {
  t.notThrows(() => {
    fastCheck.assert(
      fastCheck.property(
        fastCheck.integer({min: 1, max: 2 ** 31 - 1}),
        fastCheck.array(
          fastCheck.record({
            adapter: fastCheck.integer({min: 1, max: 9}),
            pauseMs: fastCheck.integer({min: 1, max: 900}),
            releases: fastCheck.boolean(),

            earlier: fastCheck.option(
              fastCheck.record({
                adapter: fastCheck.integer({min: 10, max: 12}),
                delayMs: fastCheck.integer({min: 1, max: 3_000}),
              }),
            ),
          }),
          {minLength: 5, maxLength: 60},
        ),
        fastCheck.integer({min: 0, max: 300}),
        (seed, steps, reportLagMs) => {
          let state = seed;
          const random = () => {
            state = (state * 48_271) % 2_147_483_647;
            return state / 2_147_483_647;
          };
          const simulation = new SlotsSimulation({
            capacity: 4,
            loadMs: 250,
            random,
            lostFraction: 0.1,
            lateFraction: 0.3,
            reportLagMs,
          });
          simulation.post({type: 'claim-changed', claim: 'issuing'});
          steps.forEach(({adapter, pauseMs, releases, earlier}, index) => {
            if (earlier !== null) {
              // Another host briefly held the claim.
              simulation.post({type: 'claim-changed', claim: 'none'});
              const {adapter: other, delayMs} = earlier;
              simulation.scheduleFormerIssuerOrder(`a${other}`, delayMs);
              simulation.post({type: 'claim-changed', claim: 'issuing'});
            }
            simulation.prepare(`r${index}`, `a${adapter}`);
            simulation.advance(pauseMs);
            if (releases) {
              for (let other = 1; other <= 12; other += 1) {
                simulation.release(`a${other}`);
              }
            }
          });
          simulation.advance(20_000);
          return simulation.overfilled === 0;
        },
      ),
      {numRuns: 300, seed: 20_261_204},
    );
  });
});
