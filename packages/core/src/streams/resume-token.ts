import {createHmac, timingSafeEqual} from 'node:crypto';

import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';

import {
  adapterIdSchema,
  memberIdSchema,
  requestIdSchema,
  serverIdSchema,
  versionSchema,
  type MemberId,
} from '../identifiers.js';
import {parseJson} from '../lib/parse-json.js';

/** A key that signs resume tokens, as the configuration carries it. */
export interface ResumeTokenKey {
  readonly id: string;
  readonly secretBase64: string;
}

/** What a resume token says of the stream that it continues. */
export const resumeClaimsSchema = z.object({
  requestId: requestIdSchema,
  /** Names the execution on its server. */
  executionId: z.string().min(1),
  server: serverIdSchema,
  member: memberIdSchema,
  adapter: adapterIdSchema,
  version: versionSchema,
  /**
   * Wall clock at which the token ends, milliseconds since the epoch. A host
   * with a wrong clock refuses a resume or allows a late one; the member's
   * isolation does not depend on it.
   */
  expiresAtWallMs: z.number(),
});
export type ResumeClaims = z.infer<typeof resumeClaimsSchema>;

/** Why a resume token is not accepted. */
export interface ResumeTokenFault {
  readonly kind:
    | 'malformed'
    | 'unknown-key'
    | 'wrong-signature'
    | 'expired'
    | 'wrong-member';
}

/**
 * Signs a resume token with the newest key of a ring. Undefined when the ring
 * has no key, which a new deployment lacks for a moment.
 */
export const issueResumeToken = (
  claims: ResumeClaims,
  keys: readonly ResumeTokenKey[],
): string | undefined => {
  const key = keys[0];
  if (key === undefined) {
    return undefined;
  }
  const payload = Buffer.from(JSON.stringify(claims)).toString('base64url');
  const keyId = Buffer.from(key.id).toString('base64url');
  const signed = `${keyId}.${payload}`;
  return `${signed}.${sign(signed, key).toString('base64url')}`;
};

/**
 * Checks a resume token against all keys of a ring, older ones included, and
 * against the member who presents it. Signatures are compared in constant time.
 */
export const verifyResumeToken = (
  token: string,
  keys: readonly ResumeTokenKey[],
  member: MemberId,
  nowWallMs: number,
): Result<ResumeClaims, ResumeTokenFault> => {
  const [keyId = '', payload = '', signature = '', ...rest] = token.split('.');
  if (rest.length > 0 || signature === '') {
    return err({kind: 'malformed'});
  }
  const id = Buffer.from(keyId, 'base64url').toString();
  const key = keys.find((candidate) => candidate.id === id);
  if (key === undefined) {
    return err({kind: 'unknown-key'});
  }
  const expected = sign(`${keyId}.${payload}`, key);
  const given = Buffer.from(signature, 'base64url');
  if (given.length !== expected.length || !timingSafeEqual(given, expected)) {
    return err({kind: 'wrong-signature'});
  }
  return readClaims(payload, member, nowWallMs);
};

const readClaims = (
  payload: string,
  member: MemberId,
  nowWallMs: number,
): Result<ResumeClaims, ResumeTokenFault> => {
  const text = Buffer.from(payload, 'base64url').toString();
  const claims = parseJson(resumeClaimsSchema, text);
  if (claims === undefined) {
    return err({kind: 'malformed'});
  }
  if (claims.expiresAtWallMs <= nowWallMs) {
    return err({kind: 'expired'});
  }
  return claims.member === member ? ok(claims) : err({kind: 'wrong-member'});
};

const sign = (text: string, {secretBase64}: ResumeTokenKey): Buffer =>
  createHmac('sha256', Buffer.from(secretBase64, 'base64'))
    .update(text)
    .digest();
