import Table from 'cli-table3';

import type {CommandContext} from './command-context.js';

/** One value of a table's cell. */
export type Cell = string | number | boolean | undefined;

/** Rows with a heading for each column. */
export interface Listing {
  readonly headings: readonly string[];
  readonly rows: readonly (readonly Cell[])[];
}

/**
 * Prints a value as one line of JSON where the output is not a terminal or
 * `--json` was given, and as the table that `toListing` makes of it elsewhere.
 */
export const printValue = <Value>(
  context: CommandContext,
  json: boolean,
  value: Value,
  toListing: (value: Value) => Listing,
): void => {
  if (json || !context.isTerminal) {
    context.print(JSON.stringify(value));
    return;
  }
  context.print(renderTable(toListing(value)));
};

/** Renders a table without borders, one row on a line. */
export const renderTable = ({headings, rows}: Listing): string => {
  const table = new Table({
    head: [...headings],
    chars: BORDERLESS,
    style: {head: [], border: [], 'padding-left': 0, 'padding-right': 2},
  });
  for (const row of rows) {
    table.push(row.map((cell) => (cell === undefined ? '-' : String(cell))));
  }
  return table.toString();
};

const BORDERLESS = {
  top: '',
  'top-mid': '',
  'top-left': '',
  'top-right': '',
  bottom: '',
  'bottom-mid': '',
  'bottom-left': '',
  'bottom-right': '',
  left: '',
  'left-mid': '',
  mid: '',
  'mid-mid': '',
  right: '',
  'right-mid': '',
  middle: '',
} as const;
