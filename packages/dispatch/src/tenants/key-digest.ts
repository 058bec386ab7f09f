import {createHash} from 'node:crypto';

/** Returns the SHA-256 of a tenant's key, base64url. */
export const digestKey = (key: string): string =>
  createHash('sha256').update(key).digest('base64url');
