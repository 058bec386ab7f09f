import {z} from 'zod';

import {
  adapterIdSchema,
  memberIdSchema,
  requestIdSchema,
  versionSchema,
} from './identifiers.js';

/**
 * `urgent` needs its answer now, `standard` can wait a little, `deferrable`
 * fills idle engine positions until its deadline.
 */
export const priorityClassSchema = z.enum(['urgent', 'standard', 'deferrable']);
export type PriorityClass = z.infer<typeof priorityClassSchema>;

/**
 * What the decisions need to know of a model request. The body stays in the
 * daemon of the ingress host and is never part of an event.
 */
export const requestDescriptionSchema = z.object({
  requestId: requestIdSchema,
  member: memberIdSchema,
  adapter: adapterIdSchema,
  version: versionSchema,
  baseModel: z.string(),
  /** Group of servers that runs it, for example `assistant-models`. */
  pool: z.string(),
  priorityClass: priorityClassSchema,
  /** Digest of member and prompt prefix; empty where there is none. */
  prefixDigest: z.string(),
  /** Upper bound of generated tokens, as asked for by the caller. */
  maximumTokens: z.number().int().positive(),
});
export type RequestDescription = z.infer<typeof requestDescriptionSchema>;
