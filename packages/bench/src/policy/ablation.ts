import {ALL_MECHANISMS, type Mechanisms} from './policies.js';
import {meanOf, type MeanResult} from './report.js';
import {runScenario} from './run-scenario.js';
import {SCENARIOS} from './scenarios.js';
import {toTable} from './table.js';

/** Measures the policy with each mechanism switched off in turn. */
export const reportAblation = (seeds: readonly number[]): void => {
  const means: MeanResult[] = [];
  for (const scenario of SCENARIOS) {
    for (const [name, mechanisms] of variants()) {
      const results = seeds.map((seed) =>
        runScenario(scenario, 'basilworks', seed, mechanisms),
      );
      means.push(meanOf(scenario.name, name, results));
    }
    process.stderr.write(`${scenario.name}\n`);
  }
  process.stdout.write(toTable(means, seeds));
};

const variants = (): readonly (readonly [string, Mechanisms])[] => [
  ['all on', ALL_MECHANISMS],
  ...Object.keys(ALL_MECHANISMS).map((name): readonly [string, Mechanisms] => [
    `no ${name}`,
    {...ALL_MECHANISMS, [name]: false},
  ]),
];
