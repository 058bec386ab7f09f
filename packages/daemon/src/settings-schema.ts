import {coreSettingsSchema, memberIdSchema} from '@basilworks/core';
import {z} from 'zod';

const addressSchema = z
  .string()
  .regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/, {
    error: 'expected an IP number and a port, such as 10.0.0.7:8080',
  });

const urlSchema = z.url({
  protocol: /^https?$/,
  error: 'expected an http or https URL',
});

const tokenDigestSchema = z.string().regex(/^[0-9a-f]{64}$/, {
  error: 'expected the SHA-256 digest of a token, 64 lower case hex digits',
});

/** A bearer token of a member, by its digest. */
export const memberTokenSchema = z.strictObject({
  member: memberIdSchema,
  tokenDigest: tokenDigestSchema,
});

/** A bearer token of an operator, by its digest. */
export const operatorTokenSchema = z.strictObject({
  operator: z.string().min(1),
  tokenDigest: tokenDigestSchema,
});

/** Bounds on what callers may use. */
export const limitsSchema = z.strictObject({
  /** Largest body of a request, bytes. */
  bodyBytes: z.number().int().positive().default(1_048_576),
  /** Requests of callers that this host holds at once. */
  concurrentRequests: z.number().int().positive().default(4_000),
  /** A caller that takes no bytes for this long is treated as gone. */
  stalledCallerMs: z.number().int().positive().default(30_000),
  /** Entries of the audit trail and of the decision record, each. */
  recordEntries: z.number().int().positive().default(5_000),
});

/** Default deadlines by priority class, milliseconds. */
export const deadlinesSchema = z.strictObject({
  urgentMs: z.number().int().positive().default(15_000),
  standardMs: z.number().int().positive().default(60_000),
  deferrableMs: z.number().int().positive().default(3_600_000),
});

/** Settings of `basilworksd`; a superset of what the reducer reads. */
export const daemonSettingsSchema = coreSettingsSchema
  .extend({
    peerAddress: addressSchema,
    callerAddress: addressSchema,
    /** Where to listen for callers; `callerAddress` by default. */
    callerListen: addressSchema.optional(),
    /** Where to listen for peers; `peerAddress` by default. */
    peerListen: addressSchema.optional(),
    /** Where to serve `/metrics` and health; `callerListen` by default. */
    metricsListen: addressSchema.optional(),
    objectApiUrl: urlSchema,
    hostListUrl: urlSchema,
    members: z.array(memberTokenSchema).default([]),
    operators: z.array(operatorTokenSchema).default([]),
    limits: limitsSchema.prefault({}),
    deadlines: deadlinesSchema.prefault({}),
    /** Longest duration of a planned stop, milliseconds. */
    stopTimeoutMs: z.number().int().positive().default(900_000),
    logLevel: z.enum(['error', 'warn', 'info', 'debug']).default('info'),
  })
  .strict();
export type DaemonSettings = z.infer<typeof daemonSettingsSchema>;
