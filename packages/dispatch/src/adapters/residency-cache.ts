import {elapsedMs, type Instant} from '@basilworks/core';

import {adapterKey, type AdapterName} from './adapter-key.js';

/** What the issuer of a server's orders promised of an adapter there. */
export interface Residency {
  readonly server: string;
  readonly version: number;
  /** It stays resident until then, by this host's clocks. */
  readonly validMs: number;
  readonly since: Instant;
  /** Requests sent on this promise, told at the next renewal. */
  uses: number;
}

/** A promise that ran out this long ago is still worth a try, milliseconds. */
const BELIEF_MS = 5_000;

/** Entries above which the oldest are dropped. */
const MAXIMUM_ENTRIES = 5_000;

/** Which adapters are resident where, as far as this host was told. */
export class ResidencyCache {
  private readonly entries = new Map<string, Residency>();

  /** Notes a promise of `validMs`, counted from when it was asked for. */
  promise(
    name: AdapterName,
    server: string,
    version: number,
    validMs: number,
    since: Instant,
  ): void {
    const key = entryKey(name, server);
    this.entries.delete(key);
    this.entries.set(key, {server, version, validMs, since, uses: 0});
    if (this.entries.size > MAXIMUM_ENTRIES) {
      const [oldest] = this.entries.keys();
      this.entries.delete(oldest ?? key);
    }
  }

  /** The promise for a server, if it still holds for this version. */
  valid(
    name: AdapterName,
    server: string,
    version: number,
    at: Instant,
  ): Residency | undefined {
    const entry = this.entries.get(entryKey(name, server));
    return entry !== undefined &&
      entry.version >= version &&
      elapsedMs(entry.since, at) < entry.validMs
      ? entry
      : undefined;
  }

  /** Whether the adapter was promised there lately. */
  believed(
    name: AdapterName,
    server: string,
    version: number,
    at: Instant,
  ): boolean {
    const entry = this.entries.get(entryKey(name, server));
    return (
      entry !== undefined &&
      entry.version >= version &&
      elapsedMs(entry.since, at) < entry.validMs + BELIEF_MS
    );
  }

  /** Returns and clears the uses since the last promise. */
  takeUses(name: AdapterName, server: string): number {
    const entry = this.entries.get(entryKey(name, server));
    const uses = entry?.uses ?? 0;
    if (entry !== undefined) {
      entry.uses = 0;
    }
    return uses;
  }

  /** The server said that it does not hold the adapter. */
  refuted(name: AdapterName, server: string): void {
    this.entries.delete(entryKey(name, server));
  }
}

const entryKey = (name: AdapterName, server: string): string =>
  `${adapterKey(name)} ${server}`;
