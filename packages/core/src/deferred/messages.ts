import {z} from 'zod';

/** Asks a runner which of these pieces of work it does not hold. */
export const workInquirySchema = z.object({
  area: z.literal('deferred'),
  type: z.literal('work-inquiry'),
  /** Names of work objects. */
  names: z.array(z.string()),
});

/** Answers a `work-inquiry`; the receiver may take these over. */
export const workNotHeldSchema = z.object({
  area: z.literal('deferred'),
  type: z.literal('work-not-held'),
  names: z.array(z.string()),
});

/** Messages between entry hosts that the deferred area handles. */
export const deferredMessageSchemas = [
  workInquirySchema,
  workNotHeldSchema,
] as const;
