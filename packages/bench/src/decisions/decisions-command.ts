import {Command} from 'commander';

import {measureDecisions} from './measure-decisions.js';

const ADAPTERS = [3_000, 14_000];
const SERVERS = [16, 120];

/** Measures the cost of the reducer's decisions and its slope. */
export const decisionsCommand = (): Command =>
  new Command('decisions')
    .description('Events per second through the reducer at several sizes.')
    .option('--seed <number>', 'seed of the arrivals', Number, 1)
    .option('--json', 'print the figures as JSON on the last line')
    .action(({seed, json}: {seed: number; json?: true}) => {
      const costs = ADAPTERS.flatMap((adapters) =>
        SERVERS.map((servers) => measureDecisions(adapters, servers, seed)),
      );
      if (json) {
        process.stdout.write(`${JSON.stringify({decisions: costs})}\n`);
        return;
      }
      for (const cost of costs) {
        process.stdout.write(`${JSON.stringify(cost)}\n`);
      }
    });
