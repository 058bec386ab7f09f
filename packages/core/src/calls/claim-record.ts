import {createHash} from 'node:crypto';

import {z} from 'zod';

import {incarnationSchema, memberIdSchema} from '../identifiers.js';
import {parseJson} from '../lib/parse-json.js';
import {refusalSchema} from '../refusal.js';
import type {StoredObject} from '../store.js';
import type {CallDescription} from './events.js';

/** Kind of the claim objects in the object API. */
export const CLAIM_KIND = 'call-claim';

/** Largest body, in base64 characters, that a claim keeps for repeats. */
export const MAXIMUM_RECORDED_BODY_LENGTH = 700_000;

export const recordedResponseSchema = z.object({
  status: z.number().int(),
  contentType: z.string(),
  bodyBase64: z.string(),
});

/**
 * What is known of the one attempt that a claim allows.
 *
 * - `open`: the attempt may be running, or its host died.
 * - `released`: the attempt is proved not to have run and never will; the next
 *   request with the key may take the claim with a new nonce.
 * - `answered`: the service answered; repeats get the same answer.
 * - `answered-not-kept`: the same, with an answer too large to keep.
 * - `unknown`: whether the service ran the call cannot be known.
 */
export const claimStateSchema = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('open')}),
  z.object({kind: z.literal('released')}),
  z.object({kind: z.literal('answered'), response: recordedResponseSchema}),
  z.object({
    kind: z.literal('answered-not-kept'),
    status: z.number().int(),
    bodyLength: z.number().int(),
  }),
  z.object({kind: z.literal('unknown'), refusal: refusalSchema}),
]);
export type ClaimState = z.infer<typeof claimStateSchema>;

/** Value of a claim object. */
export const claimRecordSchema = z.object({
  member: memberIdSchema,
  bodyDigest: z.string(),
  /** Identifies the attempt that holds the claim. */
  nonce: z.string(),
  holder: incarnationSchema,
  /** Milliseconds within which the holder sends and records the outcome. */
  validForMs: z.number().nonnegative(),
  /** Retention epoch of the claim; zero when the holder knew none. */
  epoch: z.number().int().nonnegative(),
  state: claimStateSchema,
});
export type ClaimRecord = z.infer<typeof claimRecordSchema>;

/** Name of the claim object of a member's idempotency key. */
export const claimName = ({member, idempotencyKey}: CallDescription): string =>
  createHash('sha256')
    .update(JSON.stringify([member, idempotencyKey]))
    .digest('hex');

/** Reads a claim object; undefined when its value is not a claim. */
export const parseClaim = ({value}: StoredObject): ClaimRecord | undefined =>
  parseJson(claimRecordSchema, value);
