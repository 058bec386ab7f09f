import {CsvError} from 'csv-parse';
import {parse} from 'csv-parse/sync';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';

import {adapterIdSchema, versionSchema} from '../identifiers.js';
import {priorityClassSchema} from '../request.js';
import type {SheetFault} from './sheet-result.js';

/** Columns of a sheet, each of which the header must name once. */
export const SHEET_COLUMNS = [
  'adapter',
  'base_model',
  'version',
  'urgency',
  'priority',
  'service',
  'retire',
] as const;
type SheetColumn = (typeof SHEET_COLUMNS)[number];

/** Rows that a sheet may have. */
const MAXIMUM_ROWS = 50_000;

const sheetRowSchema = z.object({
  adapter: adapterIdSchema,
  base_model: z.string().min(1, 'must not be empty'),
  version: versionSchema,
  urgency: z
    .string()
    .regex(/^\d{1,3}$/, 'must be a whole number')
    .transform(Number)
    .pipe(z.number().min(1).max(100)),
  priority: priorityClassSchema,
  service: z.string().min(1, 'must not be empty'),
  retire: z.union(
    [z.enum(['yes', 'no']), z.iso.date()],
    'must be yes, no or a date such as 2026-03-31',
  ),
});

/** One valid row of a sheet. */
export interface SheetRow {
  readonly adapter: string;
  readonly baseModel: string;
  readonly version: string;
  readonly urgency: number;
  readonly priorityClass: z.infer<typeof priorityClassSchema>;
  readonly pool: string;
  readonly retired: boolean;
}

/**
 * Reads a sheet: comma-separated values with a header line, columns in any
 * order. `today` as `YYYY-MM-DD` in UTC: a retirement date up to it retires the
 * adapter, a later one has no effect yet.
 *
 * @returns all rows, or all faults in the order of their lines.
 */
export const parseSheet = (
  text: string,
  today: string,
): Result<readonly SheetRow[], readonly SheetFault[]> =>
  readRecords(text).andThen(([header, ...records]) => {
    const headerFaults = checkHeader(header?.cells ?? []);
    if (header === undefined || headerFaults.length > 0) {
      return err(headerFaults);
    }
    return readRows(header.cells as readonly SheetColumn[], records, today);
  });

interface SheetRecord {
  readonly line: number;
  readonly cells: readonly string[];
}

const csvRecordsSchema = z.array(
  z.object({
    record: z.array(z.string()),
    info: z.object({lines: z.number()}),
  }),
);

const readRecords = (
  text: string,
): Result<readonly SheetRecord[], readonly SheetFault[]> => {
  try {
    const records: unknown = parse(text, {
      bom: true,
      info: true,
      relax_column_count: true,
      skip_empty_lines: true,
      trim: true,
    });
    return ok(
      csvRecordsSchema.parse(records).map(({record, info}) => ({
        line: info.lines,
        cells: record,
      })),
    );
  } catch (error) {
    const problem = error instanceof Error ? error.message : 'cannot be read';
    const lines: unknown = error instanceof CsvError ? error.lines : 1;
    const line = typeof lines === 'number' ? lines : 1;
    return err([{line, column: '', problem}]);
  }
};

const checkHeader = (cells: readonly string[]): readonly SheetFault[] => {
  const fault = (column: string, problem: string): SheetFault => ({
    line: 1,
    column,
    problem,
  });
  const known: readonly string[] = SHEET_COLUMNS;
  return [
    ...known
      .filter((column) => !cells.includes(column))
      .map((column) => fault(column, 'column is missing')),
    ...cells
      .filter((cell) => !known.includes(cell))
      .map((cell) => fault(cell, 'column is unknown')),
    ...cells
      .filter(
        (cell, index) => known.includes(cell) && cells.indexOf(cell) < index,
      )
      .map((cell) => fault(cell, 'column is named twice')),
  ];
};

const readRows = (
  columns: readonly SheetColumn[],
  records: readonly SheetRecord[],
  today: string,
): Result<readonly SheetRow[], readonly SheetFault[]> => {
  const rows: SheetRow[] = [];
  const faults: SheetFault[] = [];
  const linesByAdapter = new Map<string, number>();
  if (records.length > MAXIMUM_ROWS) {
    const problem = `more than ${MAXIMUM_ROWS} rows`;
    return err([{line: MAXIMUM_ROWS + 2, column: '', problem}]);
  }
  for (const record of records) {
    const {line} = record;
    readRow(columns, record, today).match(
      (row) => {
        const earlier = linesByAdapter.get(row.adapter);
        if (earlier !== undefined) {
          const problem = `adapter is listed in line ${earlier} already`;
          faults.push({line, column: 'adapter', problem});
        }
        linesByAdapter.set(row.adapter, line);
        rows.push(row);
      },
      (rowFaults) => faults.push(...rowFaults),
    );
  }
  return faults.length > 0 ? err(faults) : ok(rows);
};

const readRow = (
  columns: readonly SheetColumn[],
  {line, cells}: SheetRecord,
  today: string,
): Result<SheetRow, readonly SheetFault[]> => {
  if (cells.length !== columns.length) {
    const problem = `has ${cells.length} cells, not ${columns.length}`;
    return err([{line, column: '', problem}]);
  }
  const parsed = sheetRowSchema.safeParse(
    Object.fromEntries(columns.map((column, index) => [column, cells[index]])),
  );
  if (!parsed.success) {
    return err(
      parsed.error.issues.map(({path, message}) => ({
        line,
        column: String(path[0]),
        problem: message,
      })),
    );
  }
  const {adapter, base_model, version, urgency, priority, service, retire} =
    parsed.data;
  return ok({
    adapter,
    baseModel: base_model,
    version,
    urgency,
    priorityClass: priority,
    pool: service,
    retired: retire === 'yes' || (retire !== 'no' && retire <= today),
  });
};
