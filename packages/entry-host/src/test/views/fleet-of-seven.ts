import {ViewFleet} from './view-fleet.js';

/** Bound on requests to a leaving server, from the store's word on, ms. */
export const LEAVING_BOUND_MS = 2_000;

/** Servers that write their beats. */
export const SERVERS = ['s0', 's1', 's2', 's3', 's4', 's5'];

/** Hosts that all know the servers. */
export const deploy = async (hosts = 7): Promise<ViewFleet> => {
  const fleet = new ViewFleet(hosts);
  for (const id of SERVERS) {
    fleet.putServer(id);
  }
  fleet.beat(() => SERVERS, 1_200);
  await fleet.start();
  return fleet;
};

/** Hosts that would send to a server. */
export const senders = (fleet: ViewFleet, server: string): string[] =>
  [...fleet.hosts.values()]
    .filter((host) => host.sendsTo(server))
    .map(({name}) => name);

/** All hosts but some. */
export const others = (fleet: ViewFleet, names: readonly string[]): string[] =>
  fleet.names.filter((name) => !names.includes(name));
