import type {Result} from 'neverthrow';

import type {CommandContext} from './command-context.js';
import type {CommandError} from './command-error.js';
import {EXIT_CODES, type ExitCode} from './exit-code.js';

/** A command's work: its exit code, or the failure that ended it. */
export type CommandAction<Arguments extends unknown[]> = (
  context: CommandContext,
  ...commandArguments: Arguments
) => Promise<Result<ExitCode, CommandError>>;

/** Runs the actions of the commands and keeps the exit code of the last. */
export class CommandRunner {
  exitCode: ExitCode = EXIT_CODES.success;

  constructor(private readonly context: CommandContext) {}

  /** Makes a handler for `Command.action` of a command's work. */
  wrap<Arguments extends unknown[]>(
    action: CommandAction<Arguments>,
  ): (...commandArguments: Arguments) => Promise<void> {
    return async (...commandArguments) => {
      const result = await action(this.context, ...commandArguments);
      this.exitCode = result.match(
        (exitCode) => exitCode,
        (error) => {
          this.context.report(`basilworks: ${error.message}`);
          return error.exitCode;
        },
      );
    };
  }
}
