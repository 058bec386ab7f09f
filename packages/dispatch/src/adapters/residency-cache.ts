import {elapsedMs, type Instant} from '@basilworks/core';

import {adapterKey, type AdapterName} from './adapter-key.js';

/** A lease on a resident adapter, granted by the issuer of its server. */
export interface AdapterLease {
  readonly server: string;
  readonly version: number;
  /** Duration of the lease from `since`, ms, by this host's clocks. */
  readonly validMs: number;
  readonly since: Instant;
  /** Requests sent under this lease, reported with the next renewal. */
  uses: number;
}

interface Entry extends AdapterName {
  lease: AdapterLease;
  /** Requests of this host in flight on the adapter. */
  inFlight: number;
}

/** An adapter on a server that this host no longer references. */
export interface AdapterRelease {
  readonly name: AdapterName;
  readonly server: string;
}

/** The adapter leases of this host and the last known resident adapters. */
export class ResidencyCache {
  private readonly entries = new Map<string, Entry>();

  /** Records a lease of `validMs` from `since`, when it was requested. */
  recordLease(
    name: AdapterName,
    server: string,
    version: number,
    validMs: number,
    since: Instant,
  ): void {
    const key = entryKey(name, server);
    const lease = {server, version, validMs, since, uses: 0};
    const known = this.entries.get(key);
    if (known === undefined) {
      const {model, adapter} = name;
      this.entries.set(key, {model, adapter, lease, inFlight: 0});
    } else {
      known.lease = lease;
    }
  }

  /** Records that a request is sent to the adapter. */
  requestStarted(name: AdapterName, server: string): void {
    const entry = this.entries.get(entryKey(name, server));
    if (entry !== undefined) {
      entry.inFlight += 1;
    }
  }

  /** Records that a request on the adapter has ended. */
  requestEnded(name: AdapterName, server: string): void {
    const entry = this.entries.get(entryKey(name, server));
    if (entry !== undefined) {
      entry.inFlight = Math.max(0, entry.inFlight - 1);
    }
  }

  /** Removes and returns adapters without a valid lease or any request. */
  releaseExpired(at: Instant): readonly AdapterRelease[] {
    const released: AdapterRelease[] = [];
    for (const [key, {lease, inFlight, model, adapter}] of this.entries) {
      const {since, validMs, server} = lease;
      if (inFlight === 0 && elapsedMs(since, at) >= validMs) {
        this.entries.delete(key);
        released.push({name: {model, adapter}, server});
      }
    }
    return released;
  }

  /** Milliseconds until the next release; undefined if there is none. */
  nextReleaseMs(at: Instant): number | undefined {
    const dueMs = [...this.entries.values()]
      .filter(({inFlight}) => inFlight === 0)
      .map(({lease}) => lease.validMs - elapsedMs(lease.since, at));
    return dueMs.length === 0 ? undefined : Math.max(0, Math.min(...dueMs));
  }

  /** The valid lease on a server for at least this version, if any. */
  validLease(
    name: AdapterName,
    server: string,
    version: number,
    at: Instant,
  ): AdapterLease | undefined {
    const lease = this.entries.get(entryKey(name, server))?.lease;
    return lease !== undefined &&
      lease.version >= version &&
      elapsedMs(lease.since, at) < lease.validMs
      ? lease
      : undefined;
  }

  /** Whether the last known state of the adapter on the server is resident. */
  lastKnownResident(
    name: AdapterName,
    server: string,
    version: number,
  ): boolean {
    const lease = this.entries.get(entryKey(name, server))?.lease;
    return lease !== undefined && lease.version >= version;
  }

  /** Returns and resets the number of uses under the current lease. */
  takeUses(name: AdapterName, server: string): number {
    const entry = this.entries.get(entryKey(name, server));
    const uses = entry?.lease.uses ?? 0;
    if (entry !== undefined) {
      entry.lease.uses = 0;
    }
    return uses;
  }

  /** Records that the server reported the adapter as not resident. */
  markAbsent(name: AdapterName, server: string): void {
    const entry = this.entries.get(entryKey(name, server));
    if (entry !== undefined) {
      entry.lease = {...entry.lease, version: 0, validMs: 0};
    }
  }
}

const entryKey = (name: AdapterName, server: string): string =>
  `${adapterKey(name)} ${server}`;
