import {z} from 'zod';

import {adapterVersionSchema, serverIdSchema} from '../identifiers.js';

/** Owner to holder: asks for leave to load; repeated while it is wanted. */
const loadRequestedSchema = z.object({
  type: z.literal('load-requested'),
  loadId: z.string(),
  server: serverIdSchema,
  wanted: adapterVersionSchema,
  /** Requests that wait for the load, each weighted by class and urgency. */
  urgency: z.number().nonnegative(),
  /** Smallest time that a waiting request still has. */
  slackMs: z.number(),
  /** Whether the load is under way, granted by an earlier holder. */
  inTransit: z.boolean(),
});
export type LoadRequested = z.infer<typeof loadRequestedSchema>;

/** Holder to owner: the load may start within the validity of the grant. */
const loadGrantedSchema = z.object({
  type: z.literal('load-granted'),
  loadId: z.string(),
  server: serverIdSchema,
  /** Expected wait of a load that is asked for now. */
  backlogMs: z.number().nonnegative(),
});
export type LoadGranted = z.infer<typeof loadGrantedSchema>;

/** Owner to holder: the load has ended, or is no longer wanted. */
const loadReleasedSchema = z.object({
  type: z.literal('load-released'),
  loadId: z.string(),
  /** Whether the store was asked for the weights. */
  used: z.boolean(),
});
export type LoadReleased = z.infer<typeof loadReleasedSchema>;

/** Messages between entry hosts that the load-budget area handles. */
export const loadBudgetMessageSchemas = [
  loadRequestedSchema,
  loadGrantedSchema,
  loadReleasedSchema,
] as const;
