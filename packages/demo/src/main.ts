import {AL_HAJAR, HALLORAN} from '@basilworks/stand-ins';
import {Command, InvalidArgumentError, Option} from 'commander';
import {createConsola} from 'consola';

import {type FaultName, FAULTS, isFaultName} from './faults.js';
import {runDemo} from './run-demo.js';

const DEPLOYMENTS = [HALLORAN, AL_HAJAR];

interface Options {
  readonly deployment: string;
  readonly seconds: number;
  readonly rate: number;
  readonly adapters: number;
  readonly faults: readonly FaultName[];
  readonly seed: number;
  readonly keepFiles: boolean;
  readonly short: boolean;
  readonly commands: boolean;
  readonly json: boolean;
}

/** Sizes of the run in CI. */
const SHORT_RUN = {seconds: 5, adapters: 60} as const;

const parseNumber = (text: string): number => {
  const value = Number(text);
  if (!Number.isFinite(value) || value < 0) {
    throw new InvalidArgumentError('expected a number.');
  }
  return value;
};

const parseFaults = (text: string): readonly FaultName[] =>
  text.split(',').map((word) => {
    if (!isFaultName(word)) {
      const known = Object.keys(FAULTS).join(', ');
      throw new InvalidArgumentError(`unknown fault; known are ${known}.`);
    }
    return word;
  });

const run = async (options: Options): Promise<void> => {
  const console = createConsola({stdout: process.stderr});
  const deployment =
    DEPLOYMENTS.find(({name}) => name === options.deployment) ?? HALLORAN;
  const result = await runDemo(
    {
      ...options,
      ...(options.short ? SHORT_RUN : {}),
      deployment,
      requestsPerSecond: options.rate,
    },
    (message) => {
      console.info(message);
    },
  );
  for (const line of result.report) {
    process.stdout.write(`${line}\n`);
  }
  if (options.json) {
    process.stdout.write(`${JSON.stringify(result.summary)}\n`);
  }
  const failures =
    result.verdict.violations.length + result.failedCommands.length;
  process.exitCode = failures > 0 ? 1 : 0;
};

await new Command('demo')
  .description('Runs a deployment on loopback and checks every promise.')
  .addOption(
    new Option('--deployment <name>', 'deployment to run')
      .choices(DEPLOYMENTS.map(({name}) => name))
      .default(HALLORAN.name),
  )
  .option('--seconds <n>', 'duration of the load', parseNumber, 12)
  .option('--rate <n>', 'requests per second', parseNumber, 12)
  .option('--adapters <n>', 'adapters in the sheet', parseNumber, 3_000)
  .option(
    '--faults <names>',
    `comma-separated: ${Object.keys(FAULTS).join(', ')}`,
    parseFaults,
    [],
  )
  .option('--seed <n>', 'seed of all random choices', parseNumber, 1)
  .option('--short', 'a short run for CI', false)
  .option('--commands', 'also run every command of the operators pages', false)
  .option('--keep-files', 'keep settings and logs', false)
  .option('--json', 'print the figures as JSON in the last line', false)
  .action(run)
  .parseAsync();
