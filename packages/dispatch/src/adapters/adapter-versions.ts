import type {Instant} from '@basilworks/core';

import type {AdapterVersionRecord} from '../servers/index.js';
import {adapterKey, type AdapterName} from './adapter-key.js';

/** Version of an adapter that has no announced version. */
export const FIRST_VERSION = 1;

/** Announcements that are kept of one adapter. */
const MAXIMUM_ANNOUNCEMENTS = 16;

/** A version of an adapter, and when it was announced. */
export interface VersionAnnouncement {
  readonly version: number;
  /** When this host learned of it. */
  readonly learnedAt: Instant;
  /** Latest instant at which it was known not to be announced yet. */
  readonly announcedAfter: Instant;
}

/** Tracks the announced versions of each adapter. */
export class AdapterVersions {
  private readonly newest = new Map<string, number>();
  /** The latest announcements of each adapter, oldest first. */
  private readonly announcements = new Map<
    string,
    readonly VersionAnnouncement[]
  >();

  /** Applies records that were learned of now; a version never decreases. */
  update(
    records: readonly AdapterVersionRecord[],
    learnedAt: Instant,
    announcedAfter = learnedAt,
  ): void {
    for (const record of records) {
      const {version} = record;
      if (version > this.get(record)) {
        const key = adapterKey(record);
        const announcement = {version, learnedAt, announcedAfter};
        const known = this.announcements.get(key) ?? [];
        this.newest.set(key, version);
        this.announcements.set(
          key,
          [...known, announcement].slice(-MAXIMUM_ANNOUNCEMENTS),
        );
      }
    }
  }

  get(name: AdapterName): number {
    return this.newest.get(adapterKey(name)) ?? FIRST_VERSION;
  }

  /** The earliest known announcement of a newer version, if there is one. */
  firstNewer(
    name: AdapterName,
    version: number,
  ): VersionAnnouncement | undefined {
    return this.announcements
      .get(adapterKey(name))
      ?.find((announcement) => announcement.version > version);
  }
}
