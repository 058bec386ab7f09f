import {
  CONFIGURATION_HEAD,
  type ConfigurationHead,
  configurationHeadSchema,
} from '@basilworks/core';

import type {History, SheetOutcome} from '../history.js';
import {inOrder} from './claims.js';
import type {Violation} from './violation.js';

/**
 * The head moved by one revision at a time, and every operator was told what
 * became of the sheet.
 */
export const checkConfiguration = (history: History): readonly Violation[] => {
  const heads = inOrder(history.writes)
    .filter(({operation}) => operation.kind === CONFIGURATION_HEAD.kind)
    .map(({operation, atMs}) => ({
      atMs,
      head: configurationHeadSchema.parse(JSON.parse(operation.value)),
    }));
  const violations: Violation[] = [];
  heads.forEach(({atMs, head}, index) => {
    const before = heads[index - 1]?.head.revision ?? 0;
    if (head.revision !== before + 1) {
      const detail = `revision ${head.revision} after ${before}`;
      violations.push({promise: 'head-not-linear', atMs, detail});
    }
  });
  return [
    ...violations,
    ...checkOutcomes(
      history.sheets,
      heads.map(({head}) => head),
    ),
    ...checkRevisions(history),
  ];
};

const checkOutcomes = (
  sheets: readonly SheetOutcome[],
  heads: readonly ConfigurationHead[],
): readonly Violation[] =>
  sheets.flatMap(({atMs, operator, result}) => {
    const moved = heads.filter((head) => head.operator === operator);
    const isTold = result.kind === 'applied';
    const isRight =
      result.kind === 'outcome-unknown' ||
      (isTold
        ? moved.length === 1 && moved[0]?.revision === result.revision
        : moved.length === 0);
    const detail = `${operator}: ${result.kind}, moved ${moved.length} times`;
    return isRight ? [] : [{promise: 'submission-misreported', atMs, detail}];
  });

const checkRevisions = ({revisions}: History): readonly Violation[] => {
  const newest = new Map<string, number>();
  return revisions.flatMap(({atMs, incarnation, revision}) => {
    const known = newest.get(incarnation) ?? 0;
    newest.set(incarnation, revision);
    const detail = `${incarnation}: ${revision} after ${known}`;
    return revision > known ? [] : [{promise: 'revision-fell', atMs, detail}];
  });
};
