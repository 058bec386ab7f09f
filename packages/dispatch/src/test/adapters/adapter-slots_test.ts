import test from 'ava';
import fastCheck from 'fast-check';

import {SlotsSimulation, type WorldOptions} from './slots-simulation.js';

const calm = {capacity: 3, loadMs: 250, random: () => 0.99, lost: 0, late: 0};

/** A world whose issuer may issue, and the lucks of its next orders. */
const worldWithLucks = (options: Partial<WorldOptions>) => {
  const lucks: number[] = [];
  const random = () => lucks.shift() ?? 0.99;
  const world = new SlotsSimulation({...calm, ...options, random});
  world.post({type: 'claim-changed', claim: 'issuing'});
  world.advance(100);
  return {world, lucks};
};

test('loads an adapter that is wanted and answers when it is resident', (t) => {
  const world = new SlotsSimulation(calm);
  world.post({type: 'claim-changed', claim: 'issuing'});
  world.prepare('r1', 'a1');
  world.advance(200);
  t.is(world.answers.get('r1'), undefined);
  world.advance(120);
  t.like(world.answers.get('r1'), {outcome: 'resident', version: 1});
});

test('joins requests for an adapter into one load', (t) => {
  const world = new SlotsSimulation(calm);
  world.post({type: 'claim-changed', claim: 'issuing'});
  for (let index = 0; index < 20; index += 1) {
    world.prepare(`r${index}`, 'a1', {host: `host-${index % 3}`});
  }
  world.advance(400);
  t.is(world.answers.size, 20);
  t.is(new Set(world.orders.map(({expectedOrders}) => expectedOrders)).size, 2);
});

test('refuses everything while it may not issue orders', (t) => {
  const world = new SlotsSimulation(calm);
  world.prepare('r1', 'a1');
  t.like(world.answers.get('r1'), {outcome: 'refused', reason: 'not-issuer'});
  t.is(world.orders.length, 0);
});

test('answers for what the server holds until it may issue orders', (t) => {
  const world = new SlotsSimulation(calm);
  world.resident.set('a1', 1);
  world.post({type: 'claim-changed', claim: 'waiting'});
  world.advance(50);
  world.prepare('r1', 'a1');
  t.like(world.answers.get('r1'), {outcome: 'resident', version: 1});
  world.prepare('r2', 'a2');
  t.like(world.answers.get('r2'), {outcome: 'refused', reason: 'not-issuer'});
  t.is(world.orders.length, 0);
  world.post({type: 'claim-changed', claim: 'issuing'});
  world.prepare('r3', 'a2');
  world.advance(400);
  t.like(world.answers.get('r3'), {outcome: 'resident'});
});

test('promises nothing once the claim is gone', (t) => {
  const world = new SlotsSimulation(calm);
  world.post({type: 'claim-changed', claim: 'issuing'});
  world.prepare('r1', 'a1');
  world.advance(400);
  world.post({type: 'claim-changed', claim: 'none'});
  world.prepare('r2', 'a1');
  t.like(world.answers.get('r2'), {outcome: 'refused', reason: 'not-issuer'});
});

test('never unloads an adapter that a host has not released', (t) => {
  const world = new SlotsSimulation({...calm, capacity: 1});
  world.post({type: 'claim-changed', claim: 'issuing'});
  world.prepare('r1', 'a1');
  world.advance(400);
  world.inUse.add('a1');
  world.prepare('r2', 'a2');
  world.advance(3_000);
  t.is(world.answers.get('r2'), undefined);
  world.inUse.delete('a1');
  world.release('a1');
  world.advance(400);
  t.like(world.answers.get('r2'), {outcome: 'resident'});
  t.is(world.unloadedInUse, 0);
});

test('evicts the adapter that is used least', (t) => {
  const world = new SlotsSimulation({...calm, capacity: 2});
  world.post({type: 'claim-changed', claim: 'issuing'});
  world.prepare('r1', 'often');
  world.advance(400);
  for (let index = 0; index < 5; index += 1) {
    world.prepare(`often${index}`, 'often');
  }
  world.prepare('r2', 'seldom');
  world.advance(400);
  world.release('often');
  world.release('seldom');
  world.prepare('r3', 'new');
  world.advance(400);
  t.true(world.resident.has('often'));
  t.false(world.resident.has('seldom'));
});

