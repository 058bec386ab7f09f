import {hostsViewSchema, OPERATOR_PATHS} from '@basilworks/protocol';
import {err, ok, type Result} from 'neverthrow';
import type {z} from 'zod';

import type {CommandContext} from './command-context.js';
import type {CommandError} from './command-error.js';
import {EXIT_CODES, type ExitCode} from './exit-code.js';
import {sendOperatorRequest, type Target} from './operator-client.js';

/** Hosts that are asked at once. */
const CONCURRENT_REQUESTS = 16;

/** What the hosts of a deployment answered. */
export interface HostAnswers<Answer> {
  readonly answers: readonly Answer[];
  /** Hosts that did not answer. */
  readonly silent: readonly string[];
}

/** One address to ask. */
export interface HostTarget extends Target {
  readonly name: string;
}

/** The hosts of the deployment, as the target host knows them. */
export const listHosts = async (
  context: CommandContext,
  target: Target,
): Promise<Result<readonly HostTarget[], CommandError>> => {
  const answer = await sendOperatorRequest(
    target,
    {method: 'GET', path: OPERATOR_PATHS.hosts, answer: hostsViewSchema},
    context.signal,
  );
  return answer.map(({hosts}) =>
    hosts.map(({host, callerAddress}) => ({
      name: host,
      host: callerAddress,
      token: target.token,
    })),
  );
};

/** Asks every host of the deployment for the same view. */
export const askEveryHost = async <Answer>(
  context: CommandContext,
  target: Target,
  path: string,
  answer: z.ZodType<Answer>,
): Promise<Result<HostAnswers<Answer>, CommandError>> => {
  const hosts = await listHosts(context, target);
  if (hosts.isErr()) {
    return err(hosts.error);
  }
  const answers: Answer[] = [];
  const silent: string[] = [];
  const left = [...hosts.value];
  const askNext = async (): Promise<void> => {
    for (let next = left.shift(); next; next = left.shift()) {
      const received = await sendOperatorRequest(
        next,
        {method: 'GET', path, answer},
        context.signal,
      );
      if (received.isOk()) {
        answers.push(received.value);
      } else {
        silent.push(next.name);
      }
    }
  };
  await Promise.all(Array.from({length: CONCURRENT_REQUESTS}, askNext));
  return ok({answers, silent});
};

/** Names the hosts that did not answer, and gives the exit code. */
export const reportSilent = (
  context: CommandContext,
  {silent}: HostAnswers<unknown>,
): ExitCode => {
  if (silent.length === 0) {
    return EXIT_CODES.success;
  }
  context.report(`basilworks: no answer from ${silent.join(', ')}`);
  return EXIT_CODES.partial;
};
