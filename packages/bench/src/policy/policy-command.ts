import {Command, InvalidArgumentError, Option} from 'commander';

import {reportAblation} from './ablation.js';
import {POLICY_NAMES, type PolicyName} from './policies.js';
import {reportAll} from './report.js';
import {runScenario} from './run-scenario.js';
import {SCENARIOS} from './scenarios.js';

interface PolicyOptions {
  readonly scenario: string;
  readonly policy: PolicyName;
  readonly seed: number;
  readonly seeds: readonly number[];
  readonly json?: true;
  readonly all?: true;
  readonly ablation?: true;
  readonly report?: string;
}

/** Seeds of the report; tuning used others. */
const REPORT_SEEDS = [101, 102, 103, 104, 105];

/** Measures the policy against policies of comparison on virtual time. */
export const policyCommand = (): Command =>
  new Command('policy')
    .description('Compare policies on virtual time.')
    .addOption(
      new Option('--scenario <name>', 'what happens')
        .choices(SCENARIOS.map(({name}) => name))
        .default('halloran-day'),
    )
    .addOption(
      new Option('--policy <name>', 'who decides')
        .choices(POLICY_NAMES)
        .default('basilworks'),
    )
    .option('--seed <number>', 'seed of the arrivals', parseSeed, 1)
    .option('--json', 'print the result as JSON on the last line')
    .option('--all', 'run every scenario under every policy')
    .option('--ablation', 'run with each mechanism switched off in turn')
    .option('--seeds <list>', 'seeds of --all', parseSeeds, REPORT_SEEDS)
    .option('--report <directory>', 'where --all writes its table and plots')
    .action(run);

const run = async (options: PolicyOptions): Promise<void> => {
  if (options.all) {
    await reportAll(options.seeds, options.report);
    return;
  }
  if (options.ablation) {
    reportAblation(options.seeds);
    return;
  }
  const scenario = SCENARIOS.find(({name}) => name === options.scenario);
  if (scenario === undefined) {
    return;
  }
  const result = runScenario(scenario, options.policy, options.seed);
  if (!options.json) {
    for (const [key, value] of Object.entries(result)) {
      process.stdout.write(`${key.padEnd(18)} ${value}\n`);
    }
    return;
  }
  process.stdout.write(`${JSON.stringify(result)}\n`);
};

const parseSeed = (text: string): number => {
  const seed = Number(text);
  if (!Number.isSafeInteger(seed)) {
    throw new InvalidArgumentError('a whole number is expected');
  }
  return seed;
};

const parseSeeds = (text: string): readonly number[] =>
  text.split(',').map(parseSeed);
