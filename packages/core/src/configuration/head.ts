import {z} from 'zod';

import {contentDigest} from '../lib/content-digest.js';
import {hashFraction} from '../lib/hash.js';
import {compareText} from '../lib/compare-text.js';
import type {AdapterId} from '../identifiers.js';
import {type AdapterEntry, adapterEntrySchema} from './adapter-entry.js';
import {adapterChangeSchema} from './sheet-result.js';

/** Kind of the immutable objects that hold the entries. */
export const PART_KIND = 'configuration-part';

/** Parts over which the entries are spread by a hash of the adapter. */
export const PART_COUNT = 64;

/** A key that signs resume tokens. */
export const signingKeySchema = z.object({
  id: z.string(),
  secretBase64: z.string(),
  /** Wall clock of the host that made it, milliseconds since the epoch. */
  createdWallMs: z.number(),
});
export type SigningKey = z.infer<typeof signingKeySchema>;

/** One earlier or current revision in the head's bounded history. */
export const revisionNoteSchema = z.object({
  revision: z.number().int().positive(),
  nonce: z.string(),
  operator: z.string(),
  /** The first changes of the revision. */
  changes: z.array(adapterChangeSchema),
  changeCount: z.number().int(),
  /** Parts that no revision refers to once this note is forgotten. */
  replacedParts: z.array(z.string()),
});
export type RevisionNote = z.infer<typeof revisionNoteSchema>;

/** What every host must know of a revision besides the entries. */
export const revisionSummarySchema = z.object({
  revision: z.number().int().positive(),
  /** Names the attempt that made the revision. */
  nonce: z.string(),
  operator: z.string(),
  /** Digest over all entries. */
  digest: z.string(),
  /** Newest first. */
  keys: z.array(signingKeySchema),
});
export type RevisionSummary = z.infer<typeof revisionSummarySchema>;

/** The one object whose conditional update puts a revision in force. */
export const configurationHeadSchema = revisionSummarySchema.extend({
  /** Names of the parts' objects, empty for a part without entries. */
  parts: z.array(z.string()).length(PART_COUNT),
  /** Newest first, the current revision included. */
  history: z.array(revisionNoteSchema),
});
export type ConfigurationHead = z.infer<typeof configurationHeadSchema>;

/** The content of a part. */
export const partSchema = z.array(adapterEntrySchema);

/** The part that an adapter's entry belongs to. */
export const partIndexOf = (adapter: AdapterId): number =>
  Math.floor(hashFraction(adapter) * PART_COUNT);

/** The text of a part, the same on every host for the same entries. */
export const partText = (entries: Iterable<AdapterEntry>): string =>
  JSON.stringify(
    [...entries].sort((first, second) =>
      compareText(first.adapter, second.adapter),
    ),
  );

/** Digest of a part, empty for a part without entries. */
export const partDigest = (
  entries: ReadonlyMap<AdapterId, AdapterEntry>,
): string =>
  entries.size === 0 ? '' : contentDigest(partText(entries.values()));

/** Digest over all entries, from the parts' digests in their order. */
export const digestOfParts = (digests: readonly string[]): string =>
  contentDigest(digests.join('\n'));

/** Name of a part's object: the digest and the revision that wrote it. */
export const partName = (digest: string, revision: number): string =>
  digest === '' ? '' : `${digest}-${revision}`;

/** The digest that a part's name begins with. */
export const digestOfPartName = (name: string): string =>
  name.slice(0, Math.max(0, name.indexOf('-')));
