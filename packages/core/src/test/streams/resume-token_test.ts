import test from 'ava';
import fc from 'fast-check';

import {
  issueResumeToken,
  verifyResumeToken,
  type ResumeClaims,
  type ResumeTokenKey,
} from '../../streams/resume-token.js';

const SEED = 20_261_203;
const NOW_MS = 1_000_000;

const claims: ResumeClaims = {
  requestId: 'request-1',
  executionId: 'execution-1',
  server: 'assistant-models-1',
  member: 'halloran',
  adapter: 'tide-desk',
  version: 'v7',
  expiresAtWallMs: NOW_MS + 60_000,
};

const keyOf = (id: string, secret = id): ResumeTokenKey => ({
  id,
  secretBase64: Buffer.from(secret.repeat(32)).toString('base64'),
});

const issue = (keys: readonly ResumeTokenKey[]): string =>
  issueResumeToken(claims, keys) ?? '';

const faultOf = (
  token: string,
  keys: readonly ResumeTokenKey[],
  member = 'halloran',
  nowMs = NOW_MS,
): string =>
  verifyResumeToken(token, keys, member, nowMs).match(
    () => 'accepted',
    ({kind}) => kind,
  );

test('a token gives back what it was issued for', (t) => {
  const keys = [keyOf('a')];
  const verified = verifyResumeToken(issue(keys), keys, 'halloran', NOW_MS);
  t.deepEqual(verified._unsafeUnwrap(), claims);
});

test('a token is refused to any other member', (t) => {
  const keys = [keyOf('a')];
  t.is(faultOf(issue(keys), keys, 'al-hajar'), 'wrong-member');
});

test('a token ends at its expiry', (t) => {
  const keys = [keyOf('a')];
  const {expiresAtWallMs} = claims;
  t.is(faultOf(issue(keys), keys, 'halloran', expiresAtWallMs), 'expired');
  t.is(faultOf(issue(keys), keys, 'halloran', expiresAtWallMs - 1), 'accepted');
});

test('a rotated key verifies while the ring holds it', (t) => {
  const token = issue([keyOf('old')]);
  t.is(faultOf(token, [keyOf('new'), keyOf('old')]), 'accepted');
  t.is(faultOf(token, [keyOf('new')]), 'unknown-key');
});

test('a key with the same name and another secret does not verify', (t) => {
  const token = issue([keyOf('a')]);
  t.is(faultOf(token, [keyOf('a', 'x')]), 'wrong-signature');
});

test('a ring without keys issues nothing', (t) => {
  t.is(issueResumeToken(claims, []), undefined);
});

test('no changed token is accepted with other claims', (t) => {
  const keys = [keyOf('a')];
  const token = issue(keys);
  fc.assert(
    fc.property(
      fc.nat({max: token.length - 1}),
      fc.constantFrom('A', 'Z', 'a', 'z', '0', '9', '-', '_', '.'),
      (index, character) => {
        const changed =
          token.slice(0, index) + character + token.slice(index + 1);
        const verified = verifyResumeToken(changed, keys, 'halloran', NOW_MS);
        // The last character of base64 has bits that decoding ignores.
        return verified.match(
          (accepted) => JSON.stringify(accepted) === JSON.stringify(claims),
          () => true,
        );
      },
    ),
    {seed: SEED, numRuns: 2_000},
  );
  t.pass();
});

test('a token with the claims of another stream is refused', (t) => {
  const keys = [keyOf('a')];
  const [keyId, , signature] = issue(keys).split('.');
  const forged = Buffer.from(
    JSON.stringify({...claims, executionId: 'execution-2'}),
  ).toString('base64url');
  t.is(faultOf([keyId, forged, signature].join('.'), keys), 'wrong-signature');
});
