#!/usr/bin/env node
import {Command} from 'commander';

import {Daemon} from './daemon.js';
import {ExitCode} from './exit-code.js';
import {readSettings} from './settings.js';
import type {DaemonSettings} from './settings-schema.js';

interface Options {
  readonly settings: string;
  readonly checkSettings?: boolean;
}

/** Runs one entry host until its planned stop is complete. */
const run = async (settings: DaemonSettings): Promise<void> => {
  const daemon: Daemon = new Daemon(settings, () => {
    exit(daemon, ExitCode.STOPPED);
  });
  const {logger, timers} = daemon.context;
  const requestStop = () => {
    daemon.requestStop();
    timers.after('daemon/stop', settings.stopTimeoutMs, () => {
      logger.error('the planned stop did not complete in time');
      exit(daemon, ExitCode.STOP_INCOMPLETE);
    });
  };
  process.on('SIGTERM', requestStop);
  process.on('SIGINT', requestStop);
  process.on('uncaughtException', (error) => {
    logger.error('uncaught error', {error: error.stack ?? error.message});
    exit(daemon, ExitCode.FAILED);
  });
  const started = await daemon.start();
  started.match(
    (ports) => {
      logger.info('started', {...ports});
    },
    (error) => {
      logger.error(error.message);
      exit(daemon, ExitCode.CANNOT_LISTEN);
    },
  );
};

const exit = (daemon: Daemon, code: ExitCode): void => {
  daemon.close();
  process.exitCode = code;
  process.exit();
};

const main = async ({settings: file, checkSettings}: Options) => {
  const settings = readSettings(file);
  if (settings.isErr()) {
    process.stderr.write(`${settings.error.message}\n`);
    process.exitCode = ExitCode.BAD_SETTINGS;
    return;
  }
  if (checkSettings) {
    process.stdout.write(`${file}: no faults\n`);
    return;
  }
  await run(settings.value);
};

await new Command('basilworksd')
  .description('An entry host of basilworks.')
  .requiredOption('--settings <file>', 'settings, JSON with comments')
  .option('--check-settings', 'check the settings file and exit')
  .action(main)
  .parseAsync();
