import {createHash} from 'node:crypto';

import {z} from 'zod';

import {ItemDecoder} from './item-decoder.js';
import type {StoredItem} from './store-views.js';

/** Addresses of an entry host; changes only when they do. */
export const hostRecordSchema = z.object({
  type: z.literal('host'),
  host: z.string(),
  zone: z.string(),
  /** Address of the listener for other entry hosts, IP address and port. */
  peerAddress: z.string(),
  /** Address that callers connect to, IP address and port. */
  callerAddress: z.string(),
});
export type HostRecord = z.infer<typeof hostRecordSchema>;

/** The one host that issues load and unload orders to a server. */
export const claimRecordSchema = z.object({
  type: z.literal('claim'),
  /** Id of the server. */
  server: z.string(),
  host: z.string(),
  /** Fencing number, incremented whenever the claim changes hands. */
  fence: z.number().int().positive(),
  /**
   * Previous holder, which may not know of the change yet; orders wait until
   * the takeover is complete.
   */
  takenFrom: z.string().optional(),
});
export type ClaimRecord = z.infer<typeof claimRecordSchema>;

/** A key whose requests crash servers and are therefore not sent to any. */
export const quarantineRecordSchema = z.object({
  type: z.literal('quarantine'),
  key: z.string(),
  /** Crashes that are attributed to it. */
  crashes: z.number().int().positive(),
});
export type QuarantineRecord = z.infer<typeof quarantineRecordSchema>;

/** The versions of server software that may have begun streams of a service. */
export const softwareVersionsRecordSchema = z.object({
  type: z.literal('software-versions'),
  service: z.string(),
  versions: z.array(z.string()),
  /**
   * The version at which a stream began that no host was told of. Streams of the
   * others begin once keepers have acknowledged them.
   */
  defaultVersion: z.string().optional(),
});
export type SoftwareVersionsRecord = z.infer<
  typeof softwareVersionsRecordSchema
>;

/** Where the streams of a host began that have not ended. */
export const streamRecordSchema = z.object({
  host: z.string(),
  /** Id of the request and version of the server's software. */
  streams: z.array(z.tuple([z.string(), z.string()])),
});
export type StreamRecord = z.infer<typeof streamRecordSchema>;

/** Records that entry hosts keep in the platform's store. */
export const fleetRecordSchema = z.discriminatedUnion('type', [
  hostRecordSchema,
  claimRecordSchema,
  quarantineRecordSchema,
  softwareVersionsRecordSchema,
]);
export type FleetRecord = z.infer<typeof fleetRecordSchema>;

const fleetRecords = new ItemDecoder(fleetRecordSchema);

/** Returns the record that an item holds; undefined if it is malformed. */
export const decodeFleetRecord = (item: StoredItem): FleetRecord | undefined =>
  fleetRecords.decode(item);

/** Digest of a key, which may have characters that names may not. */
const digestOf = (key: string): string =>
  createHash('sha256').update(key).digest('hex').slice(0, 32);

export const quarantineRecordName = (key: string): string =>
  `quarantine.${digestOf(key)}`;
export const softwareVersionsRecordName = (service: string): string =>
  `software-versions.${digestOf(service)}`;
export const hostRecordName = (host: string): string => `host.${host}`;
export const claimRecordName = (server: string): string => `claim.${server}`;
