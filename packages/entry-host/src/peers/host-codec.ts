import {type HostEntry, MAXIMUM_UNREACHED} from '@basilworks/dispatch';
import type {fleet} from '@basilworks/protocol';
import {z} from 'zod';

const addressSchema = z.string().regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/);

/**
 * Schema of a usable status; peers of older builds send no version. `gone`
 * marks a host that failed and was removed from membership.
 */
const entrySchema = z.object({
  host: z.string().min(1),
  incarnation: z.string().min(1),
  zone: z.string().min(1),
  peerAddress: addressSchema,
  callerAddress: addressSchema,
  ready: z.boolean(),
  readsStore: z.boolean(),
  capacity: z.number().nonnegative(),
  version: z.number().int().positive(),
  gone: z.boolean(),
  relayAddress: addressSchema.optional(),
  cutFromServers: z.boolean().default(false),
  unreachedServers: z.array(z.string()).max(MAXIMUM_UNREACHED).default([]),
});

const FIELDS = (Object.keys(entrySchema.shape) as (keyof HostEntry)[]).filter(
  (field) => field !== 'unreachedServers',
);

/**
 * Decodes the status of a host; undefined if it is malformed. A status equal to
 * the `known` entry, of a host that reaches all servers, is the common case and
 * skips schema validation.
 */
export const decodeHost = (
  status: fleet.HostStatus | undefined,
  known?: HostEntry,
): HostEntry | undefined =>
  known !== undefined &&
  status !== undefined &&
  reachesAll(status) &&
  reachesAll(known) &&
  FIELDS.every((field) => status[field] === known[field])
    ? known
    : entrySchema.safeParse(status).data;

const reachesAll = ({
  unreachedServers = [],
}: Pick<HostEntry, 'unreachedServers'>): boolean =>
  unreachedServers.length === 0;

/** Encodes the entry of a host for peers. */
export const encodeHost = (entry: HostEntry): fleet.HostStatus => ({
  ...entry,
  relayAddress: entry.relayAddress,
  cutFromServers: entry.cutFromServers ?? false,
  unreachedServers: [...(entry.unreachedServers ?? [])],
});
