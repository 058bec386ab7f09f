import {
  adaptersViewSchema,
  OPERATOR_PATHS,
  type AdaptersView,
} from '@basilworks/protocol';
import {Command} from 'commander';
import {err, ok} from 'neverthrow';

import {CommandError} from '../lib/command-error.js';
import {EXIT_CODES} from '../lib/exit-code.js';
import {sendOperatorRequest} from '../lib/operator-client.js';
import {printValue, type Listing} from '../lib/output.js';
import type {CommandRunner} from '../lib/run.js';
import {
  addTargetOptions,
  resolveTarget,
  type TargetOptions,
} from '../lib/target-options.js';

/** `basilworks adapters`: the configuration in force. */
export const createAdaptersCommand = (runner: CommandRunner): Command =>
  addTargetOptions(new Command('adapters'))
    .description('list the adapters of the configuration in force')
    .argument('[name]', 'show only this adapter')
    .action(
      runner.wrap(
        async (context, name: string | undefined, options: TargetOptions) => {
          const target = resolveTarget(context, options);
          if (target.isErr()) {
            return err(target.error);
          }
          const answer = await sendOperatorRequest(
            target.value,
            {
              method: 'GET',
              path: OPERATOR_PATHS.adapters,
              answer: adaptersViewSchema,
            },
            context.signal,
          );
          return answer.andThen((view) => {
            const shown = filterByName(view, name);
            if (name !== undefined && shown.adapters.length === 0) {
              const message = `the adapter ${name} is unknown`;
              return err(new CommandError(message, EXIT_CODES.notFound));
            }
            printValue(context, options.json ?? false, shown, toListing);
            return ok(EXIT_CODES.success);
          });
        },
      ),
    );

const filterByName = (
  {revision, adapters}: AdaptersView,
  name: string | undefined,
): AdaptersView => ({
  revision,
  adapters: adapters.filter(
    ({adapter}) => name === undefined || adapter === name,
  ),
});

const toListing = ({adapters}: AdaptersView): Listing => ({
  headings: ['adapter', 'version', 'service', 'priority', 'urgency', 'home'],
  rows: adapters.map((entry) => [
    entry.adapter,
    entry.retired ? 'retired' : entry.version,
    entry.pool,
    entry.priorityClass,
    entry.urgency,
    entry.home,
  ]),
});
