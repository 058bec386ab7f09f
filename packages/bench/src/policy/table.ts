import type {MeanResult} from './report.js';

const COLUMNS: readonly (keyof MeanResult)[] = [
  'scenario',
  'policy',
  'offered',
  'answered',
  'refused',
  'onTimeFraction',
  'loads',
  'wastedLoads',
  'urgentStallP50Ms',
  'urgentStallP99Ms',
  'stallP99Ms',
  'batchEfficiency',
];

/** Formats results as a Markdown table. */
export const toTable = (
  means: readonly MeanResult[],
  seeds: readonly number[],
): string => {
  const lines = means.map((mean) => toLine(COLUMNS.map((key) => mean[key])));
  return [
    `Means over the seeds ${seeds.join(', ')}; times in milliseconds.`,
    '',
    toLine(COLUMNS),
    toLine(COLUMNS.map(() => '---')),
    ...lines,
    '',
  ].join('\n');
};

const toLine = (cells: readonly (string | number)[]): string =>
  `| ${cells.join(' | ')} |`;
