import {readFileSync} from 'node:fs';

import {
  findNodeAtLocation,
  type Node,
  type ParseError,
  parseTree,
  getNodeValue,
  printParseErrorCode,
} from 'jsonc-parser';
import {err, ok, type Result} from 'neverthrow';
import type {z} from 'zod';

import {daemonSettingsSchema, type DaemonSettings} from './settings-schema.js';

/** One fault of a settings file. */
export interface SettingsFault {
  /** Path of the key, for example `members[0].tokenDigest`; may be empty. */
  readonly key: string;
  /** Line in the file, from 1. */
  readonly line: number;
  /** What was expected there. */
  readonly problem: string;
}

/** A settings file that can't be used, with all of its faults. */
export class SettingsError extends Error {
  override readonly name = 'SettingsError';

  constructor(
    readonly file: string,
    readonly faults: readonly SettingsFault[],
  ) {
    super(faults.map((fault) => formatFault(file, fault)).join('\n'));
  }
}

/** Reads and checks the daemon's settings file, JSON with comments. */
export const readSettings = (
  file: string,
): Result<DaemonSettings, SettingsError> =>
  readSettingsFile(file, daemonSettingsSchema);

/** Reads a settings file, JSON with comments, and checks it by a schema. */
export const readSettingsFile = <Schema extends z.ZodType>(
  file: string,
  schema: Schema,
): Result<z.infer<Schema>, SettingsError> => {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    const problem = `cannot be read: ${(error as Error).message}`;
    return err(new SettingsError(file, [{key: '', line: 1, problem}]));
  }
  return parseSettingsText(file, text, schema);
};

/** Checks the text of the daemon's settings; see `parseSettingsText`. */
export const parseSettings = (
  file: string,
  text: string,
): Result<DaemonSettings, SettingsError> =>
  parseSettingsText(file, text, daemonSettingsSchema);

/** Checks the text of a settings file and reports every fault at once. */
export const parseSettingsText = <Schema extends z.ZodType>(
  file: string,
  text: string,
  schema: Schema,
): Result<z.infer<Schema>, SettingsError> => {
  const errors: ParseError[] = [];
  const root = parseTree(text, errors, {allowTrailingComma: true});
  if (root === undefined || errors.length > 0) {
    return err(new SettingsError(file, syntaxFaults(text, errors)));
  }
  const parsed = schema.safeParse(getNodeValue(root), {
    reportInput: true,
  });
  return parsed.success
    ? ok(parsed.data)
    : err(
        new SettingsError(
          file,
          parsed.error.issues.flatMap((issue) => toFaults(text, root, issue)),
        ),
      );
};

const formatFault = (file: string, {key, line, problem}: SettingsFault) =>
  `${file}:${line}: ${key === '' ? '' : `${key}: `}${problem}`;

const syntaxFaults = (
  text: string,
  errors: readonly ParseError[],
): SettingsFault[] =>
  errors.length === 0
    ? [{key: '', line: 1, problem: 'expected a JSON object'}]
    : errors.map(({error, offset}) => ({
        key: '',
        line: lineAt(text, offset),
        problem: `not JSON with comments: ${printParseErrorCode(error)}`,
      }));

const toFaults = (
  text: string,
  root: Node,
  issue: z.core.$ZodIssue,
): SettingsFault[] => {
  const path = issue.path.filter((part) => typeof part !== 'symbol');
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => ({
      key: formatKey([...path, key]),
      line: lineOfPath(text, root, [...path, key]),
      problem: 'unknown key',
    }));
  }
  const missing = issue.code === 'invalid_type' && issue.input === undefined;
  return [
    {
      key: formatKey(path),
      line: lineOfPath(text, root, path),
      problem: missing
        ? `missing, expected ${issue.expected}`
        : issue.message.replace(/^Invalid input: /, ''),
    },
  ];
};

const formatKey = (path: readonly (string | number)[]): string =>
  path
    .map((part, index) =>
      typeof part === 'number'
        ? `[${part}]`
        : `${index === 0 ? '' : '.'}${part}`,
    )
    .join('');

/** Line of the node at a path, or of the nearest one above it. */
const lineOfPath = (
  text: string,
  root: Node,
  path: readonly (string | number)[],
): number => {
  for (let length = path.length; length > 0; length--) {
    const node = findNodeAtLocation(root, path.slice(0, length));
    if (node !== undefined) {
      return lineAt(text, node.offset);
    }
  }
  return lineAt(text, root.offset);
};

const lineAt = (text: string, offset: number): number =>
  text.slice(0, offset).split('\n').length;
