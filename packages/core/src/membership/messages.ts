import {z} from 'zod';

import {hostIdSchema} from '../identifiers.js';
import {hostListSchema} from '../server.js';

/** Tells a peer that the sender leaves; it gets no new work from now on. */
const hostLeavingSchema = z.object({type: z.literal('host-leaving')});

/**
 * Asks a peer for its copies of the platform's state. Versions that the sender
 * knows come back as unchanged, without their values.
 */
const platformStateAskedSchema = z.object({
  type: z.literal('platform-state-asked'),
  /** Returned with the answer; unique within the sender's incarnation. */
  ask: z.string(),
  hostListVersion: z.number().int(),
  records: z.array(z.object({zone: z.string(), version: z.number().int()})),
});

/** Copies of the platform's state with their ages at the sender. */
const platformStateAnsweredSchema = z.object({
  type: z.literal('platform-state-answered'),
  ask: z.string(),
  hostList: z
    .object({
      /** Milliseconds since the start of the read that returned it. */
      ageMs: z.number().nonnegative(),
      /** Undefined when the asker knows this version already. */
      list: hostListSchema.optional(),
    })
    .optional(),
  records: z.array(
    z.object({
      zone: z.string(),
      version: z.number().int(),
      ageMs: z.number().nonnegative(),
      /** Undefined when unchanged, or when version zero has no object. */
      value: z.string().optional(),
    }),
  ),
  /** Revision of the configuration in force at the sender. */
  revision: z.number().int().nonnegative(),
  /** Hosts of the sender's zone that left its asks without an answer. */
  silent: z.array(hostIdSchema),
});
export type PlatformStateAnswer = z.infer<typeof platformStateAnsweredSchema>;

/** Messages between entry hosts that the membership area handles. */
export const membershipMessageSchemas = [
  hostLeavingSchema,
  platformStateAskedSchema,
  platformStateAnsweredSchema,
] as const;
