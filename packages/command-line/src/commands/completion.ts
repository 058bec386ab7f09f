import {Argument, Command} from 'commander';
import {ok} from 'neverthrow';

import {EXIT_CODES} from '../lib/exit-code.js';
import type {CommandRunner} from '../lib/run.js';

/** `basilworks completion`: completes the names of the commands. */
export const createCompletionCommand = (
  runner: CommandRunner,
  program: Command,
): Command =>
  new Command('completion')
    .description('print a completion script for a shell')
    .addArgument(new Argument('<shell>').choices(['bash']))
    .action(
      runner.wrap((context) => {
        context.print(toBashScript(program));
        return Promise.resolve(ok(EXIT_CODES.success));
      }),
    );

const toBashScript = (program: Command): string => {
  const name = program.name();
  const branches = program.commands
    .filter(({commands}) => commands.length > 0)
    .map((command) => `    ${command.name()}) words="${namesOf(command)}" ;;`);
  return [
    `_${name}() {`,
    `  local words="${namesOf(program)}"`,
    '  case "${COMP_WORDS[1]}" in',
    ...branches,
    '  esac',
    '  COMPREPLY=($(compgen -W "$words" -- "${COMP_WORDS[COMP_CWORD]}"))',
    '}',
    `complete -F _${name} ${name}`,
  ].join('\n');
};

const namesOf = ({commands}: Command): string =>
  commands.map((command) => command.name()).join(' ');
