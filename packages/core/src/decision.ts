import {z} from 'zod';

/** One decision with its inputs, kept for `basilworks explain`. */
export const decisionSchema = z.object({
  /** What was decided about. */
  subject: z.enum(['request', 'adapter', 'server']),
  name: z.string(),
  /** Stable code of the decision, for example `routed-to-resident`. */
  decision: z.string(),
  /** The inputs it followed from, one short value each. */
  inputs: z.record(z.string(), z.union([z.string(), z.number(), z.boolean()])),
});
export type Decision = z.infer<typeof decisionSchema>;

/** Keeps a decision in this host's bounded record. */
export interface RecordDecisionEffect {
  readonly type: 'record-decision';
  readonly decision: Decision;
}
