import {createHash} from 'node:crypto';

import type {CallerRequest} from '../front/caller-request.js';
import type {PlatformProtocol} from '../ports.js';
import {headerValue} from '../upstream/index.js';
import {sharedPromptParts} from './prompt-parts.js';

/**
 * Returns what a request has in common with others and may crash servers, from
 * what most requests share to what fewest do: the shared parts of its prompt
 * and, last, what a caller that repeats it sends again.
 */
export const requestKeys = (
  platform: Pick<PlatformProtocol, 'forwarding'>,
  request: CallerRequest,
): readonly string[] => [
  // A part may be repeated within a prompt.
  ...new Set(
    sharedPromptParts(platform, request).map((part) => `part/${part}`),
  ),
  `request/${requestDigest(platform, request)}`,
];

/** Length of a request's digest, hexadecimal digits. */
const DIGEST_DIGITS = 24;

/** Digest of what is alike in each repeat of a request: not its id. */
const requestDigest = (
  {forwarding}: Pick<PlatformProtocol, 'forwarding'>,
  {method, host, target, rawHeaders, body}: CallerRequest,
): string => {
  const caller = headerValue(rawHeaders, forwarding.headers.key.toLowerCase());
  const head = [method, host, target, caller ?? ''].join('\n');
  const hash = createHash('sha256').update(head).update('\n').update(body);
  return hash.digest('hex').slice(0, DIGEST_DIGITS);
};
