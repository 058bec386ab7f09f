import * as fc from 'fast-check';
import test from 'ava';

import {assignUnowned, planMoves} from '../../ownership/assignment.js';

const SEED = 20_261_203;

const scenario = fc.record({
  hosts: fc.integer({min: 1, max: 6}),
  owners: fc.array(fc.nat({max: 6}), {maxLength: 30}),
  unowned: fc.nat({max: 10}),
});

const build = ({
  hosts,
  owners,
  unowned,
}: {
  hosts: number;
  owners: readonly number[];
  unowned: number;
}) => ({
  candidates: Array.from({length: hosts}, (_, index) => `host-${index}`),
  owners: new Map(
    owners.map((owner, index): [string, string] => [
      `server-${index}`,
      `host-${owner}`,
    ]),
  ),
  unowned: Array.from({length: unowned}, (_, index) => `free-${index}`),
});

const loadsOf = (owners: Iterable<string>, candidates: readonly string[]) => {
  const list = [...owners];
  return candidates.map(
    (host) => list.filter((owner) => owner === host).length,
  );
};

test(`every free server gets a least loaded candidate, seed ${SEED}`, (t) => {
  fc.assert(
    fc.property(scenario, (shape) => {
      const assignment = build(shape);
      const owners = new Map(assignment.owners);
      for (const {server, host} of assignUnowned(assignment)) {
        const loads = loadsOf(owners.values(), assignment.candidates);
        const load = loads[assignment.candidates.indexOf(host)];
        if (load !== Math.min(...loads)) {
          return false;
        }
        owners.set(server, host);
      }
      return owners.size === assignment.owners.size + shape.unowned;
    }),
    {seed: SEED, numRuns: 300},
  );
  t.pass();
});

test(`moves end with a difference of one at most, seed ${SEED}`, (t) => {
  fc.assert(
    fc.property(scenario, (shape) => {
      const assignment = {...build(shape), unowned: []};
      const owners = new Map(assignment.owners);
      const everyHost = new Set([...owners.values(), ...assignment.candidates]);
      for (let round = 0; round < 40; round += 1) {
        for (const owner of everyHost) {
          for (const move of planMoves({...assignment, owners}, owner)) {
            owners.set(move.server, move.host);
          }
        }
      }
      const loads = loadsOf(owners.values(), assignment.candidates);
      const placed = loads.reduce((sum, load) => sum + load, 0);
      return (
        placed === owners.size && Math.max(...loads) - Math.min(...loads) <= 1
      );
    }),
    {seed: SEED, numRuns: 200},
  );
  t.pass();
});

test('without candidates nothing is assigned', (t) => {
  const assignment = {
    owners: new Map([['server-0', 'host-9']]),
    unowned: ['free-0'],
    candidates: [],
  };
  t.deepEqual(assignUnowned(assignment), []);
  t.deepEqual(planMoves(assignment, 'host-9'), []);
});
