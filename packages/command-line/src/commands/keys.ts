import {OPERATOR_PATHS, sheetAnswerSchema} from '@basilworks/protocol';
import {Command} from 'commander';
import {err, ok} from 'neverthrow';

import {EXIT_CODES} from '../lib/exit-code.js';
import {sendOperatorRequest} from '../lib/operator-client.js';
import type {CommandRunner} from '../lib/run.js';
import {
  addTargetOptions,
  resolveTarget,
  type TargetOptions,
} from '../lib/target-options.js';

/** `basilworks keys`: the keys that sign resume tokens. */
export const createKeysCommand = (runner: CommandRunner): Command => {
  const keys = new Command('keys').description(
    'manage the keys that sign resume tokens',
  );
  addTargetOptions(keys.command('rotate'))
    .description('sign with a new key; tokens of the previous one stay valid')
    .action(
      runner.wrap(async (context, options: TargetOptions) => {
        const target = resolveTarget(context, options);
        if (target.isErr()) {
          return err(target.error);
        }
        const answer = await sendOperatorRequest(
          target.value,
          {
            method: 'POST',
            path: OPERATOR_PATHS.keys,
            answer: sheetAnswerSchema,
          },
          context.signal,
        );
        return answer.andThen(({result}) => {
          context.print(JSON.stringify(result));
          return ok(
            result.kind === 'applied'
              ? EXIT_CODES.success
              : EXIT_CODES.unavailable,
          );
        });
      }),
    );
  return keys;
};
