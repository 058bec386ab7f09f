import {z} from 'zod';

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

/** Records that entry hosts keep in the platform's store. */
export const fleetRecordSchema = z.discriminatedUnion('type', [
  hostRecordSchema,
  claimRecordSchema,
]);
export type FleetRecord = z.infer<typeof fleetRecordSchema>;

export const hostRecordName = (host: string): string => `host.${host}`;
export const claimRecordName = (server: string): string => `claim.${server}`;
