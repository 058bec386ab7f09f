import {z} from 'zod';

import {hostIdSchema, serverIdSchema, zoneIdSchema} from './identifiers.js';

/** An upstream server as the host list describes it. */
export const serverDescriptionSchema = z.object({
  server: serverIdSchema,
  zone: zoneIdSchema,
  /** Group of interchangeable servers, for example `billing-desk`. */
  pool: z.string(),
  kind: z.enum(['engine', 'plain']),
  /** IP number and port, for example `127.0.0.1:4100`. */
  address: z.string(),
  baseModel: z.string().optional(),
  /** Adapter slots; zero for plain services. */
  slots: z.number().int().nonnegative(),
  /** Requests that the server runs at once. */
  batchPositions: z.number().int().positive(),
  /** Whether the server refuses orders that carry an old fencing number. */
  checksFencing: z.boolean(),
  state: z.enum(['live', 'leaving']),
});
export type ServerDescription = z.infer<typeof serverDescriptionSchema>;

/** An entry host as the host list describes it. */
export const entryHostSchema = z.object({
  host: hostIdSchema,
  zone: zoneIdSchema,
  /** Address of the gRPC listener for peers, IP number and port. */
  peerAddress: z.string(),
  /** Address of the HTTP listener for callers, IP number and port. */
  callerAddress: z.string(),
  state: z.enum(['live', 'leaving']),
});
export type EntryHost = z.infer<typeof entryHostSchema>;

/** The platform's host list, as one read returned it. */
export const hostListSchema = z.object({
  /** Grows with each change of the list. */
  version: z.number().int().nonnegative(),
  entryHosts: z.array(entryHostSchema),
  servers: z.array(serverDescriptionSchema),
});
export type HostList = z.infer<typeof hostListSchema>;
