import {
  historyViewSchema,
  OPERATOR_PATHS,
  type HistoryView,
} from '@basilworks/protocol';
import type {Result} from 'neverthrow';

import type {CommandContext} from '../lib/command-context.js';
import type {CommandError} from '../lib/command-error.js';
import {sendOperatorRequest, type Target} from '../lib/operator-client.js';
import type {Listing} from '../lib/output.js';

/** Reads the revisions that the platform still describes. */
export const readHistory = (
  context: CommandContext,
  target: Target,
): Promise<Result<HistoryView, CommandError>> =>
  sendOperatorRequest(
    target,
    {method: 'GET', path: OPERATOR_PATHS.history, answer: historyViewSchema},
    context.signal,
  );

/** The revisions as a table, newest first. */
export const toHistoryListing = ({revisions}: HistoryView): Listing => ({
  headings: ['revision', 'operator', 'changes', 'first of them'],
  rows: revisions.map(({revision, operator, changeCount, changes}) => [
    revision,
    operator,
    changeCount,
    changes
      .slice(0, SHOWN_CHANGES)
      .map(({adapter, change}) => `${adapter} ${change}`)
      .join(', '),
  ]),
});

const SHOWN_CHANGES = 3;
