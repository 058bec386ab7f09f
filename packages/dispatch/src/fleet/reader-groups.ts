import {hashFraction, rankByRendezvous} from '@basilworks/core';

import type {HostStatus} from './host-table.js';

/**
 * Largest fleet in which all hosts share the same readers. Each reader then
 * answers twice this many exchanges per second, a few hundredths of a core.
 */
const SINGLE_GROUP_HOSTS = 24;

/** Maximum hosts in a group of one zone, to bound the load of its reader. */
const MAXIMUM_GROUP_HOSTS = 64;

/** Hosts below this fraction of the largest capacity are ranked last. */
const LARGE_HOST_SHARE = 0.5;

/** Hosts that share the same store readers. */
export interface ReaderGroup {
  readonly name: string;
  readonly hosts: readonly HostStatus[];
  /** Maximum number of readers of each kind. */
  readonly maximumReaders: number;
}

/**
 * Readers in the single group of a small fleet, so that the loss of one has no
 * effect. With several groups, the hosts of a group that lost its reader read
 * the store themselves until the next reader takes over.
 */
const SINGLE_GROUP_READERS = 2;

/**
 * Partitions hosts into groups that share readers: a single group in a small
 * fleet, else one per zone or part of a zone. The load of a reader and the
 * traffic between zones thus stay constant as the fleet grows, and store reads
 * grow with the number of zones.
 */
export const partitionReaderGroups = (
  hosts: readonly HostStatus[],
): readonly ReaderGroup[] => {
  if (hosts.length <= SINGLE_GROUP_HOSTS) {
    return [{name: 'all', hosts, maximumReaders: SINGLE_GROUP_READERS}];
  }
  const byZone = new Map<string, HostStatus[]>();
  for (const status of hosts) {
    const list = byZone.get(status.zone) ?? [];
    list.push(status);
    byZone.set(status.zone, list);
  }
  return [...byZone].flatMap(([zone, members]) => {
    const parts = Math.ceil(members.length / MAXIMUM_GROUP_HOSTS);
    if (parts === 1) {
      return [{name: zone, maximumReaders: 1, hosts: members}];
    }
    return Array.from({length: parts}, (_unused, part) => ({
      name: `${zone}/${part}`,
      maximumReaders: 1,
      hosts: members.filter(
        ({host}) => Math.floor(hashFraction(`group\n${host}`) * parts) === part,
      ),
    }));
  });
};

/**
 * Ranks the hosts of a group as readers: those that can read the store, or all
 * if none can; large machines before small ones, then by rendezvous hashing.
 */
export const rankReaders = ({hosts}: ReaderGroup): readonly HostStatus[] => {
  const reachable = hosts.filter(({readsStore}) => readsStore);
  const eligible = reachable.length > 0 ? reachable : hosts;
  const largest = Math.max(0, ...eligible.map(({capacity}) => capacity));
  const byHost = new Map(eligible.map((status) => [status.host, status]));
  const ranked = rankByRendezvous('store-reader', [...byHost.keys()]).flatMap(
    (host) => byHost.get(host) ?? [],
  );
  const isLarge = ({capacity}: HostStatus) =>
    capacity >= largest * LARGE_HOST_SHARE;
  return [
    ...ranked.filter((status) => isLarge(status)),
    ...ranked.filter((status) => !isLarge(status)),
  ];
};
