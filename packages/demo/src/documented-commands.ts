import {readdir, readFile} from 'node:fs/promises';

import {runCommandLine} from '@basilworks/command-line';
import {ok} from 'neverthrow';

const PAGES = new URL('../../../docs/operators/', import.meta.url);

/** Stands in the pages for the identity of a request. */
const REQUEST_PLACEHOLDER = 'REQUEST-ID';

/** A command that an operators' page shows. */
export interface DocumentedCommand {
  readonly page: string;
  /** Words after the program's name. */
  readonly words: readonly string[];
}

/** What the commands are run against. */
export interface CommandSurroundings {
  /** Address of any entry host. */
  readonly host: string;
  /** An operator's token. */
  readonly token: string;
  /** Text of the sheet that the pages call `sheet.csv`. */
  readonly sheet: string;
  /** Identity of a request that the deployment knows. */
  readonly requestId: string;
}

/** A command of a page that did not end with success. */
export interface FailedCommand extends DocumentedCommand {
  readonly exitCode: number;
  readonly output: string;
}

/** Returns the commands in the shell blocks of a page. */
export const commandsOf = (
  page: string,
  text: string,
): readonly DocumentedCommand[] =>
  [...text.matchAll(/^( *)```sh\n([\s\S]*?)\n\1```/gm)].flatMap(([, , block]) =>
    (block ?? '')
      .split('\n')
      .map((line) => line.trim())
      .filter((line) => line.startsWith('basilworks '))
      .map((line) => ({page, words: line.split(/\s+/).slice(1)})),
  );

/** Reads the commands of all operators' pages. */
export const documentedCommands = async (): Promise<
  readonly DocumentedCommand[]
> => {
  const pages = (await readdir(PAGES)).filter((name) => name.endsWith('.md'));
  const commands = await Promise.all(
    pages
      .sort()
      .map(async (page) =>
        commandsOf(page, await readFile(new URL(page, PAGES), 'utf8')),
      ),
  );
  return commands.flat();
};

/**
 * Runs every command of the operators' pages, those that drain a host last,
 * and returns the ones that failed.
 */
export const runDocumentedCommands = async (
  commands: readonly DocumentedCommand[],
  surroundings: CommandSurroundings,
): Promise<readonly FailedCommand[]> => {
  const failed: FailedCommand[] = [];
  const isDrain = ({words}: DocumentedCommand): boolean => words[0] === 'drain';
  const ordered = [
    ...commands.filter((command) => !isDrain(command)),
    ...commands.filter(isDrain),
  ];
  for (const command of ordered) {
    const {exitCode, output} = await runOne(command, surroundings);
    if (exitCode !== 0) {
      failed.push({...command, exitCode, output});
    }
  }
  return failed;
};

const runOne = async (
  {words}: DocumentedCommand,
  {host, token, sheet, requestId}: CommandSurroundings,
): Promise<{readonly exitCode: number; readonly output: string}> => {
  const lines: string[] = [];
  const exitCode = await runCommandLine(
    words.map((word) => (word === REQUEST_PLACEHOLDER ? requestId : word)),
    {
      variables: {BASILWORKS_HOST: host, BASILWORKS_TOKEN: token},
      isTerminal: false,
      print: (line) => lines.push(line),
      report: (line) => lines.push(line),
      readText: () => Promise.resolve(ok(sheet)),
      signal: new AbortController().signal,
    },
  );
  return {exitCode, output: lines.join('\n')};
};
