#!/usr/bin/env node
import {readFile} from 'node:fs/promises';
import {text} from 'node:stream/consumers';

import {err, ok, type Result} from 'neverthrow';

import {runCommandLine} from './command-line.js';
import {CommandError} from './lib/command-error.js';
import {EXIT_CODES} from './lib/exit-code.js';

const readText = async (
  path: string,
): Promise<Result<string, CommandError>> => {
  try {
    return ok(
      path === '-' ? await text(process.stdin) : await readFile(path, 'utf8'),
    );
  } catch (cause) {
    const detail = cause instanceof Error ? cause.message : 'unknown cause';
    return err(
      new CommandError(`cannot read ${path}: ${detail}`, EXIT_CODES.usage),
    );
  }
};

const interruption = new AbortController();
process.once('SIGINT', () => {
  interruption.abort();
});

process.exitCode = await runCommandLine(process.argv.slice(2), {
  variables: process.env,
  isTerminal: process.stdout.isTTY,
  print: (line) => {
    process.stdout.write(`${line}\n`);
  },
  report: (line) => {
    process.stderr.write(`${line}\n`);
  },
  readText,
  signal: interruption.signal,
});
