import {z} from 'zod';

import {hostIdSchema} from '../identifiers.js';
import {hostListSchema} from '../server.js';

/** Announces that the sender leaves and accepts no new work from now on. */
const hostLeavingSchema = z.object({type: z.literal('host-leaving')});

/**
 * Queries a peer for its copies of the platform's state. The answer omits the
 * values of versions that the sender knows.
 */
const platformStateAskedSchema = z.object({
  type: z.literal('platform-state-asked'),
  /** Identifier of the query; unique within the sender's incarnation. */
  ask: z.string(),
  hostListVersion: z.number().int(),
  records: z.array(z.object({zone: z.string(), version: z.number().int()})),
});

/** Copies of the platform's state with their ages at the sender. */
const platformStateAnsweredSchema = z.object({
  type: z.literal('platform-state-answered'),
  /** Identifier of the answered query. */
  ask: z.string(),
  hostList: z
    .object({
      /** Milliseconds since the start of the read that returned it. */
      ageMs: z.number().nonnegative(),
      /** Undefined if the querying host knows this version. */
      list: hostListSchema.optional(),
    })
    .optional(),
  records: z.array(
    z.object({
      zone: z.string(),
      version: z.number().int(),
      ageMs: z.number().nonnegative(),
      /** Undefined if unchanged, or if version 0 has no object. */
      value: z.string().optional(),
    }),
  ),
  /** Revision of the configuration in force at the sender. */
  revision: z.number().int().nonnegative(),
  /** Hosts of the sender's zone that did not answer its queries. */
  silent: z.array(hostIdSchema),
});
export type PlatformStateAnswer = z.infer<typeof platformStateAnsweredSchema>;

/** Messages between entry hosts that the membership area handles. */
export const membershipMessageSchemas = [
  hostLeavingSchema,
  platformStateAskedSchema,
  platformStateAnsweredSchema,
] as const;
