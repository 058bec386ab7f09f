import {
  hostsViewSchema,
  loadsViewSchema,
  OPERATOR_PATHS,
  serversViewSchema,
  type HostsView,
  type LoadsView,
  type ServersView,
  type ServerView,
} from '@basilworks/protocol';
import {Command} from 'commander';

import {showFleetView, type FleetView} from '../lib/fleet-command.js';
import type {Listing} from '../lib/output.js';
import type {CommandRunner} from '../lib/run.js';
import {addTargetOptions, type TargetOptions} from '../lib/target-options.js';

/** `basilworks hosts`: each entry host as it sees itself. */
export const createHostsCommand = (runner: CommandRunner): Command =>
  fleetCommand(runner, 'hosts', 'list the entry hosts', {
    path: OPERATOR_PATHS.hosts,
    answer: hostsViewSchema,
    combine: (answers) =>
      [...answers].sort((first, second) =>
        first.host.localeCompare(second.host),
      ),
    toListing: toHostListing,
  });

/** `basilworks servers`: the servers with their owners and slots. */
export const createServersCommand = (runner: CommandRunner): Command =>
  fleetCommand(runner, 'servers', 'list the servers, owners and slots', {
    path: OPERATOR_PATHS.servers,
    answer: serversViewSchema,
    combine: combineServers,
    toListing: toServerListing,
  });

/** `basilworks loads`: what waits at the weight store. */
export const createLoadsCommand = (runner: CommandRunner): Command =>
  fleetCommand(runner, 'loads', 'list adapter loads that wait or run', {
    path: OPERATOR_PATHS.loads,
    answer: loadsViewSchema,
    combine: (answers) => answers.flatMap(({loads}) => loads),
    toListing: toLoadListing,
  });

/** One server of many answers: its owner's, where that answered. */
export const combineServers = (
  answers: readonly ServersView[],
): readonly ServerView[] => {
  const byName = new Map<string, ServerView>();
  for (const view of answers.flatMap(({servers}) => servers)) {
    if (view.owned !== undefined || !byName.has(view.server)) {
      byName.set(view.server, view);
    }
  }
  return [...byName.values()].sort((first, second) =>
    first.server.localeCompare(second.server),
  );
};

const fleetCommand = <Answer, Value>(
  runner: CommandRunner,
  name: string,
  description: string,
  view: FleetView<Answer, Value>,
): Command =>
  addTargetOptions(new Command(name))
    .description(description)
    .action(
      runner.wrap((context, options: TargetOptions) =>
        showFleetView(context, options, view),
      ),
    );

const toHostListing = (hosts: readonly HostsView[]): Listing => ({
  headings: ['host', 'zone', 'standing', 'ready', 'revision', 'servers'],
  rows: hosts.map((host) => [
    host.host,
    host.zone,
    host.standing,
    host.ready ? 'yes' : host.reason,
    host.revision,
    host.ownedServers,
  ]),
});

const toServerListing = (servers: readonly ServerView[]): Listing => ({
  headings: [
    'server',
    'zone',
    'pool',
    'state',
    'owner',
    'fencing',
    'running',
    'resident',
  ],
  rows: servers.map(({owned, ...server}) => [
    server.server,
    server.zone,
    server.pool,
    server.state,
    server.owner,
    owned?.fencingNumber,
    owned === undefined
      ? undefined
      : `${owned.running}/${server.batchPositions}`,
    owned?.slotsInUse
      .map(({adapter, version}) => `${adapter}@${version}`)
      .join(' '),
  ]),
});

const toLoadListing = (loads: LoadsView['loads']): Listing => ({
  headings: ['load', 'state', 'server', 'adapter', 'urgency', 'since'],
  rows: loads.map((load) => [
    load.loadId,
    load.state,
    load.server,
    load.adapter === undefined
      ? undefined
      : `${load.adapter}@${load.version ?? ''}`,
    load.urgency,
    `${Math.round(load.sinceMs)} ms`,
  ]),
});
