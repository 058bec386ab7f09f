import {
  decisionsViewSchema,
  OPERATOR_PATHS,
  type DecisionsView,
} from '@basilworks/protocol';
import {Argument, Command} from 'commander';

import {showFleetView} from '../lib/fleet-command.js';
import type {Listing} from '../lib/output.js';
import type {CommandRunner} from '../lib/run.js';
import {addTargetOptions, type TargetOptions} from '../lib/target-options.js';

/** A decision and the host that made it. */
type LocatedDecision = DecisionsView['decisions'][number] & {
  readonly host: string;
};

/** `basilworks explain`: the decisions about one request, adapter or server. */
export const createExplainCommand = (runner: CommandRunner): Command =>
  addTargetOptions(new Command('explain'))
    .description('show what was decided about something, and why')
    .addArgument(
      new Argument('<subject>').choices(['request', 'adapter', 'server']),
    )
    .argument('<name>', 'request identity, adapter or server')
    .action(
      runner.wrap(
        (context, subject: string, name: string, options: TargetOptions) =>
          showFleetView(context, options, {
            path: `${OPERATOR_PATHS.explain}/${subject}/${encodeURIComponent(name)}`,
            answer: decisionsViewSchema,
            combine: combineDecisions,
            toListing: toDecisionListing,
            isUnknown: (decisions) => decisions.length === 0,
          }),
      ),
    );

const combineDecisions = (
  answers: readonly DecisionsView[],
): readonly LocatedDecision[] =>
  answers
    .flatMap(({host, decisions}) =>
      decisions.map((decision) => ({...decision, host})),
    )
    .sort((first, second) => first.atWallMs - second.atWallMs);

const toDecisionListing = (decisions: readonly LocatedDecision[]): Listing => ({
  headings: ['time', 'host', 'decision', 'because'],
  rows: decisions.map(({atWallMs, host, decision, inputs}) => [
    new Date(atWallMs).toISOString(),
    host,
    decision,
    Object.entries(inputs)
      .map(([input, value]) => `${input}=${String(value)}`)
      .join(' '),
  ]),
});
