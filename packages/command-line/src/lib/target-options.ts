import type {Command} from 'commander';
import {err, ok, type Result} from 'neverthrow';

import type {CommandContext} from './command-context.js';
import {CommandError} from './command-error.js';
import {EXIT_CODES} from './exit-code.js';
import type {Target} from './operator-client.js';

/** Options that every command which talks to a host takes. */
export interface TargetOptions {
  readonly host?: string;
  readonly token?: string;
  readonly json?: boolean;
}

/** Adds `--host`, `--token` and `--json` to a command. */
export const addTargetOptions = (command: Command): Command =>
  command
    .option('--host <address>', 'entry host, default $BASILWORKS_HOST')
    .option('--token <token>', 'operator token, default $BASILWORKS_TOKEN')
    .option('--json', 'print JSON also on a terminal');

/** The entry host and token that the options or the environment name. */
export const resolveTarget = (
  context: CommandContext,
  options: TargetOptions,
): Result<Target, CommandError> => {
  const host = options.host ?? context.variables.BASILWORKS_HOST;
  const token = options.token ?? context.variables.BASILWORKS_TOKEN;
  if (host === undefined || host === '') {
    return err(missing('--host or BASILWORKS_HOST'));
  }
  if (token === undefined || token === '') {
    return err(missing('--token or BASILWORKS_TOKEN'));
  }
  return ok({host, token});
};

const missing = (what: string): CommandError =>
  new CommandError(`${what} is required`, EXIT_CODES.usage);
