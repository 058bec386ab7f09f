import {err, ok, type Result} from 'neverthrow';

import type {Tenant} from '../configuration/index.js';

/** Why the tenants of a configuration can't be told apart. */
export class AmbiguousTenants extends Error {
  override readonly name = 'AmbiguousTenants';
}

/** Matches names that are not valid in a header. */
// eslint-disable-next-line no-control-regex
const UNFIT_NAME = /[\x00-\x1f\x7f]/;

/**
 * Index of the tenants of one configuration by key digest, so that a request
 * costs one look-up, whatever the number of keys.
 */
export class KeyRing {
  private constructor(
    private readonly byDigest: ReadonlyMap<string, Tenant>,
    /** Names of all tenants. */
    readonly names: ReadonlySet<string>,
  ) {}

  /** Rejects duplicate names, invalid names and keys shared by two tenants. */
  static of(tenants: readonly Tenant[]): Result<KeyRing, AmbiguousTenants> {
    const byDigest = new Map<string, Tenant>();
    const names = new Set<string>();
    for (const tenant of tenants) {
      const {name} = tenant;
      if (UNFIT_NAME.test(name)) {
        return err(new AmbiguousTenants('a name has control characters'));
      }
      if (names.has(name)) {
        return err(new AmbiguousTenants(`two tenants are named ${name}`));
      }
      names.add(name);
      for (const digest of tenant.keyDigests) {
        const other = byDigest.get(digest) ?? tenant;
        if (other !== tenant) {
          const detail = `${other.name} and ${name} have a key in common`;
          return err(new AmbiguousTenants(detail));
        }
        byDigest.set(digest, tenant);
      }
    }
    return ok(new KeyRing(byDigest, names));
  }

  find(digest: string): Tenant | undefined {
    return this.byDigest.get(digest);
  }
}
