import {stdout} from 'node:process';

import {Command} from 'commander';

import {measureControl} from './measure-control.js';
import {SERIES, sizesOf, ZONE_SIZES} from './size.js';

/** Measures what each role costs at several sizes. */
export const capacityCommand = (): Command =>
  new Command('capacity')
    .description('Cost of each role and of control at several sizes.')
    .option('--seed <number>', 'seed of the deployments', Number, 1)
    .option('--json', 'print only the last line', false)
    .action(({seed}: {seed: number}) => {
      for (const size of [...SERIES.flatMap(sizesOf), ...ZONE_SIZES]) {
        stdout.write(`${JSON.stringify(measureControl(size, seed))}\n`);
      }
    });
