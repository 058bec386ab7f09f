import {sheetResultSchema, type SheetResult} from '@basilworks/core';
import {z} from 'zod';

/** Body of `POST /operator/v1/sheet`. Answered with a `SheetResult`. */
export const sheetSubmissionSchema = z.object({
  /** CSV text as the planners export it. */
  text: z.string(),
  /** Reports the difference and changes nothing. */
  dryRun: z.boolean().default(false),
  /** Allows retirements above the guard's share. */
  allowMassRetirement: z.boolean().default(false),
  /** Revision that the operator saw; a newer one is a conflict. */
  expectedRevision: z.number().int().nonnegative().optional(),
});
export type SheetSubmission = z.infer<typeof sheetSubmissionSchema>;

export const sheetAnswerSchema = z.object({result: sheetResultSchema});
export type SheetAnswer = z.infer<typeof sheetAnswerSchema>;

/** HTTP status of each way in which a submission may end. */
export const SHEET_RESULT_STATUS = {
  applied: 200,
  unchanged: 200,
  difference: 200,
  invalid: 422,
  conflict: 409,
  'mass-retirement': 409,
  'store-unavailable': 503,
  'outcome-unknown': 504,
} as const satisfies Record<SheetResult['kind'], number>;
