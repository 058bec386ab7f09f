import {
  parseSheet,
  type AdapterChange,
  type SheetFault,
  type SheetResult,
} from '@basilworks/core';
import {
  OPERATOR_PATHS,
  sheetAnswerSchema,
  type SheetSubmission,
} from '@basilworks/protocol';
import {Command, InvalidArgumentError} from 'commander';
import {err, type Result} from 'neverthrow';

import type {CommandContext} from '../lib/command-context.js';
import type {CommandError} from '../lib/command-error.js';
import {EXIT_CODES, type ExitCode} from '../lib/exit-code.js';
import {sendOperatorRequest} from '../lib/operator-client.js';
import {printValue, type Listing} from '../lib/output.js';
import type {CommandRunner} from '../lib/run.js';
import {
  addTargetOptions,
  resolveTarget,
  type TargetOptions,
} from '../lib/target-options.js';
import {readHistory, toHistoryListing} from './history.js';

interface ApplyOptions extends TargetOptions {
  readonly allowMassRetirement?: boolean;
  readonly expectedRevision?: number;
}

/** `basilworks sheet`: checks, compares and applies the planners' sheet. */
export const createSheetCommand = (runner: CommandRunner): Command => {
  const sheet = new Command('sheet').description(
    'check, compare and apply the sheet of adapters',
  );
  sheet
    .command('check')
    .description('report every fault of a sheet without asking a host')
    .option('--json', 'print JSON also on a terminal')
    .argument('<file>', 'CSV file, or - for the standard input')
    .action(
      runner.wrap((context, file: string, options: TargetOptions) =>
        checkSheet(context, file, options),
      ),
    );
  addTargetOptions(sheet.command('diff'))
    .description('show what applying a sheet would change')
    .argument('<file>', 'CSV file, or - for the standard input')
    .action(
      runner.wrap((context, file: string, options: TargetOptions) =>
        submitSheet(context, file, options, {dryRun: true}),
      ),
    );
  addTargetOptions(sheet.command('apply'))
    .description('apply a sheet; all of it or nothing')
    .argument('<file>', 'CSV file, or - for the standard input')
    .option('--allow-mass-retirement', 'retire more than the guard allows')
    .option(
      '--expected-revision <number>',
      'revision that was seen; fail if it is not the one in force',
      parseRevision,
    )
    .action(
      runner.wrap((context, file: string, options: ApplyOptions) =>
        submitSheet(context, file, options, applyParameters(options)),
      ),
    );
  addTargetOptions(sheet.command('history'))
    .description('list the revisions that the platform still describes')
    .action(runner.wrap(showHistory));
  return sheet;
};

const showHistory = async (
  context: CommandContext,
  options: TargetOptions,
): Promise<Result<ExitCode, CommandError>> => {
  const target = resolveTarget(context, options);
  if (target.isErr()) {
    return err(target.error);
  }
  const history = await readHistory(context, target.value);
  return history.map((view) => {
    printValue(context, options.json ?? false, view, toHistoryListing);
    return EXIT_CODES.success;
  });
};

type SubmissionParameters = Partial<Omit<SheetSubmission, 'text'>>;

const applyParameters = ({
  allowMassRetirement,
  expectedRevision,
}: ApplyOptions): SubmissionParameters => ({
  dryRun: false,
  allowMassRetirement: allowMassRetirement ?? false,
  ...(expectedRevision === undefined ? {} : {expectedRevision}),
});

/** Checks a sheet with the parser that the hosts use, and asks none. */
const checkSheet = async (
  context: CommandContext,
  file: string,
  options: TargetOptions,
): Promise<Result<ExitCode, CommandError>> => {
  const text = await context.readText(file);
  return text.map((sheet) => {
    const today = new Date().toISOString().slice(0, DATE_LENGTH);
    return parseSheet(sheet, today).match(
      (rows) => {
        const value = {kind: 'valid' as const, rows: rows.length};
        printValue(context, options.json ?? false, value, () => ({
          headings: ['sheet', 'rows'],
          rows: [['valid', rows.length]],
        }));
        return EXIT_CODES.success;
      },
      (faults) => {
        printResult(context, options, {kind: 'invalid', faults: [...faults]});
        return EXIT_CODES.invalidSheet;
      },
    );
  });
};

