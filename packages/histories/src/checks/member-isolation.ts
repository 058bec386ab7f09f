import {
  issueResumeToken,
  type ResumeClaims,
  verifyResumeToken,
} from '@basilworks/core';

import type {Violation} from './violation.js';

const KEYS = [
  {id: 'new', secretBase64: 'bmV3LXNlY3JldA=='},
  {id: 'old', secretBase64: 'b2xkLXNlY3JldA=='},
];

const CLAIMS: ResumeClaims = {
  requestId: 'request-1',
  executionId: 'execution-1',
  server: 'engine-0',
  member: 'member-0',
  adapter: 'a-0',
  version: 'v1',
  expiresAtWallMs: 1_000,
};

/** No resume token is good for another member, or when it was changed. */
export const checkMemberIsolation = (): readonly Violation[] => {
  const token = issueResumeToken(CLAIMS, KEYS) ?? '';
  const forged = `${token.slice(0, -2)}AA`;
  const isAccepted = (candidate: string, member: string, nowMs: number) =>
    verifyResumeToken(candidate, KEYS, member, nowMs).isOk();
  const faults = [
    ...(isAccepted(token, 'member-0', 0) ? [] : ['own token refused']),
    ...(isAccepted(token, 'member-1', 0) ? ['other member accepted'] : []),
    ...(isAccepted(token, 'member-0', 1_000) ? ['old token accepted'] : []),
    ...(isAccepted(forged, 'member-0', 0) ? ['forged token accepted'] : []),
  ];
  return faults.map((detail) => ({
    promise: 'token-of-another-member',
    atMs: 0,
    detail,
  }));
};
