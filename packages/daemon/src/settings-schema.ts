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
  member: memberIdSchema.describe('Member whose token it is.'),
  tokenDigest: tokenDigestSchema.describe('SHA-256 digest of the token.'),
});

/** A bearer token of an operator, by its digest. */
export const operatorTokenSchema = z.strictObject({
  operator: z.string().min(1).describe('Name in the audit trail.'),
  tokenDigest: tokenDigestSchema.describe('SHA-256 digest of the token.'),
});

/** Bounds on what callers may use. */
export const limitsSchema = z.strictObject({
  bodyBytes: z
    .number()
    .int()
    .positive()
    .default(1_048_576)
    .describe('Largest body of a request, bytes.'),
  concurrentRequests: z
    .number()
    .int()
    .positive()
    .default(4_000)
    .describe('Requests of callers that this host holds at once.'),
  stalledCallerMs: z
    .number()
    .int()
    .positive()
    .default(30_000)
    .describe(
      'A caller that takes no bytes for so many milliseconds counts as gone.',
    ),
  recordEntries: z
    .number()
    .int()
    .positive()
    .default(5_000)
    .describe('Entries of the audit trail and of the decision record, each.'),
});

/** Default deadlines by priority class, milliseconds. */
export const deadlinesSchema = z.strictObject({
  urgentMs: z
    .number()
    .int()
    .positive()
    .default(15_000)
    .describe('Default deadline of urgent requests, milliseconds.'),
  standardMs: z
    .number()
    .int()
    .positive()
    .default(60_000)
    .describe('Default deadline of standard requests, milliseconds.'),
  deferrableMs: z
    .number()
    .int()
    .positive()
    .default(3_600_000)
    .describe('Default deadline of work that can wait, milliseconds.'),
});

/** Settings of `basilworksd`; a superset of what the reducer reads. */
export const daemonSettingsSchema = coreSettingsSchema
  .extend({
    peerAddress: addressSchema.describe(
      'Address at which peers reach this host, IP number and port.',
    ),
    callerAddress: addressSchema.describe(
      'Address at which callers reach this host, IP number and port.',
    ),
    callerListen: addressSchema
      .optional()
      .describe('Where to listen for callers; `callerAddress` by default.'),
    peerListen: addressSchema
      .optional()
      .describe('Where to listen for peers; `peerAddress` by default.'),
    metricsListen: addressSchema
      .optional()
      .describe(
        'Where to serve metrics and health; `callerListen` by default.',
      ),
    objectApiUrl: urlSchema.describe(
      'Base URL of the object API of the platform.',
    ),
    hostListUrl: urlSchema.describe(
      'Base URL of the host list of the platform.',
    ),
    members: z
      .array(memberTokenSchema)
      .default([])
      .describe('Bearer tokens of members.'),
    operators: z
      .array(operatorTokenSchema)
      .default([])
      .describe('Bearer tokens of operators.'),
    limits: limitsSchema.prefault({}),
    deadlines: deadlinesSchema.prefault({}),
    stopTimeoutMs: z
      .number()
      .int()
      .positive()
      .default(900_000)
      .describe('Longest duration of a planned stop, milliseconds.'),
    logLevel: z
      .enum(['error', 'warn', 'info', 'debug'])
      .default('info')
      .describe('Least severe log lines that are written.'),
  })
  .strict();
export type DaemonSettings = z.infer<typeof daemonSettingsSchema>;
