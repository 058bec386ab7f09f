import {err, ok, type Result} from 'neverthrow';
import type {z} from 'zod';

import type {CommandContext} from './command-context.js';
import type {CommandError} from './command-error.js';
import {askEveryHost, reportSilent} from './every-host.js';
import {EXIT_CODES, type ExitCode} from './exit-code.js';
import {printValue, type Listing} from './output.js';
import {resolveTarget, type TargetOptions} from './target-options.js';

/** A view that all hosts of a deployment give together. */
export interface FleetView<Answer, Value> {
  readonly path: string;
  readonly answer: z.ZodType<Answer>;
  /** Makes one value of what the hosts answered. */
  readonly combine: (answers: readonly Answer[]) => Value;
  readonly toListing: (value: Value) => Listing;
  /** Whether the value shows that no host knows what was asked for. */
  readonly isUnknown?: (value: Value) => boolean;
}

/** Asks all hosts, prints the combined value and names the silent hosts. */
export const showFleetView = async <Answer, Value>(
  context: CommandContext,
  options: TargetOptions,
  {path, answer, combine, toListing, isUnknown}: FleetView<Answer, Value>,
): Promise<Result<ExitCode, CommandError>> => {
  const target = resolveTarget(context, options);
  if (target.isErr()) {
    return err(target.error);
  }
  const received = await askEveryHost(context, target.value, path, answer);
  if (received.isErr()) {
    return err(received.error);
  }
  const value = combine(received.value.answers);
  printValue(context, options.json ?? false, value, toListing);
  const exitCode = reportSilent(context, received.value);
  return ok(
    exitCode === EXIT_CODES.success && isUnknown?.(value) === true
      ? EXIT_CODES.notFound
      : exitCode,
  );
};
