import type {CallerRequest} from '../front/caller-request.js';
import type {PlatformProtocol} from '../ports.js';
import {sharedPromptParts} from './prompt-parts.js';

/**
 * Returns what a request has in common with others and may crash servers, from
 * what most requests share to what fewest do: the shared parts of its prompt.
 */
export const requestKeys = (
  platform: Pick<PlatformProtocol, 'forwarding'>,
  request: CallerRequest,
): readonly string[] => [
  // A part may be repeated within a prompt.
  ...new Set(
    sharedPromptParts(platform, request).map((part) => `part/${part}`),
  ),
];
