import type {Route, Tenant} from '../configuration/index.js';
import {digestKey} from './key-digest.js';
import type {KeyRing} from './key-ring.js';

/** Why a request is not taken for any tenant. */
export type IdentityRefusal =
  'unconfirmed' | 'no-key' | 'odd-key' | 'unknown-key';

/** For whom a request is served. */
export type Caller =
  /** The configuration names no tenants; keys mean nothing to this host. */
  | {readonly type: 'unnamed'}
  /** The route needs no key. */
  | {readonly type: 'open'}
  | {
      readonly type: 'tenant';
      readonly tenant: Tenant;
      /** Of the key, to look for it again in a later configuration. */
      readonly digest: string;
    };

/** What is found of a request's caller. */
export type CallerIdentity =
  Caller | {readonly type: 'refused'; readonly reason: IdentityRefusal};

/** What a request and the configuration in use say of its caller. */
export interface IdentityInput {
  /** Undefined where the configuration names no tenants. */
  readonly ring: KeyRing | undefined;
  readonly route: Pick<Route, 'open'>;
  /** Values of the key's header, as often as it was sent. */
  readonly keys: readonly string[];
  /** The configuration may be relied on to take keys. */
  readonly mayAcceptKeys: boolean;
  /** It may be relied on to tell that nobody has a key. */
  readonly mayRejectKeys: boolean;
}

/** Statuses of refusals, and what logs say of them. */
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

/** Longest key that is looked at, bytes: digests of any size fit. */
const MAXIMUM_KEY_BYTES = 256;

/** Printable ASCII. */
const PLAIN_KEY = /^[\x21-\x7e]+$/;

/**
 * Finds for whom a request is served, in this order: a host that may lack the
 * newest configuration can't tell an unknown key from a new one.
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
 * Whether a request may still be sent for its caller, by the configuration that
 * is in use by now: it may have waited, or its host may have been frozen.
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