test('goes on answering on time while more is asked for than fits', (t) => {
  // The pattern: rare adapters at three times the rate of the places.
  const world = new SlotsSimulation({...calm, capacity: 4});
  world.post({type: 'claim-changed', claim: 'issuing'});
  world.advance(100);
  const USE_MS = 1_000;
  const AIM_MS = 500;
  const askedAt = new Map<string, number>();
  const busy = new Map<string, number>();
  let onTime = 0;
  const STEP_MS = 10;
  for (let nowMs = 0; nowMs < 8_000; nowMs += STEP_MS) {
    if (nowMs % 100 === 0) {
      const name = `a${nowMs}`;
      askedAt.set(name, nowMs);
      world.prepare(name, name, {onTimeWithinMs: AIM_MS});
    }
    world.advance(STEP_MS);
    for (const [name, answer] of world.answers) {
      world.answers.delete(name);
      if (answer.outcome === 'resident') {
        const waitedMs = nowMs + STEP_MS - (askedAt.get(name) ?? 0);
        onTime += waitedMs <= AIM_MS ? 1 : 0;
        busy.set(name, nowMs + USE_MS);
      }
    }
    for (const [name, untilMs] of busy) {
      if (untilMs <= nowMs) {
        busy.delete(name);
        world.release(name);
      }
    }
  }
  // Each place serves one adapter in the time of a load, a use and an unload.
  const possible = (8_000 / (250 + USE_MS + 50)) * 4;
  t.true(onTime >= possible * 0.75, `${onTime} of ${possible}`);
});

test('predicts the wait of a late request behind all that wait', (t) => {
  const world = new SlotsSimulation({...calm, capacity: 2});
  world.post({type: 'claim-changed', claim: 'issuing'});
  for (const name of ['a1', 'a2']) {
    world.prepare(name, name);
  }
  world.advance(400);
  for (let index = 0; index < 30; index += 1) {
    world.prepare(`late${index}`, `late${index}`, {onTimeWithinMs: 0});
  }
  // It goes before the late ones, but would be late itself by its turn.
  world.prepare('r1', 'r1', {onTimeWithinMs: 400, maximumWaitMs: 3_000});
  t.like(world.answers.get('r1'), {outcome: 'refused', reason: 'no-place'});
  t.is(world.answers.get('late0'), undefined);
});

test('goes on at once when a repeated load turns out to be done', (t) => {
  const {world, lucks} = worldWithLucks({lost: 0.2, holdsFirst: true});
  // Carried out without an answer, and done when it is repeated.
  lucks.push(0.1);
  world.prepare('r1', 'a1');
  world.advance(310);
  t.like(world.answers.get('r1'), {outcome: 'resident'});
  world.prepare('r2', 'a2');
  world.advance(270);
  t.like(world.answers.get('r2'), {outcome: 'resident'});
});

test('lets a lower rank go first only when it is due clearly sooner', (t) => {
  const orderOf = (lowDueMs: number) => {
    const world = new SlotsSimulation({...calm, capacity: 1});
    world.post({type: 'claim-changed', claim: 'issuing'});
    world.prepare('first', 'first');
    world.advance(400);
    world.prepare('low', 'low', {onTimeWithinMs: lowDueMs, priority: 2});
    world.prepare('high', 'high', {onTimeWithinMs: 900, priority: 0});
    world.release('first');
    world.advance(200);
    return world.orders.findLast(({operation}) => operation === 'load')
      ?.adapter;
  };
  t.is(orderOf(850), 'high');
  t.is(orderOf(600), 'low');
});

test('replaces an adapter whose newer version is wanted', (t) => {
  const world = new SlotsSimulation(calm);
  world.post({type: 'claim-changed', claim: 'issuing'});
  world.prepare('r1', 'a1');
  world.advance(400);
  world.prepare('r2', 'a1', {version: 2});
  t.is(world.answers.get('r2'), undefined);
  world.advance(400);
  t.like(world.answers.get('r2'), {outcome: 'resident', version: 2});
});

