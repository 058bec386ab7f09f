import {hashFraction, rankByRendezvous} from '@basilworks/core';

import type {HostStatus} from './host-table.js';

/**
 * Hosts up to which all share the same readers: each of these answers twice as
 * many exchanges a second, a few hundredths of a core.
 */
const SINGLE_GROUP_HOSTS = 24;

/** Most hosts of one zone that share readers, for the same reason. */
const MAXIMUM_GROUP_HOSTS = 64;

/** A host with less than this share of the largest capacity reads last. */
const ABLE_SHARE = 0.5;

/** Hosts that share readers, one to each kind or a few. */
export interface ReaderGroup {
  readonly name: string;
  readonly hosts: readonly HostStatus[];
  /** Most readers of a kind. */
  readonly maximumReaders: number;
}

/**
 * Readers in the one group of a small fleet: a lost one is made up for at once.
 * Where there are many groups, the hosts of one read for themselves until the
 * next reader has taken over.
 */
const SINGLE_GROUP_READERS = 2;

/**
 * Divides hosts into the groups that share readers: one for all in a small
 * fleet, else one for each zone or part of a zone. So the work of a reader and
 * the bytes between zones stay flat as the fleet grows, and reads of the store
 * grow with zones.
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
 * Ranks a group's hosts for reading: those that the store serves, or all while
 * it serves none; large machines before small ones, else by a stable hash.
 */
export const rankReaders = ({hosts}: ReaderGroup): readonly HostStatus[] => {
  const serving = hosts.filter(({readsStore}) => readsStore);
  const able = serving.length > 0 ? serving : hosts;
  const largest = Math.max(0, ...able.map(({capacity}) => capacity));
  const byHost = new Map(able.map((status) => [status.host, status]));
  const ranked = rankByRendezvous('store-reader', [...byHost.keys()]).flatMap(
    (host) => byHost.get(host) ?? [],
  );
  const isLarge = ({capacity}: HostStatus) => capacity >= largest * ABLE_SHARE;
  return [
    ...ranked.filter((status) => isLarge(status)),
    ...ranked.filter((status) => !isLarge(status)),
  ];
};
