import {z} from 'zod';

import {adapterEntrySchema} from './adapter-entry.js';
import {revisionSummarySchema} from './head.js';

/** Asks a peer for whatever is newer than the sender's revision. */
const configurationAskedSchema = z.object({
  type: z.literal('configuration-asked'),
  /** Zero asks for all entries. */
  revision: z.number().int().nonnegative(),
});

/** One portion of the difference between two revisions. */
const configurationUpdateSchema = z.object({
  type: z.literal('configuration-update'),
  /** Revision that the difference starts from; zero for all entries. */
  fromRevision: z.number().int().nonnegative(),
  summary: revisionSummarySchema,
  portion: z.number().int().nonnegative(),
  portions: z.number().int().positive(),
  entries: z.array(adapterEntrySchema),
});
export type ConfigurationUpdate = z.infer<typeof configurationUpdateSchema>;

/** Messages between entry hosts that the configuration area handles. */
export const configurationMessageSchemas = [
  configurationAskedSchema,
  configurationUpdateSchema,
] as const;
