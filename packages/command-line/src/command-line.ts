import {Command, CommanderError} from 'commander';

import {createAdaptersCommand} from './commands/adapters.js';
import {createAuditCommand} from './commands/audit.js';
import {createCompletionCommand} from './commands/completion.js';
import {createDrainCommand} from './commands/drain.js';
import {createExplainCommand} from './commands/explain.js';
import {
  createHostsCommand,
  createLoadsCommand,
  createServersCommand,
} from './commands/fleet.js';
import {createKeysCommand} from './commands/keys.js';
import {createSheetCommand} from './commands/sheet.js';
import {createSupportCommand} from './commands/support.js';
import type {CommandContext} from './lib/command-context.js';
import {EXIT_CODES, type ExitCode} from './lib/exit-code.js';
import {CommandRunner} from './lib/run.js';

/**
 * Runs `basilworks` with the arguments after the program's name and returns
 * the exit code. Never throws for any arguments.
 */
export const runCommandLine = async (
  commandArguments: readonly string[],
  context: CommandContext,
): Promise<ExitCode> => {
  const runner = new CommandRunner(context);
  const program = createProgram(runner, context);
  try {
    await program.parseAsync(commandArguments, {from: 'user'});
    return runner.exitCode;
  } catch (error) {
    if (error instanceof CommanderError) {
      return error.exitCode === 0 ? EXIT_CODES.success : EXIT_CODES.usage;
    }
    const detail = error instanceof Error ? error.message : 'unknown failure';
    context.report(`basilworks: ${detail}`);
    return EXIT_CODES.internal;
  }
};

const COMMANDS = [
  createSheetCommand,
  createAdaptersCommand,
  createServersCommand,
  createHostsCommand,
  createLoadsCommand,
  createExplainCommand,
  createAuditCommand,
  createDrainCommand,
  createKeysCommand,
  createSupportCommand,
];

const createProgram = (
  runner: CommandRunner,
  context: CommandContext,
): Command => {
  const program = new Command('basilworks')
    .description('Operates a basilworks deployment.')
    .showHelpAfterError('(--help shows the commands and options)');
  for (const create of COMMANDS) {
    program.addCommand(create(runner));
  }
  program.addCommand(createCompletionCommand(runner, program));
  applyToAll(program, (command) => {
    command.exitOverride().configureOutput({
      writeOut: (text) => {
        context.print(text.trimEnd());
      },
      writeErr: (text) => {
        context.report(text.trimEnd());
      },
    });
  });
  return program;
};

const applyToAll = (
  command: Command,
  change: (command: Command) => void,
): void => {
  change(command);
  for (const child of command.commands) {
    applyToAll(child, change);
  }
};
