import {createHash} from 'node:crypto';

import {z} from 'zod';

import {incarnationSchema, memberIdSchema} from '../identifiers.js';
import {refusalSchema} from '../refusal.js';
import {requestDescriptionSchema} from '../request.js';

/** Kind of the objects of work that is not finished. */
export const WORK_KIND = 'work';
/** Kind of the objects of results. */
export const RESULT_KIND = 'work-result';
/** Kind of the parts of bodies and answers too large for their record. */
export const PART_KIND = 'work-part';

/** Largest text that is kept within a record, bytes of UTF-8. */
const INLINE_LIMIT_BYTES = 16_384;
/** Bytes of a part before base64 makes four of three. */
const PART_BYTES = 600_000;
const MAXIMUM_PARTS = 16;
/** Largest body or answer that can be stored, bytes of UTF-8. */
export const MAXIMUM_TEXT_BYTES = PART_BYTES * MAXIMUM_PARTS;

const partReferenceSchema = z.object({
  name: z.string(),
  version: z.number().int(),
});
export type PartReference = z.infer<typeof partReferenceSchema>;

/** A text within its record, or in parts of their own. */
export const storedTextSchema = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('inline'), text: z.string()}),
  z.object({kind: z.literal('parts'), parts: z.array(partReferenceSchema)}),
]);
export type StoredText = z.infer<typeof storedTextSchema>;

/** Value of an object of work that is not finished. */
export const workRecordSchema = z.object({
  request: requestDescriptionSchema,
  /** `storing` until all parts are written; only then it is accepted. */
  state: z.enum(['storing', 'accepted']),
  body: storedTextSchema,
  /** The host that runs it. */
  runner: incarnationSchema,
  /** Milliseconds until the deadline when the runner took it. */
  remainingMs: z.number(),
  /** Retention epoch when the runner took it; zero when it knew none. */
  epoch: z.number().int().nonnegative(),
});
export type WorkRecord = z.infer<typeof workRecordSchema>;

/** Value of an object of a result. */
export const resultRecordSchema = z.object({
  member: memberIdSchema,
  epoch: z.number().int().nonnegative(),
  outcome: z.discriminatedUnion('kind', [
    z.object({kind: z.literal('done'), answer: storedTextSchema}),
    z.object({kind: z.literal('failed'), refusal: refusalSchema}),
  ]),
});
export type ResultRecord = z.infer<typeof resultRecordSchema>;

/** Name of the objects of a piece of work. */
export const workName = (requestId: string): string =>
  createHash('sha256').update(requestId).digest('hex');

/** Whether a text fits into its record. */
export const fitsInline = (text: string): boolean =>
  Buffer.byteLength(text) <= INLINE_LIMIT_BYTES;

/** Bytes of a stored text, rounded up to whole parts. */
export const storedBytes = (stored: StoredText): number =>
  stored.kind === 'inline'
    ? Buffer.byteLength(stored.text)
    : stored.parts.length * PART_BYTES;

/** Splits a text into the values of its parts. */
export const splitText = (text: string): string[] => {
  const bytes = Buffer.from(text);
  const parts: string[] = [];
  for (let start = 0; start < bytes.length; start += PART_BYTES) {
    parts.push(bytes.subarray(start, start + PART_BYTES).toString('base64'));
  }
  return parts;
};

/** Joins the values of the parts of a text. */
export const joinText = (parts: readonly string[]): string =>
  Buffer.concat(parts.map((part) => Buffer.from(part, 'base64'))).toString();
