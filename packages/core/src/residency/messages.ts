import {z} from 'zod';

import {
  adapterVersionSchema,
  hostIdSchema,
  serverIdSchema,
} from '../identifiers.js';

/** Home to owner: asks for summaries of a server for a while. */
const summaryWantedSchema = z.object({
  type: z.literal('summary-wanted'),
  server: serverIdSchema,
});

/** State of one slot as an owner tells it to an adapter's home. */
export const slotSummarySchema = adapterVersionSchema.extend({
  state: z.enum(['ready', 'loading', 'absent']),
});
export type SlotSummary = z.infer<typeof slotSummarySchema>;

const serviceTimeSchema = z.object({
  meanMs: z.number().nonnegative(),
  deviationMs: z.number().nonnegative(),
});

/** Owner to home: how busy a server is and what it holds of that home. */
const serverSummarySchema = z.object({
  type: z.literal('server-summary'),
  server: serverIdSchema,
  /** Orders the summaries of one incarnation of an owner. */
  sequence: z.number().int(),
  running: z.number().int().nonnegative(),
  /** Waiting executions by priority class, urgent first. */
  waiting: z.array(z.number().int().nonnegative()).length(3),
  /** Mean time for which one request holds a batch position. */
  serviceMs: z.number().nonnegative(),
  /** The same by class, with its mean absolute deviation. */
  serviceTimes: z.object({
    urgent: serviceTimeSchema,
    standard: serviceTimeSchema,
    deferrable: serviceTimeSchema,
  }),
  /** Expected time from a wish for an urgent load to its end. */
  loadWaitMs: z.number().nonnegative(),
  /** Slots that are free or can be made free. */
  usableSlots: z.number().int().nonnegative(),
  /** Expected cost per second of the eviction that a load needs. */
  evictionRate: z.number().nonnegative(),
  slots: z.array(slotSummarySchema),
});
export type ServerSummary = z.infer<typeof serverSummarySchema>;

/** Home to owner: load an adapter version before a request needs it. */
const adapterWantedSchema = z.object({
  type: z.literal('adapter-wanted'),
  server: serverIdSchema,
  wanted: adapterVersionSchema,
  home: hostIdSchema,
});
export type AdapterWanted = z.infer<typeof adapterWantedSchema>;

/** Messages between entry hosts that the residency area handles. */
export const residencyMessageSchemas = [
  summaryWantedSchema,
  serverSummarySchema,
  adapterWantedSchema,
] as const;
