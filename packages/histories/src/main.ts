import {stdout} from 'node:process';

import {Command} from 'commander';

import {checkHistories, countByPromise, countViolations} from './check.js';
import {measureStoreCalls} from './measurements/store-calls.js';
import {MUTATIONS} from './mutations/mutations.js';
import {runMutations} from './mutations/run-mutations.js';

/** Failed schedules that the report shows whole. */
const SHOWN_FAILURES = 5;

/** Hosts, zones, engines and adapters of each measured deployment. */
const STORE_CALL_SIZES = [
  [3, 3, 9, 100],
  [9, 3, 9, 100],
  [9, 3, 90, 100],
  [9, 3, 9, 1_000],
  [27, 3, 27, 100],
  [81, 3, 81, 100],
] as const;

const writeLine = (line: string): void => {
  stdout.write(`${line}\n`);
};

const parseCount = (text: string): number => Number.parseInt(text, 10);

const program = new Command('basilworks-histories').description(
  'Runs the decisions under generated faults and checks what happened.',
);

program
  .command('check')
  .option('--schedules <number>', 'schedules to run', parseCount, 2_000)
  .option('--seed <number>', 'seed of the schedules', parseCount, 1)
  .option('--json', 'print only the last line', false)
  .action(
    ({
      schedules,
      seed,
      json,
    }: {
      schedules: number;
      seed: number;
      json: boolean;
    }) => {
      const report = checkHistories(schedules, seed);
      const violations = countViolations(report);
      if (!json) {
        writeLine(`seed ${seed}, ${report.schedules} schedules`);
        writeLine(JSON.stringify(countByPromise(report)));
        for (const failure of report.failed.slice(0, SHOWN_FAILURES)) {
          writeLine(JSON.stringify(failure, undefined, 2));
        }
      }
      writeLine(JSON.stringify({schedules: report.schedules, violations}));
      process.exitCode = violations === 0 ? 0 : 1;
    },
  );

program
  .command('store-calls')
  .description('measures calls to the object API and the spread of revisions')
  .option('--seed <number>', 'seed of the runs', parseCount, 1)
  .option('--json', 'print JSON lines', false)
  .action(({seed, json}: {seed: number; json: boolean}) => {
    for (const [hosts, zones, engines, adapters] of STORE_CALL_SIZES) {
      const figures = measureStoreCalls(hosts, zones, engines, adapters, seed);
      writeLine(
        json
          ? JSON.stringify(figures)
          : Object.entries(figures)
              .map(([name, value]) => `${name} ${value}`)
              .join(', '),
      );
    }
  });

program
  .command('mutations')
  .description('applies deliberate faults and shows that each is caught')
  .option('--schedules <number>', 'schedules for each', parseCount, 400)
  .option('--seed <number>', 'seed of the schedules', parseCount, 1)
  .action(async ({schedules, seed}: {schedules: number; seed: number}) => {
    const outcomes = await runMutations(
      MUTATIONS,
      schedules,
      seed,
      ({name, caught, schedules: run, detail}) => {
        const verdict = caught ? 'caught' : 'SURVIVED';
        writeLine(`${verdict.padEnd(9)}${String(run).padStart(5)}  ${name}`);
        writeLine(`${' '.repeat(16)}${detail}`);
      },
    );
    const survived = outcomes.filter(({caught}) => !caught).length;
    writeLine(JSON.stringify({mutations: outcomes.length, survived}));
    process.exitCode = survived === 0 ? 0 : 1;
  });

await program.parseAsync();
