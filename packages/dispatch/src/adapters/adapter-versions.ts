import type {AdapterVersionRecord} from '../servers/index.js';
import {adapterKey, type AdapterName} from './adapter-key.js';

/** Version of an adapter that has no announced version. */
export const FIRST_VERSION = 1;

/** Tracks the newest announced version of each adapter. */
export class AdapterVersions {
  private readonly newest = new Map<string, number>();

  /** Applies announcements; a version never decreases. */
  update(records: readonly AdapterVersionRecord[]): void {
    for (const record of records) {
      const key = adapterKey(record);
      this.newest.set(key, Math.max(this.get(record), record.version));
    }
  }

  get(name: AdapterName): number {
    return this.newest.get(adapterKey(name)) ?? FIRST_VERSION;
  }
}
