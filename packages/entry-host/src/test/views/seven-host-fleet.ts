import {FleetSimulation} from './fleet-simulation.js';

/** Bound on requests to a leaving server, from the store's word on, ms. */
export const LEAVING_BOUND_MS = 2_000;

export const HOSTS = 7;

/** Between two beats of a server, milliseconds. */
export const HEARTBEAT_PERIOD_MS = 1_200;

/** Servers that write their beats. */
export const SERVERS = ['s0', 's1', 's2', 's3', 's4', 's5'];

/** Hosts that all know the servers. */
export const deploy = async (): Promise<FleetSimulation> => {
  const fleet = new FleetSimulation(HOSTS);
  for (const id of SERVERS) {
    fleet.putServer(id);
  }
  fleet.startHeartbeats(() => SERVERS, HEARTBEAT_PERIOD_MS);
  await fleet.start();
  return fleet;
};

/** Hosts that would send to a server. */
export const senders = (fleet: FleetSimulation, server: string): string[] =>
  [...fleet.hosts.values()]
    .filter((host) => host.wouldSendTo(server))
    .map(({name}) => name);

/** All hosts but some. */
export const others = (
  fleet: FleetSimulation,
  names: readonly string[],
): string[] => fleet.names.filter((name) => !names.includes(name));
