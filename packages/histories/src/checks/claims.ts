import {
  type Claim,
  type ZoneRecord,
  ZONE_RECORD_KIND,
  zoneRecordSchema,
} from '@basilworks/core';

import type {History, StoreWrite} from '../history.js';
import type {Violation} from './violation.js';

/**
 * The claims that took effect, in the order of their versions, form one legal
 * history: numbers grow, nobody but the owner gives a claim away, and a claim
 * is never taken as if it had not existed.
 */
export const checkClaims = ({writes}: History): readonly Violation[] => {
  const records = new Map<string, ZoneRecord>();
  const violations: Violation[] = [];
  for (const write of inOrder(writes)) {
    const {kind, name, value} = write.operation;
    if (kind !== ZONE_RECORD_KIND) {
      continue;
    }
    const after = zoneRecordSchema.safeParse(JSON.parse(value)).data;
    if (after === undefined) {
      const detail = `${name} is malformed`;
      violations.push({promise: 'claims-not-linear', atMs: write.atMs, detail});
      continue;
    }
    const before = records.get(name) ?? {lastFencingNumber: 0, claims: {}};
    records.set(name, after);
    for (const server of Object.keys(after.claims)) {
      const fault = faultOf(write, before, after, server);
      if (fault !== undefined) {
        violations.push({
          promise: 'claims-not-linear',
          atMs: write.atMs,
          detail: `${server}: ${fault}`,
        });
      }
    }
  }
  return violations;
};

/** Writes in the order in which they took effect. */
export const inOrder = (writes: readonly StoreWrite[]): readonly StoreWrite[] =>
  [...writes].sort((first, second) => first.version - second.version);

const faultOf = (
  {host}: StoreWrite,
  before: ZoneRecord,
  after: ZoneRecord,
  server: string,
): string | undefined => {
  const from = before.claims[server];
  const to = after.claims[server];
  if (to === undefined || JSON.stringify(from) === JSON.stringify(to)) {
    return undefined;
  }
  if (to.fencingNumber <= before.lastFencingNumber) {
    return `number ${to.fencingNumber} is not new`;
  }
  return isLegal(host, from, to)
    ? undefined
    : `${host} turned ${JSON.stringify(from)} into ${JSON.stringify(to)}`;
};

const isLegal = (host: string, from: Claim | undefined, to: Claim): boolean => {
  switch (to.grant) {
    case 'first':
      return from === undefined && to.owner === host;
    case 'takeover':
      return from !== undefined && to.owner === host;
    case 'handover':
      return (
        from !== undefined &&
        (from.grant === 'released' ? to.owner === host : from.owner === host)
      );
    case 'released':
      return from?.owner === host && from.incarnation === to.incarnation;
  }
};
