import {z} from 'zod';

import {
  hostIdSchema,
  type HostId,
  type Incarnation,
  incarnationSchema,
  type ServerId,
} from '../identifiers.js';

/** One server's claim, as the zone's record holds it. */
export const claimSchema = z.object({
  owner: hostIdSchema,
  incarnation: incarnationSchema,
  /** Grows with each claim of the zone; sent with every order. */
  fencingNumber: z.number().int().positive(),
  /**
   * How the owner got it: as the `first` one; by `takeover`, against which the
   * previous owner's validity must pass; by `handover`, before which the
   * previous owner stopped by itself. A `released` claim has no owner; its
   * `owner` is the one that stopped by itself.
   */
  grant: z.enum(['first', 'takeover', 'handover', 'released']),
});
export type Claim = z.infer<typeof claimSchema>;

/** The object that holds the claims of one zone's servers. */
export const zoneRecordSchema = z.object({
  lastFencingNumber: z.number().int().nonnegative(),
  claims: z.record(z.string(), claimSchema),
});
export type ZoneRecord = z.infer<typeof zoneRecordSchema>;

/** The record of a zone that no host has written yet. */
export const EMPTY_ZONE_RECORD: ZoneRecord = {
  lastFencingNumber: 0,
  claims: {},
};

/** Whether the claim gives its server to this incarnation of a host. */
export const isHeldBy = (
  claim: Claim | undefined,
  host: HostId,
  incarnation: Incarnation,
): boolean =>
  claim?.owner === host &&
  claim.incarnation === incarnation &&
  claim.grant !== 'released';

/** A claim that a host is about to write. */
export interface ClaimProposal {
  readonly server: ServerId;
  readonly owner: HostId;
  readonly incarnation: Incarnation;
  readonly grant: Claim['grant'];
}

/** Returns the record with the claims proposed and the servers dropped. */
export const withClaims = (
  record: ZoneRecord,
  proposals: readonly ClaimProposal[],
  dropped: readonly ServerId[],
): ZoneRecord => {
  const claims = Object.fromEntries(
    Object.entries(record.claims).filter(
      ([server]) => !dropped.includes(server),
    ),
  );
  let {lastFencingNumber} = record;
  for (const {server, owner, incarnation, grant} of proposals) {
    lastFencingNumber += 1;
    claims[server] = {
      owner,
      incarnation,
      fencingNumber: lastFencingNumber,
      grant,
    };
  }
  return {lastFencingNumber, claims};
};
