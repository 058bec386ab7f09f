import {z} from 'zod';

import {adapterIdSchema, versionSchema} from '../identifiers.js';
import {priorityClassSchema} from '../request.js';

/** One adapter as the configuration in force describes it. */
export const adapterEntrySchema = z.object({
  adapter: adapterIdSchema,
  baseModel: z.string().min(1),
  /** Version that requests without a version run on. */
  version: versionSchema,
  /** Versions that requests may still name besides the current one. */
  previousVersions: z.array(versionSchema),
  priorityClass: priorityClassSchema,
  /** Relative cost of a stall, 1 to 100. */
  urgency: z.number().int().min(1).max(100),
  /** Pool of servers that runs it. */
  pool: z.string().min(1),
  retired: z.boolean(),
});
export type AdapterEntry = z.infer<typeof adapterEntrySchema>;
