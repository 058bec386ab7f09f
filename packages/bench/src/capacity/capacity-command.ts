import {stderr, stdout} from 'node:process';

import {Command} from 'commander';

import {runCapacity} from './run-capacity.js';

interface Options {
  readonly seed: number;
  readonly json: boolean;
}

/** Measures what each role costs at several sizes. */
export const capacityCommand = (): Command =>
  new Command('capacity')
    .description('Cost of each role and of control at several sizes.')
    .option('--seed <number>', 'seed of the deployments', Number, 1)
    .option('--json', 'print the report as one line', false)
    .action(({seed, json}: Options) => {
      const report = runCapacity(seed, (line) => {
        stderr.write(`${line}\n`);
      });
      const indent = json ? undefined : 2;
      stdout.write(`${JSON.stringify(report, undefined, indent)}\n`);
    });
