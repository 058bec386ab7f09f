import {FleetSimulation} from './fleet-simulation.js';

/**
 * Time after which no request may go to a leaving server, counted from when the
 * store acknowledged that it leaves, milliseconds.
 */
export const LEAVING_BOUND_MS = 2_000;

/** Number of hosts of the fleet. */
export const HOST_COUNT = 7;

/** Heartbeat period of servers, milliseconds. */
export const HEARTBEAT_PERIOD_MS = 1_200;

/** Servers that send heartbeats. */
export const SERVER_IDS = ['s0', 's1', 's2', 's3', 's4', 's5'];

/** Starts a fleet whose hosts all have the servers in their views. */
export const startSevenHostFleet = async (): Promise<FleetSimulation> => {
  const fleet = new FleetSimulation(HOST_COUNT);
  for (const id of SERVER_IDS) {
    fleet.putServer(id);
  }
  fleet.startHeartbeats(() => SERVER_IDS, HEARTBEAT_PERIOD_MS);
  await fleet.start();
  return fleet;
};

/** Names of the hosts that would send requests to a server. */
export const hostsSendingTo = (
  fleet: FleetSimulation,
  server: string,
): string[] =>
  [...fleet.hosts.values()]
    .filter((host) => host.wouldSendTo(server))
    .map(({name}) => name);

/** Names of all hosts except the given ones. */
export const hostsExcept = (
  fleet: FleetSimulation,
  names: readonly string[],
): string[] => fleet.names.filter((name) => !names.includes(name));
