import {z} from 'zod';

import {adapterVersionSchema, serverIdSchema} from '../identifiers.js';

/** Offers servers to a peer, which may take them over at once. */
const serversOfferedSchema = z.object({
  type: z.literal('servers-offered'),
  servers: z.array(serverIdSchema),
});

/** Accepts an offer, for the incarnation that the transport names. */
const serversAcceptedSchema = z.object({
  type: z.literal('servers-accepted'),
  servers: z.array(serverIdSchema),
});

/** Tells the new owner what the sender's requests still use. */
const serverHandedOverSchema = z.object({
  type: z.literal('server-handed-over'),
  server: serverIdSchema,
  fencingNumber: z.number().int().positive(),
  inFlight: z.array(adapterVersionSchema),
});

/** Messages between entry hosts that the ownership area handles. */
export const ownershipMessageSchemas = [
  serversOfferedSchema,
  serversAcceptedSchema,
  serverHandedOverSchema,
] as const;
