import {elapsedMs, type Instant} from '@basilworks/core';

import {adapterKey, type AdapterName} from './adapter-key.js';

/** What the issuer of a server's orders promised of an adapter there. */
export interface AdapterLease {
  readonly server: string;
  readonly version: number;
  /** It stays resident until then, by this host's clocks. */
  readonly validMs: number;
  readonly since: Instant;
  /** Requests sent on this promise, told at the next renewal. */
  uses: number;
}

interface Entry extends AdapterName {
  residency: AdapterLease;
  /** Requests of this host that are at the server. */
  inFlight: number;
}

/** An adapter that this host is done with. */
export interface AdapterRelease {
  readonly name: AdapterName;
  readonly server: string;
}

/** Which adapters are resident where, as far as this host was told. */
export class ResidencyCache {
  private readonly entries = new Map<string, Entry>();

  /** Notes a promise of `validMs`, counted from when it was asked for. */
  recordLease(
    name: AdapterName,
    server: string,
    version: number,
    validMs: number,
    since: Instant,
  ): void {
    const key = entryKey(name, server);
    const residency = {server, version, validMs, since, uses: 0};
    const known = this.entries.get(key);
    if (known === undefined) {
      const {model, adapter} = name;
      this.entries.set(key, {model, adapter, residency, inFlight: 0});
    } else {
      known.residency = residency;
    }
  }

  /** A request goes to the adapter. */
  requestStarted(name: AdapterName, server: string): void {
    const entry = this.entries.get(entryKey(name, server));
    if (entry !== undefined) {
      entry.inFlight += 1;
    }
  }

  /** A request on the adapter has ended. */
  requestEnded(name: AdapterName, server: string): void {
    const entry = this.entries.get(entryKey(name, server));
    if (entry !== undefined) {
      entry.inFlight = Math.max(0, entry.inFlight - 1);
    }
  }

  /** Returns and forgets what is neither promised nor in use any more. */
  releaseExpired(at: Instant): readonly AdapterRelease[] {
    const released: AdapterRelease[] = [];
    for (const [key, {residency, inFlight, model, adapter}] of this.entries) {
      const {since, validMs, server} = residency;
      if (inFlight === 0 && elapsedMs(since, at) >= validMs) {
        this.entries.delete(key);
        released.push({name: {model, adapter}, server});
      }
    }
    return released;
  }

  /** Milliseconds until something is to be released; undefined if nothing is. */
  nextReleaseMs(at: Instant): number | undefined {
    const dueMs = [...this.entries.values()]
      .filter(({inFlight}) => inFlight === 0)
      .map(({residency}) => residency.validMs - elapsedMs(residency.since, at));
    return dueMs.length === 0 ? undefined : Math.max(0, Math.min(...dueMs));
  }

  /** The promise for a server, if it still holds for this version. */
  validLease(
    name: AdapterName,
    server: string,
    version: number,
    at: Instant,
  ): AdapterLease | undefined {
    const residency = this.entries.get(entryKey(name, server))?.residency;
    return residency !== undefined &&
      residency.version >= version &&
      elapsedMs(residency.since, at) < residency.validMs
      ? residency
      : undefined;
  }

  /** Whether the adapter was resident there when last heard of. */
  lastKnownResident(
    name: AdapterName,
    server: string,
    version: number,
  ): boolean {
    const residency = this.entries.get(entryKey(name, server))?.residency;
    return residency !== undefined && residency.version >= version;
  }

  /** Returns and clears the uses since the last promise. */
  takeUses(name: AdapterName, server: string): number {
    const entry = this.entries.get(entryKey(name, server));
    const uses = entry?.residency.uses ?? 0;
    if (entry !== undefined) {
      entry.residency.uses = 0;
    }
    return uses;
  }

  /** The server said that it does not hold the adapter. */
  markAbsent(name: AdapterName, server: string): void {
    const entry = this.entries.get(entryKey(name, server));
    if (entry !== undefined) {
      entry.residency = {...entry.residency, version: 0, validMs: 0};
    }
  }
}

const entryKey = (name: AdapterName, server: string): string =>
  `${adapterKey(name)} ${server}`;
