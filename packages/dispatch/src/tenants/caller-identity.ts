import type {Route, Tenant} from '../configuration/index.js';
import {digestKey} from './key-digest.js';
import type {KeyRing} from './key-ring.js';

/** Why a request is refused as it can't be attributed to a tenant. */
export type IdentityRefusal =
  'unconfirmed' | 'no-key' | 'odd-key' | 'unknown-key';

/** The caller on whose behalf a request is served. */
export type Caller =
  /** The configuration has no tenants; keys are ignored. */
  | {readonly type: 'unnamed'}
  /** The route needs no key. */
  | {readonly type: 'open'}
  | {
      readonly type: 'tenant';
      readonly tenant: Tenant;
      /** Digest of the key, to check it against a later configuration. */
      readonly digest: string;
    };

/** Result of identifying a request's caller. */
export type CallerIdentity =
  Caller | {readonly type: 'refused'; readonly reason: IdentityRefusal};

/** The data of a request and of the configuration that identify its caller. */
export interface IdentityInput {
  /** Undefined where the configuration names no tenants. */
  readonly ring: KeyRing | undefined;
  readonly route: Pick<Route, 'open'>;
  /** Values of the key's header, as often as it was sent. */
  readonly keys: readonly string[];
  /** Whether the configuration is recent enough to accept keys. */
  readonly mayAcceptKeys: boolean;
  /** Whether it is recent enough to reject a key as unknown. */
  readonly mayRejectKeys: boolean;
}

/** HTTP status and log detail of each refusal. */
export const IDENTITY_REFUSALS: Readonly<
  Record<IdentityRefusal, {readonly status: 401 | 503; readonly detail: string}>
> = {
  unconfirmed: {
    status: 503,
    detail: 'the configuration was not confirmed in time to judge keys',
  },
  'no-key': {status: 401, detail: 'the request has no key'},
  'odd-key': {status: 401, detail: 'the key is not one plain text'},
  'unknown-key': {status: 401, detail: 'no tenant has the key'},
};

/** Longest accepted key, bytes: digests of any size fit. */
const MAXIMUM_KEY_BYTES = 256;

/** Printable ASCII. */
const PLAIN_KEY = /^[\x21-\x7e]+$/;

/**
 * Identifies the caller of a request. The order of the checks matters: a host
 * that may lack the newest configuration can't tell an unknown key from a new
 * one.
 */
export const identify = ({
  ring,
  route,
  keys,
  mayAcceptKeys,
  mayRejectKeys,
}: IdentityInput): CallerIdentity => {
  if (ring === undefined) {
    return {type: 'unnamed'};
  }
  if (route.open === true) {
    return {type: 'open'};
  }
  if (!mayAcceptKeys) {
    return refused('unconfirmed');
  }
  const [key = ''] = keys;
  if (keys.length === 0) {
    return refused('no-key');
  }
  if (
    keys.length > 1 ||
    key.length > MAXIMUM_KEY_BYTES ||
    !PLAIN_KEY.test(key)
  ) {
    return refused('odd-key');
  }
  const digest = digestKey(key);
  const tenant = ring.find(digest);
  if (tenant === undefined) {
    return refused(mayRejectKeys ? 'unknown-key' : 'unconfirmed');
  }
  return {type: 'tenant', tenant, digest};
};

/**
 * Whether a request may still be sent for its caller under the configuration
 * now in use: the request may have waited, or its host may have been suspended.
 */
export const mayStillSend = (
  caller: Caller,
  ring: KeyRing | undefined,
  mayAcceptKeys: boolean,
): boolean =>
  caller.type !== 'tenant' ||
  ring === undefined ||
  (mayAcceptKeys && ring.find(caller.digest)?.name === caller.tenant.name);

const refused = (reason: IdentityRefusal): CallerIdentity => ({
  type: 'refused',
  reason,
});
