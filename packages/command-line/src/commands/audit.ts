import type {AuditEntry} from '@basilworks/core';
import {
  auditViewSchema,
  OPERATOR_PATHS,
  type AuditView,
  type HistoryView,
} from '@basilworks/protocol';
import {Command} from 'commander';
import {err, ok} from 'neverthrow';

import {askEveryHost, reportSilent} from '../lib/every-host.js';
import {printValue, type Listing} from '../lib/output.js';
import type {CommandRunner} from '../lib/run.js';
import {
  addTargetOptions,
  resolveTarget,
  type TargetOptions,
} from '../lib/target-options.js';
import {readHistory} from './history.js';

/** An entry; without a time where only the platform still knows of it. */
type ShownEntry = Omit<AuditEntry, 'atWallMs' | 'host'> &
  Partial<Pick<AuditEntry, 'atWallMs' | 'host'>>;

/** `basilworks audit`: the trail of all hosts and of the platform. */
export const createAuditCommand = (runner: CommandRunner): Command =>
  addTargetOptions(new Command('audit'))
    .description('show who changed what')
    .action(
      runner.wrap(async (context, options: TargetOptions) => {
        const target = resolveTarget(context, options);
        if (target.isErr()) {
          return err(target.error);
        }
        const rings = await askEveryHost(
          context,
          target.value,
          OPERATOR_PATHS.audit,
          auditViewSchema,
        );
        if (rings.isErr()) {
          return err(rings.error);
        }
        const history = await readHistory(context, target.value);
        if (history.isErr()) {
          return err(history.error);
        }
        const entries = combineEntries(rings.value.answers, history.value);
        printValue(context, options.json ?? false, entries, toListing);
        return ok(reportSilent(context, rings.value));
      }),
    );

/**
 * The entries of all hosts in order of their clocks, after the revisions whose
 * host is gone with its entries.
 */
export const combineEntries = (
  rings: readonly AuditView[],
  {revisions}: HistoryView,
): readonly ShownEntry[] => {
  const entries = rings
    .flatMap((ring) => ring.entries)
    .sort((first, second) => first.atWallMs - second.atWallMs);
  const known = new Set(
    entries
      .filter(({action}) => action === 'sheet-applied')
      .map(({revision}) => revision),
  );
  const kept = revisions
    .filter(({revision}) => !known.has(revision))
    .reverse()
    .map(({revision, operator, changeCount}): ShownEntry => ({
      actor: operator,
      action: 'sheet-applied',
      subject: 'configuration',
      revision,
      after: `${changeCount} adapters changed`,
    }));
  return [...kept, ...entries];
};

const toListing = (entries: readonly ShownEntry[]): Listing => ({
  headings: ['time', 'host', 'actor', 'action', 'subject', 'before', 'after'],
  rows: entries.map((entry) => [
    entry.atWallMs === undefined
      ? undefined
      : new Date(entry.atWallMs).toISOString(),
    entry.host,
    entry.actor,
    entry.action,
    entry.subject,
    entry.before,
    entry.after,
  ]),
});
