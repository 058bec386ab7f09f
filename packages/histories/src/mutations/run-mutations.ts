import {cp, mkdir, mkdtemp, readFile, rm, writeFile} from 'node:fs/promises';
import {dirname, join} from 'node:path';
import {fileURLToPath, pathToFileURL} from 'node:url';

import {err, ok, type Result} from 'neverthrow';

import type * as checkModule from '../check.js';
import type {Edit, Mutation} from './mutation.js';

/** How a mutation ended. */
export interface MutationOutcome {
  readonly name: string;
  readonly caught: boolean;
  /** Schedules that ran until it was caught, or all of them. */
  readonly schedules: number;
  /** The promises whose breach caught it, or why it could not be applied. */
  readonly detail: string;
}

/** An edit whose text does not occur exactly once. */
export class StaleEditError extends Error {
  override readonly name = 'StaleEditError';

  constructor(
    readonly edit: Edit,
    readonly occurrences: number,
  ) {
    super(`${edit.module}: "${edit.search}" occurs ${occurrences} times`);
  }
}

/** Packages that a mutated copy consists of. */
const COPIED_PACKAGES = ['core', 'protocol', 'stand-ins', 'histories'] as const;

const PACKAGES_DIRECTORY = fileURLToPath(new URL('../../../', import.meta.url));

/**
 * Applies each mutation to a copy of the compiled packages and runs schedules
 * until one breaks a promise. The copies lie in the workspace's dependency
 * directory and are removed.
 */
export const runMutations = async (
  mutations: readonly Mutation[],
  schedules: number,
  seed: number,
  report: (outcome: MutationOutcome) => void,
): Promise<readonly MutationOutcome[]> => {
  const cache = join(PACKAGES_DIRECTORY, '..', 'node_modules', '.cache');
  await mkdir(cache, {recursive: true});
  const directory = await mkdtemp(join(cache, 'mutations-'));
  const outcomes: MutationOutcome[] = [];
  try {
    for (const [index, mutation] of mutations.entries()) {
      const copy = join(directory, String(index), 'node_modules');
      const outcome = await runMutation(mutation, copy, schedules, seed);
      outcomes.push(outcome);
      report(outcome);
    }
  } finally {
    await rm(directory, {recursive: true});
  }
  return outcomes;
};

const runMutation = async (
  {name, edits}: Mutation,
  copy: string,
  schedules: number,
  seed: number,
): Promise<MutationOutcome> => {
  await copyPackages(copy);
  for (const edit of edits) {
    const applied = await applyEdit(copy, edit);
    if (applied.isErr()) {
      const detail = applied.error.message;
      return {name, caught: false, schedules: 0, detail};
    }
  }
  const path = join(copy, '@basilworks', 'histories', 'dist', 'check.js');
  const {checkHistories} = (await import(
    pathToFileURL(path).href
  )) as typeof checkModule;
  const {failed, schedules: run} = checkHistories(schedules, seed, true);
  const promises = new Set(
    failed.flatMap(({violations}) => violations.map(({promise}) => promise)),
  );
  return {
    name,
    caught: failed.length > 0,
    schedules: run,
    detail: [...promises].join(', '),
  };
};

const copyPackages = async (copy: string): Promise<void> => {
  for (const name of COPIED_PACKAGES) {
    const from = join(PACKAGES_DIRECTORY, name);
    const to = join(copy, '@basilworks', name);
    await cp(join(from, 'dist'), join(to, 'dist'), {recursive: true});
    await cp(join(from, 'package.json'), join(to, 'package.json'));
  }
};

const applyEdit = async (
  copy: string,
  edit: Edit,
): Promise<Result<void, StaleEditError>> => {
  const path = join(copy, '@basilworks', 'core', 'dist', edit.module);
  await mkdir(dirname(path), {recursive: true});
  const pieces = (await readFile(path, 'utf8')).split(edit.search);
  if (pieces.length !== 2) {
    return err(new StaleEditError(edit, pieces.length - 1));
  }
  await writeFile(path, pieces.join(edit.replacement));
  return ok(undefined);
};
