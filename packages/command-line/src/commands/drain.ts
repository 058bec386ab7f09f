import {setTimeout as sleep} from 'node:timers/promises';

import {
  drainAnswerSchema,
  hostsViewSchema,
  OPERATOR_PATHS,
} from '@basilworks/protocol';
import {Command} from 'commander';
import {err, ok, type Result} from 'neverthrow';

import type {CommandContext} from '../lib/command-context.js';
import {CommandError} from '../lib/command-error.js';
import {listHosts, type HostTarget} from '../lib/every-host.js';
import {EXIT_CODES, type ExitCode} from '../lib/exit-code.js';
import {sendOperatorRequest} from '../lib/operator-client.js';
import type {CommandRunner} from '../lib/run.js';
import {
  addTargetOptions,
  resolveTarget,
  type TargetOptions,
} from '../lib/target-options.js';

const POLL_INTERVAL_MS = 500;
const DRAIN_TIMEOUT_MS = 60_000;

/** `basilworks drain`: makes a host hand over its work. */
export const createDrainCommand = (runner: CommandRunner): Command =>
  addTargetOptions(new Command('drain'))
    .description('make an entry host hand over its servers and take no work')
    .argument('<name>', 'name of the entry host')
    .action(
      runner.wrap(async (context, name: string, options: TargetOptions) => {
        const target = resolveTarget(context, options);
        if (target.isErr()) {
          return err(target.error);
        }
        const hosts = await listHosts(context, target.value);
        if (hosts.isErr()) {
          return err(hosts.error);
        }
        const host = hosts.value.find((listed) => listed.name === name);
        if (host === undefined) {
          const message = `the entry host ${name} is unknown`;
          return err(new CommandError(message, EXIT_CODES.notFound));
        }
        return drain(context, host);
      }),
    );

const drain = async (
  context: CommandContext,
  host: HostTarget,
): Promise<Result<ExitCode, CommandError>> => {
  const answer = await sendOperatorRequest(
    host,
    {method: 'POST', path: OPERATOR_PATHS.drain, answer: drainAnswerSchema},
    context.signal,
  );
  if (answer.isErr()) {
    return err(answer.error);
  }
  for (
    let waitedMs = 0;
    waitedMs < DRAIN_TIMEOUT_MS;
    waitedMs += POLL_INTERVAL_MS
  ) {
    const view = await sendOperatorRequest(
      host,
      {method: 'GET', path: OPERATOR_PATHS.hosts, answer: hostsViewSchema},
      context.signal,
    );
    if (view.isErr()) {
      return err(view.error);
    }
    const {ownedServers, standing} = view.value;
    context.report(`${host.name}: ${standing}, owns ${ownedServers} servers`);
    if (ownedServers === 0) {
      context.print(JSON.stringify({host: host.name, standing}));
      return ok(EXIT_CODES.success);
    }
    await sleep(POLL_INTERVAL_MS);
  }
  const message = `${host.name} did not hand over in time`;
  return err(new CommandError(message, EXIT_CODES.partial));
};
