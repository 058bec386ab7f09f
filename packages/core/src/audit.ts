import {z} from 'zod';

/** One entry of the audit trail: who changed what, from what to what. */
export const auditEntrySchema = z.object({
  /** Wall clock of the host that wrote it, milliseconds since the epoch. */
  atWallMs: z.number(),
  host: z.string(),
  /** Operator name, or `basilworks` for the system's own changes. */
  actor: z.string(),
  action: z.enum([
    'sheet-applied',
    'claim-taken',
    'claim-released',
    'adapter-load',
    'adapter-evict',
    'host-drain',
    'host-stop',
    'call-claimed',
  ]),
  subject: z.string(),
  revision: z.number().int().optional(),
  before: z.string().optional(),
  after: z.string().optional(),
});
export type AuditEntry = z.infer<typeof auditEntrySchema>;

/** Adds an entry to the audit trail. */
export interface AuditEffect {
  readonly type: 'audit';
  readonly entry: Omit<AuditEntry, 'atWallMs' | 'host'>;
}
