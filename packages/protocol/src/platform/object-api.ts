import {z} from 'zod';

/**
 * Wire format of the platform's object API.
 *
 * - `GET /objects/{kind}/{name}`: 200 `objectSchema`, 404.
 * - `GET /objects/{kind}/{name}?newerThan=V&waitMs=W`: a watch; 200 as soon as
 *   the version is above V, else 304 after W milliseconds.
 * - `GET /objects/{kind}?prefix=P&after=N&limit=L`: 200 `objectListSchema`.
 * - `PUT /objects/{kind}/{name}` with `putObjectSchema`: 200 `writtenSchema`;
 *   409 `conflictSchema` when the version differs; 413 above one megabyte.
 * - `DELETE /objects/{kind}/{name}?expectedVersion=V`: 200 `writtenSchema`,
 *   404, 409 `conflictSchema`.
 *
 * 429 and 503 carry `Retry-After` in seconds; nothing was done.
 */
export const objectSchema = z.object({
  kind: z.string(),
  name: z.string(),
  version: z.number().int().positive(),
  value: z.string(),
});
export type PlatformObject = z.infer<typeof objectSchema>;

export const objectListSchema = z.object({objects: z.array(objectSchema)});
export type ObjectList = z.infer<typeof objectListSchema>;

export const putObjectSchema = z.object({
  value: z.string(),
  /** Zero creates; any other value must equal the current version. */
  expectedVersion: z.number().int().nonnegative(),
});
export type PutObject = z.infer<typeof putObjectSchema>;

export const writtenSchema = z.object({version: z.number().int().positive()});
export type Written = z.infer<typeof writtenSchema>;

export const conflictSchema = z.object({current: objectSchema.optional()});
export type Conflict = z.infer<typeof conflictSchema>;
