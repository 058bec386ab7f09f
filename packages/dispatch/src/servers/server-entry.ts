import {z} from 'zod';

/** What the store says of an upstream server. */
export const serverEntrySchema = z.object({
  /** Identity that the server checks requests against. */
  id: z.string(),
  service: z.string(),
  host: z.string(),
  port: z.number().int(),
  zone: z.string(),
  /** Requests that it runs at once. */
  slots: z.number().int().positive(),
  /** It has been told to leave and takes nothing new. */
  leaving: z.boolean(),
  /** Start of this run of the server, milliseconds since the Unix epoch. */
  startedAtWallMs: z.number(),
  /** Names of the base models that it holds. */
  models: z.array(z.string()),
});
export type ServerEntry = z.infer<typeof serverEntrySchema>;

/** Names one run of a server; a restart under the same id is another run. */
export const serverInstanceKey = ({id, startedAtWallMs}: ServerEntry): string =>
  `${id}#${startedAtWallMs}`;

/** A new version of an adapter, as announced. */
export const adapterVersionRecordSchema = z.object({
  model: z.string(),
  adapter: z.string(),
  version: z.number(),
});
export type AdapterVersionRecord = z.infer<typeof adapterVersionRecordSchema>;
