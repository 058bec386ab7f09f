import type {HostEntry} from '@basilworks/dispatch';
import type {fleet} from '@basilworks/protocol';
import {z} from 'zod';

const addressSchema = z.string().regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/);

/** What a usable status holds; a peer of an older build sends no version. */
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
});

const FIELDS = Object.keys(entrySchema.shape) as (keyof HostEntry)[];

/**
 * Decodes a peer's word on a host; undefined where it can't be used. A word that
 * repeats what is `known` of the host, as most do, is not checked again.
 */
export const decodeHost = (
  status: fleet.HostStatus | undefined,
  known?: HostEntry,
): HostEntry | undefined =>
  known !== undefined &&
  status !== undefined &&
  FIELDS.every((field) => status[field] === known[field])
    ? known
    : entrySchema.safeParse(status).data;

/** Encodes a word on a host for peers. */
export const encodeHost = (entry: HostEntry): fleet.HostStatus => ({...entry});
