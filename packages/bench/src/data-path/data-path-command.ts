import {Command, InvalidArgumentError, Option} from 'commander';

import {measureAddedLatency} from './measure-latency.js';
import {measureRelay} from './measure-relay.js';
import {measureSaturation} from './measure-saturation.js';

const DECIMALS = 3;

/** The measurements by name, in the order in which they run. */
const MEASUREMENTS = {
  latency: measureAddedLatency,
  relay: measureRelay,
  saturation: measureSaturation,
} as const;
type MeasurementName = keyof typeof MEASUREMENTS;

const names = Object.keys(MEASUREMENTS) as MeasurementName[];

interface Options {
  readonly only?: MeasurementName;
  readonly seconds: number;
  readonly json: boolean;
}

/** `data-path`: latency, relayed tokens and saturation of one entry host. */
export const dataPathCommand = (): Command =>
  new Command('data-path')
    .description('Measures one entry host on real sockets.')
    .addOption(
      new Option('--only <name>', 'one measurement').choices([...names]),
    )
    .option('--seconds <n>', 'duration of each step', parsePositive, 10)
    .option('--json', 'print the figures as JSON in the last line', false)
    .action(run);

const run = async ({only, seconds, json}: Options): Promise<void> => {
  const figures: Record<string, number> = {};
  for (const name of only === undefined ? names : [only]) {
    process.stderr.write(`measuring ${name}\n`);
    for (const [key, value] of Object.entries(
      await MEASUREMENTS[name](seconds),
    )) {
      figures[key] = Number((value as number).toFixed(DECIMALS));
    }
  }
  for (const [key, value] of Object.entries(figures)) {
    process.stdout.write(`${key.padEnd(28)}${value}\n`);
  }
  if (json) {
    process.stdout.write(`${JSON.stringify(figures)}\n`);
  }
};

const parsePositive = (text: string): number => {
  const value = Number(text);
  if (!(value > 0)) {
    throw new InvalidArgumentError('expected a positive number.');
  }
  return value;
};
