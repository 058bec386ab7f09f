import {z} from 'zod';

const MAXIMUM_PORT = 65_535;

/** Entry of an upstream server in the store. */
export const serverEntrySchema = z.object({
  /** Identity against which the server checks requests. */
  id: z.string(),
  service: z.string(),
  host: z.string(),
  port: z.number().int().min(1).max(MAXIMUM_PORT),
  zone: z.string(),
  /** Number of requests that it runs concurrently. */
  slots: z.number().int().positive(),
  /** Whether it is shutting down and accepts no new requests. */
  leaving: z.boolean(),
  /** Start time of this server instance, milliseconds since the Unix epoch. */
  startedAtWallMs: z.number(),
  /**
   * Version of its software, empty if unknown. Versions have no order; what two
   * of them write in a stream does not fit together.
   */
  softwareVersion: z.string().default(''),
  /** Names of the base models that it serves. */
  models: z.array(z.string()),
});
export type ServerEntry = z.infer<typeof serverEntrySchema>;

/**
 * Key of one server instance; a restart under the same id is another instance.
 */
export const serverInstanceKey = ({id, startedAtWallMs}: ServerEntry): string =>
  `${id}#${startedAtWallMs}`;

/** A new version of an adapter, as announced. */
export const adapterVersionRecordSchema = z.object({
  model: z.string(),
  adapter: z.string(),
  version: z.number(),
});
export type AdapterVersionRecord = z.infer<typeof adapterVersionRecordSchema>;
