import {mkdir, writeFile} from 'node:fs/promises';
import {join} from 'node:path';

import {drawPlots} from './plots.js';
import {POLICY_NAMES} from './policies.js';
import type {PolicyResult} from './result.js';
import {runScenario} from './run-scenario.js';
import {SCENARIOS} from './scenarios.js';
import {toTable} from './table.js';

/** Means of one scenario and policy over the seeds. */
export type MeanResult = Omit<PolicyResult, 'seed'>;

/** Runs everything, prints a table and writes table and plots. */
export const reportAll = async (
  seeds: readonly number[],
  directory: string | undefined,
): Promise<void> => {
  const means: MeanResult[] = [];
  for (const scenario of SCENARIOS) {
    for (const policy of POLICY_NAMES) {
      const results = seeds.map((seed) => runScenario(scenario, policy, seed));
      means.push(meanOf(scenario.name, policy, results));
      process.stderr.write(`${scenario.name} ${policy}\n`);
    }
  }
  const table = toTable(means, seeds);
  process.stdout.write(table);
  if (directory !== undefined) {
    await mkdir(directory, {recursive: true});
    await writeFile(join(directory, 'policy.md'), table);
    for (const {name, svg} of await drawPlots(means)) {
      await writeFile(join(directory, `${name}.svg`), svg);
    }
    await writeFile(
      join(directory, 'policy.json'),
      `${JSON.stringify(means, undefined, 2)}\n`,
    );
  }
};

/** Means of the runs of one scenario and policy. */
export const meanOf = (
  scenario: string,
  policy: string,
  results: readonly PolicyResult[],
): MeanResult => {
  const mean = (select: (result: PolicyResult) => number): number =>
    Number(
      (
        results.reduce((sum, result) => sum + select(result), 0) /
        results.length
      ).toFixed(4),
    );
  return {
    scenario,
    policy,
    offered: mean(({offered}) => offered),
    answered: mean(({answered}) => answered),
    onTime: mean(({onTime}) => onTime),
    refused: mean(({refused}) => refused),
    loads: mean(({loads}) => loads),
    wastedLoads: mean(({wastedLoads}) => wastedLoads),
    urgentStallP50Ms: mean(({urgentStallP50Ms}) => urgentStallP50Ms),
    urgentStallP99Ms: mean(({urgentStallP99Ms}) => urgentStallP99Ms),
    stallP99Ms: mean(({stallP99Ms}) => stallP99Ms),
    batchEfficiency: mean(({batchEfficiency}) => batchEfficiency),
    onTimeFraction: mean(({onTimeFraction}) => onTimeFraction),
  };
};
