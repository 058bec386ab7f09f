import {createHash, timingSafeEqual} from 'node:crypto';

import type {MemberId} from '@basilworks/core';

import type {DaemonSettings} from '../settings-schema.js';

const BEARER = /^Bearer +(\S+)$/i;

/** Finds who holds a bearer token, in constant time for each known token. */
export class Authenticator {
  private readonly members: readonly Holder[];
  private readonly operators: readonly Holder[];

  constructor({members, operators}: DaemonSettings) {
    this.members = members.map(({member, tokenDigest}) =>
      toHolder(member, tokenDigest),
    );
    this.operators = operators.map(({operator, tokenDigest}) =>
      toHolder(operator, tokenDigest),
    );
  }

  /** Member of an `Authorization` header; undefined when nobody's. */
  member(authorization: string | undefined): MemberId | undefined {
    return findHolder(this.members, authorization);
  }

  /** Operator of an `Authorization` header; undefined when nobody's. */
  operator(authorization: string | undefined): string | undefined {
    return findHolder(this.operators, authorization);
  }
}

interface Holder {
  readonly name: string;
  readonly digest: Buffer;
}

const toHolder = (name: string, tokenDigest: string): Holder => ({
  name,
  digest: Buffer.from(tokenDigest, 'hex'),
});

const findHolder = (
  holders: readonly Holder[],
  authorization: string | undefined,
): string | undefined => {
  const token = BEARER.exec(authorization ?? '')?.[1];
  if (token === undefined) {
    return undefined;
  }
  const digest = createHash('sha256').update(token).digest();
  let found: string | undefined;
  for (const holder of holders) {
    if (timingSafeEqual(digest, holder.digest)) {
      found = holder.name;
    }
  }
  return found;
};
