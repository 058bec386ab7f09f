import type {CallerRequest} from '../front/caller-request.js';
import type {PlatformProtocol} from '../ports.js';
import {headerValue} from '../upstream/index.js';

/** Returns the parts of a request's prompt that other requests share. */
export const sharedPromptParts = (
  {forwarding}: Pick<PlatformProtocol, 'forwarding'>,
  {rawHeaders}: Pick<CallerRequest, 'rawHeaders'>,
): readonly string[] => {
  const name = forwarding.headers.promptParts.toLowerCase();
  const value = headerValue(rawHeaders, name);
  return value === undefined ? [] : forwarding.parseSharedParts(value);
};
