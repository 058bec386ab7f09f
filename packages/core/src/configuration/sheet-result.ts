import {z} from 'zod';

import {adapterIdSchema, versionSchema} from '../identifiers.js';

/** One fault of a sheet. Line 1 is the header line. */
export const sheetFaultSchema = z.object({
  line: z.number().int().positive(),
  column: z.string(),
  problem: z.string(),
});
export type SheetFault = z.infer<typeof sheetFaultSchema>;

/** One adapter that a sheet changes. */
export const adapterChangeSchema = z.object({
  adapter: adapterIdSchema,
  change: z.enum(['added', 'changed', 'retired']),
  fromVersion: versionSchema.optional(),
  toVersion: versionSchema.optional(),
});
export type AdapterChange = z.infer<typeof adapterChangeSchema>;

/** How the submission of a sheet ended. */
export const sheetResultSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('applied'),
    revision: z.number().int(),
    changes: z.array(adapterChangeSchema),
  }),
  z.object({
    kind: z.literal('unchanged'),
    revision: z.number().int(),
  }),
  z.object({
    kind: z.literal('difference'),
    revision: z.number().int(),
    changes: z.array(adapterChangeSchema),
  }),
  z.object({kind: z.literal('invalid'), faults: z.array(sheetFaultSchema)}),
  z.object({
    kind: z.literal('conflict'),
    revision: z.number().int(),
    /** What the other operator changed since the revision this one saw. */
    changes: z.array(adapterChangeSchema),
    operator: z.string(),
  }),
  z.object({
    kind: z.literal('mass-retirement'),
    retired: z.number().int(),
    total: z.number().int(),
  }),
  z.object({kind: z.literal('store-unavailable'), retryAfterMs: z.number()}),
  /** The platform did not tell whether the change was taken. */
  z.object({kind: z.literal('outcome-unknown')}),
]);
export type SheetResult = z.infer<typeof sheetResultSchema>;