const DATE_LENGTH = 'YYYY-MM-DD'.length;

const submitSheet = async (
  context: CommandContext,
  file: string,
  options: TargetOptions,
  parameters: SubmissionParameters,
): Promise<Result<ExitCode, CommandError>> => {
  const target = resolveTarget(context, options);
  if (target.isErr()) {
    return err(target.error);
  }
  const text = await context.readText(file);
  if (text.isErr()) {
    return err(text.error);
  }
  const answer = await sendOperatorRequest(
    target.value,
    {
      method: 'POST',
      path: OPERATOR_PATHS.sheet,
      body: {text: text.value, ...parameters},
      answer: sheetAnswerSchema,
    },
    context.signal,
  );
  return answer.map(({result}) => {
    printResult(context, options, result);
    return EXIT_CODE_BY_RESULT[result.kind];
  });
};

const EXIT_CODE_BY_RESULT: Readonly<Record<SheetResult['kind'], ExitCode>> = {
  applied: EXIT_CODES.success,
  unchanged: EXIT_CODES.success,
  difference: EXIT_CODES.success,
  invalid: EXIT_CODES.invalidSheet,
  conflict: EXIT_CODES.conflict,
  'mass-retirement': EXIT_CODES.guarded,
  'store-unavailable': EXIT_CODES.unavailable,
  'outcome-unknown': EXIT_CODES.unavailable,
};

const printResult = (
  context: CommandContext,
  options: TargetOptions,
  result: SheetResult,
): void => {
  const summary = summarize(result);
  if (context.isTerminal && options.json !== true) {
    context.report(summary);
  }
  if (options.json === true || !context.isTerminal || hasRows(result)) {
    printValue(context, options.json ?? false, result, toListing);
  }
};

type Summaries = {
  readonly [Kind in SheetResult['kind']]: (
    result: Extract<SheetResult, {readonly kind: Kind}>,
  ) => string;
};

const SUMMARIES: Summaries = {
  applied: ({revision, changes}) =>
    `Applied as revision ${revision}: ${changes.length} adapters changed.`,
  unchanged: ({revision}) => `Nothing to change at revision ${revision}.`,
  difference: ({revision}) =>
    `The sheet is valid against revision ${revision}.`,
  invalid: ({faults}) => `${faults.length} faults; nothing was applied.`,
  conflict: ({revision, operator}) =>
    `${operator} changed the configuration to revision ${revision}; ` +
    'nothing was applied.',
  'mass-retirement': ({retired, total}) =>
    `The sheet would retire ${retired} of ${total} adapters; nothing was ` +
    'applied. Use --allow-mass-retirement if this is meant.',
  'store-unavailable': ({retryAfterMs}) =>
    `The platform's store is not available; nothing is known to be applied. ` +
    `Retry in ${Math.ceil(retryAfterMs / MILLISECONDS_PER_SECOND)} s.`,
  'outcome-unknown': () =>
    'The platform did not tell whether the sheet was applied. Compare the ' +
    'history before applying it again.',
};

const MILLISECONDS_PER_SECOND = 1_000;

const summarize = (result: SheetResult): string => {
  const summary = SUMMARIES[result.kind] as (result: SheetResult) => string;
  return summary(result);
};

const hasRows = (result: SheetResult): boolean =>
  ('faults' in result && result.faults.length > 0) ||
  ('changes' in result && result.changes.length > 0);

const toListing = (result: SheetResult): Listing =>
  'faults' in result
    ? faultListing(result.faults)
    : changeListing('changes' in result ? result.changes : []);

const faultListing = (faults: readonly SheetFault[]): Listing => ({
  headings: ['line', 'column', 'problem'],
  rows: faults.map(({line, column, problem}) => [line, column, problem]),
});

const changeListing = (changes: readonly AdapterChange[]): Listing => ({
  headings: ['adapter', 'change', 'from', 'to'],
  rows: changes.map(({adapter, change, fromVersion, toVersion}) => [
    adapter,
    change,
    fromVersion,
    toVersion,
  ]),
});

const parseRevision = (text: string): number => {
  const revision = Number(text);
  if (!Number.isInteger(revision) || revision < 0) {
    throw new InvalidArgumentError('a revision is a whole number from 0 up');
  }
  return revision;
};
