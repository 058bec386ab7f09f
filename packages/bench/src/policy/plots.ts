import {parse, View} from 'vega';
import {compile, type TopLevelSpec} from 'vega-lite';

import type {MeanResult} from './report.js';

/** A figure of the report, one bar for each policy. */
export interface Plot {
  readonly name: string;
  readonly svg: string;
}

const MEASURES: readonly {
  readonly field: keyof MeanResult;
  readonly title: string;
}[] = [
  {field: 'urgentStallP99Ms', title: 'Urgent load stall, p99 (ms)'},
  {field: 'batchEfficiency', title: 'Batch efficiency'},
  {field: 'onTimeFraction', title: 'Answered in time'},
  {field: 'loads', title: 'Adapter loads'},
];

/** Draws one plot for each measure. */
export const drawPlots = async (
  means: readonly MeanResult[],
): Promise<readonly Plot[]> =>
  Promise.all(
    MEASURES.map(async ({field, title}) => {
      const {spec} = compile(specOf(means, field, title));
      const svg = await new View(parse(spec), {renderer: 'none'}).toSVG();
      return {name: field, svg};
    }),
  );

const specOf = (
  means: readonly MeanResult[],
  field: keyof MeanResult,
  title: string,
): TopLevelSpec => ({
  $schema: 'https://vega.github.io/schema/vega-lite/v6.json',
  title,
  data: {values: [...means]},
  mark: 'bar',
  encoding: {
    x: {field: 'scenario', type: 'nominal', sort: null, title: null},
    xOffset: {field: 'policy'},
    y: {field, type: 'quantitative', title},
    color: {field: 'policy', type: 'nominal'},
  },
});
