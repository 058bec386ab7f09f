import {z} from 'zod';

/** Where an entry host is reached; changes only when it moves. */
export const hostRecordSchema = z.object({
  type: z.literal('host'),
  host: z.string(),
  zone: z.string(),
  /** Address of the listener for other entry hosts, IP number and port. */
  peerAddress: z.string(),
  /** Address that callers connect to, IP number and port. */
  callerAddress: z.string(),
});
export type HostRecord = z.infer<typeof hostRecordSchema>;

/** Which host alone issues load and unload orders to a server. */
export const claimRecordSchema = z.object({
  type: z.literal('claim'),
  /** Identity of the server. */
  server: z.string(),
  host: z.string(),
  /** Grows whenever the claim changes hands. */
  fence: z.number().int().positive(),
  /** Host that held it before and may not know; orders have to wait for it. */
  takenFrom: z.string().optional(),
});
export type ClaimRecord = z.infer<typeof claimRecordSchema>;

/** What entry hosts keep in the platform's store. */
export const fleetRecordSchema = z.discriminatedUnion('type', [
  hostRecordSchema,
  claimRecordSchema,
]);
export type FleetRecord = z.infer<typeof fleetRecordSchema>;

export const hostRecordName = (host: string): string => `host.${host}`;
export const claimRecordName = (server: string): string => `claim.${server}`;
