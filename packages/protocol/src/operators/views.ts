import {
  adapterChangeSchema,
  adapterEntrySchema,
  auditEntrySchema,
  decisionSchema,
  entryHostSchema,
  serverDescriptionSchema,
} from '@basilworks/core';
import {z} from 'zod';

/** Answer to `GET /operator/v1/hosts`: this host, and those it knows of. */
export const hostsViewSchema = z.object({
  host: z.string(),
  zone: z.string(),
  incarnation: z.string(),
  standing: z.string(),
  ready: z.boolean(),
  reason: z.string(),
  revision: z.number().int(),
  ownedServers: z.number().int(),
  /** Calls and results that are not recorded yet. */
  unrecorded: z.number().int(),
  hosts: z.array(entryHostSchema),
});
export type HostsView = z.infer<typeof hostsViewSchema>;

/** One slot of a server, as its owner knows it. */
export const slotViewSchema = z.object({
  adapter: z.string(),
  version: z.string(),
  state: z.string(),
  running: z.number().int(),
  queued: z.number().int(),
  idleMs: z.number(),
  uses: z.number().int(),
});

/** A server; `owned` is there where the answering host owns it. */
export const serverViewSchema = serverDescriptionSchema.extend({
  owner: z.string().optional(),
  owned: z
    .object({
      fencingNumber: z.number().int(),
      running: z.number().int(),
      slotsInUse: z.array(slotViewSchema),
    })
    .optional(),
});
export type ServerView = z.infer<typeof serverViewSchema>;

/** Answer to `GET /operator/v1/servers`. */
export const serversViewSchema = z.object({
  host: z.string(),
  servers: z.array(serverViewSchema),
});
export type ServersView = z.infer<typeof serversViewSchema>;

/** Answer to `GET /operator/v1/adapters`: the configuration in force. */
export const adaptersViewSchema = z.object({
  revision: z.number().int(),
  adapters: z.array(adapterEntrySchema.extend({home: z.string()})),
});
export type AdaptersView = z.infer<typeof adaptersViewSchema>;

/** Answer to `GET /operator/v1/loads`: the queue of the holder. */
export const loadsViewSchema = z.object({
  host: z.string(),
  isHolder: z.boolean(),
  loads: z.array(
    z.object({
      loadId: z.string(),
      state: z.enum(['waiting', 'granted']),
      owner: z.string(),
      server: z.string().optional(),
      adapter: z.string().optional(),
      version: z.string().optional(),
      urgency: z.number().optional(),
      sinceMs: z.number(),
    }),
  ),
});
export type LoadsView = z.infer<typeof loadsViewSchema>;

/** Answer to `GET /operator/v1/explain/{subject}/{name}`. */
export const decisionsViewSchema = z.object({
  host: z.string(),
  decisions: z.array(decisionSchema.extend({atWallMs: z.number()})),
});
export type DecisionsView = z.infer<typeof decisionsViewSchema>;

/** Answer to `GET /operator/v1/audit`: this host's own entries. */
export const auditViewSchema = z.object({
  host: z.string(),
  entries: z.array(auditEntrySchema),
});
export type AuditView = z.infer<typeof auditViewSchema>;

/**
 * Answer to `GET /operator/v1/history`: the revisions that the platform's head
 * still describes, newest first. Survives the loss of every host.
 */
export const historyViewSchema = z.object({
  revisions: z.array(
    z.object({
      revision: z.number().int(),
      operator: z.string(),
      changeCount: z.number().int(),
      /** The first changes of the revision. */
      changes: z.array(adapterChangeSchema),
    }),
  ),
});
export type HistoryView = z.infer<typeof historyViewSchema>;

/** Answer to `POST /operator/v1/drain`. */
export const drainAnswerSchema = z.object({
  host: z.string(),
  standing: z.string(),
});
export type DrainAnswer = z.infer<typeof drainAnswerSchema>;
