import {setTimeout as sleep} from 'node:timers/promises';

import {Command} from 'commander';

import {BenchFleet} from './bench-fleet.js';
import {runSteadyLoad} from './steady-load.js';

/** Until the hosts know each other and the servers, seconds. */
const SETTLING_S = 8;

/** Load before the measured one: adapters are loaded and code is compiled. */
const WARM_UP_S = 6;
const MEGABYTE = 1_000_000;

interface Options {
  readonly hosts: string;
  readonly engines: string;
  readonly plainServers: string;
  readonly seconds: string;
  readonly rate: string;
}

/** `entry-host`: processor time and memory of entry hosts of a deployment. */
export const entryHostCommand = (): Command =>
  new Command('entry-host')
    .description('Measures entry hosts as processes, at rest and at work.')
    .option('--hosts <n>', 'entry hosts', '9')
    .option('--engines <n>', 'servers with adapters', '6')
    .option('--plain-servers <n>', 'servers without', '3')
    .option('--seconds <n>', 'duration of each step', '10')
    .option('--rate <n>', 'requests a second, 0 for none', '100')
    .action(run);

const run = async (options: Options): Promise<void> => {
  const hosts = Number(options.hosts);
  const seconds = Number(options.seconds);
  const rate = Number(options.rate);
  const fleet = new BenchFleet();
  const print = (name: string, value: number) => {
    process.stdout.write(`${name.padEnd(28)}${value.toPrecision(4)}\n`);
  };
  try {
    await fleet.start({
      hosts,
      engines: Number(options.engines),
      plainServers: Number(options.plainServers),
    });
    await sleep(SETTLING_S * 1_000);
    const rested = await fleet.usage();
    await sleep(seconds * 1_000);
    const before = await fleet.usage();
    const restS = before.processorSeconds - rested.processorSeconds;
    print('at rest, cores a host', restS / seconds / hosts);
    print('at rest, MB a host', before.residentBytes / hosts / MEGABYTE);
    if (rate > 0) {
      await runSteadyLoad(fleet.callerAddresses, rate, WARM_UP_S);
      const start = await fleet.usage();
      const load = await runSteadyLoad(fleet.callerAddresses, rate, seconds);
      const after = await fleet.usage();
      const usedS = after.processorSeconds - start.processorSeconds;
      const workMs = (usedS - restS) * 1_000;
      print('answers', load.answers);
      print('failures', load.failures);
      print('events', load.events);
      print('at work, ms an answer', workMs / load.answers);
      print('at work, MB a host', after.residentBytes / hosts / MEGABYTE);
      print('new connections', after.connections - start.connections);
    }
  } finally {
    fleet.end();
  }
};
