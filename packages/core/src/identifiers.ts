import {z} from 'zod';

/** Name of an entry host, unique in the deployment. */
export const hostIdSchema = z.string().min(1).max(64);
export type HostId = z.infer<typeof hostIdSchema>;

/** Identifies one run of an entry host's process: `<host>#<start nonce>`. */
export const incarnationSchema = z.string().min(1).max(128);
export type Incarnation = z.infer<typeof incarnationSchema>;

/** Name of an upstream server, unique in the deployment. */
export const serverIdSchema = z.string().min(1).max(64);
export type ServerId = z.infer<typeof serverIdSchema>;

/** Name of an availability zone. */
export const zoneIdSchema = z.string().min(1).max(64);
export type ZoneId = z.infer<typeof zoneIdSchema>;

/** Name of an adapter, without its version. */
export const adapterIdSchema = z
  .string()
  .regex(/^[a-z0-9][a-z0-9._-]{0,127}$/, 'lower case letters, digits, . _ -');
export type AdapterId = z.infer<typeof adapterIdSchema>;

/** Version of an adapter, for example `v12`. */
export const versionSchema = z
  .string()
  .regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/, 'letters, digits, . _ -');
export type Version = z.infer<typeof versionSchema>;

/** Name of a customer whose records are isolated from all others. */
export const memberIdSchema = z.string().min(1).max(64);
export type MemberId = z.infer<typeof memberIdSchema>;

/** Identity of one caller request, unique in the deployment. */
export const requestIdSchema = z.string().min(1).max(128);
export type RequestId = z.infer<typeof requestIdSchema>;

/** An adapter at one exact version. */
export const adapterVersionSchema = z.object({
  adapter: adapterIdSchema,
  version: versionSchema,
});
export type AdapterVersion = z.infer<typeof adapterVersionSchema>;

/** Key of an adapter version in lookups and logs: `adapter@version`. */
export const adapterVersionKey = (value: AdapterVersion): string =>
  `${value.adapter}@${value.version}`;