test('sends requests for a newer version on while the older one runs', (t) => {
  const world = new SlotsSimulation(calm);
  world.post({type: 'claim-changed', claim: 'issuing'});
  world.prepare('r1', 'a1');
  world.advance(400);
  // Used by a host: replacing it has to wait for the end of its runs.
  world.prepare('r2', 'a1', {version: 2, maximumWaitMs: 450});
  t.like(world.answers.get('r2'), {outcome: 'refused', reason: 'too-long'});
  world.release('a1');
  world.prepare('r3', 'a1', {version: 2, maximumWaitMs: 450});
  world.advance(400);
  t.like(world.answers.get('r3'), {outcome: 'resident', version: 2});
});

test('reads the report again after a time without the claim', (t) => {
  const world = new SlotsSimulation(calm);
  world.post({type: 'claim-changed', claim: 'issuing'});
  world.prepare('r1', 'a1');
  world.advance(400);
  world.post({type: 'claim-changed', claim: 'none'});
  world.resident.set('other', 1);
  world.resident.set('another', 1);
  world.post({type: 'claim-changed', claim: 'issuing'});
  world.advance(1_000);
  t.is(world.places.taken(), 3);
});

test('an order without an answer is repeated with the same count', (t) => {
  const {world, lucks} = worldWithLucks({lost: 0.2});
  world.prepare('r1', 'a1');
  world.advance(400);
  lucks.push(0.1);
  world.prepare('r2', 'a2');
  world.advance(900);
  t.like(world.answers.get('r2'), {outcome: 'resident'});
  const forSecond = world.orders.filter(({adapter}) => adapter === 'a2');
  t.is(forSecond[0]?.expectedOrders, forSecond[1]?.expectedOrders);
});

test('counts an order that may still be carried out after a report', (t) => {
  const {world, lucks} = worldWithLucks({capacity: 1, late: 0.3});
  // Not answered, and carried out two seconds later, as is its copy.
  lucks.push(0.1, 0, 0.1, 0);
  world.prepare('r1', 'a1');
  world.advance(400);
  world.post({type: 'prepare-cancelled', requestId: 'r1'});
  world.post({type: 'claim-changed', claim: 'none'});
  world.post({type: 'claim-changed', claim: 'issuing'});
  world.advance(100);
  t.is(world.places.taken(), 1);
});

test('takes a conflict of a repeated order for no proof of the order', (t) => {
  const {world, lucks} = worldWithLucks({capacity: 1, late: 0.3});
  // Not answered, and still on its way when it is repeated.
  lucks.push(0.1, 0.99);
  world.prepare('r1', 'a1');
  // An order of the issuer before comes first, with the same count.
  world.orderOfIssuerBefore('a2', 0);
  world.advance(5_000);
  t.is(world.overfilled, 0);
});

test('never overfills a server, whatever becomes of its orders', (t) => {
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
          const world = new SlotsSimulation({
            capacity: 4,
            loadMs: 250,
            random,
            lost: 0.1,
            late: 0.3,
            reportLagMs,
          });
          world.post({type: 'claim-changed', claim: 'issuing'});
          steps.forEach(({adapter, pauseMs, releases, earlier}, index) => {
            if (earlier !== null) {
              // Another host held the claim for a moment.
              world.post({type: 'claim-changed', claim: 'none'});
              const {adapter: other, delayMs} = earlier;
              world.orderOfIssuerBefore(`a${other}`, delayMs);
              world.post({type: 'claim-changed', claim: 'issuing'});
            }
            world.prepare(`r${index}`, `a${adapter}`);
            world.advance(pauseMs);
            if (releases) {
              for (let other = 1; other <= 12; other += 1) {
                world.release(`a${other}`);
              }
            }
          });
          world.advance(20_000);
          return world.overfilled === 0;
        },
      ),
      {numRuns: 300, seed: 20_261_204},
    );
  });
});
