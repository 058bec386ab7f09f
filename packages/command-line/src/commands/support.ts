import {
  OPERATOR_PATHS,
  serversViewSchema,
  type ServersView,
} from '@basilworks/protocol';
import {Command} from 'commander';

import {showFleetView} from '../lib/fleet-command.js';
import type {Listing} from '../lib/output.js';
import type {CommandRunner} from '../lib/run.js';
import {addTargetOptions, type TargetOptions} from '../lib/target-options.js';
import {combineServers} from './fleet.js';

/** What the servers of one pool offer and what is used of it. */
export interface PoolCapacity {
  readonly pool: string;
  readonly servers: number;
  /** Servers whose owner answered. */
  readonly observed: number;
  readonly slots: number;
  readonly slotsInUse: number;
  readonly batchPositions: number;
  readonly running: number;
}

/** `basilworks support`: figures that capacity planning starts from. */
export const createSupportCommand = (runner: CommandRunner): Command => {
  const support = new Command('support').description(
    'figures for planning and for reports of faults',
  );
  addTargetOptions(support.command('capacity'))
    .description('show what each pool offers and what is in use')
    .action(
      runner.wrap((context, options: TargetOptions) =>
        showFleetView(context, options, {
          path: OPERATOR_PATHS.servers,
          answer: serversViewSchema,
          combine: toCapacity,
          toListing,
        }),
      ),
    );
  return support;
};

/** Sums the servers of each pool. */
export const toCapacity = (
  answers: readonly ServersView[],
): readonly PoolCapacity[] => {
  const servers = combineServers(answers);
  return [...new Set(servers.map(({pool}) => pool))].map((pool) => {
    const members = servers.filter((server) => server.pool === pool);
    const sum = (amount: (server: (typeof members)[number]) => number) =>
      members.reduce((total, server) => total + amount(server), 0);
    return {
      pool,
      servers: members.length,
      observed: members.filter(({owned}) => owned !== undefined).length,
      slots: sum(({slots}) => slots),
      slotsInUse: sum(({owned}) => owned?.slotsInUse.length ?? 0),
      batchPositions: sum(({batchPositions}) => batchPositions),
      running: sum(({owned}) => owned?.running ?? 0),
    };
  });
};

const toListing = (pools: readonly PoolCapacity[]): Listing => ({
  headings: ['pool', 'servers', 'observed', 'slots in use', 'running'],
  rows: pools.map((pool) => [
    pool.pool,
    pool.servers,
    pool.observed,
    `${pool.slotsInUse}/${pool.slots}`,
    `${pool.running}/${pool.batchPositions}`,
  ]),
});
