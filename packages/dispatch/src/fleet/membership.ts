import {elapsedMs, type Instant, rankByRendezvous} from '@basilworks/core';

/** What a host tells others about itself. */
export interface HostStatus {
  readonly host: string;
  /** Identifies one run of its process. */
  readonly incarnation: string;
  readonly zone: string;
  readonly peerAddress: string;
  readonly callerAddress: string;
  /** It can serve callers. */
  readonly ready: boolean;
  /** It reads the store successfully. */
  readonly readsStore: boolean;
  /** Revision of the records that it goes by. */
  readonly recordsRevision: number;
}

interface KnownHost {
  status: HostStatus;
  heardAt: Instant;
}

/**
 * A host that was not heard for this long is not live, milliseconds: a few
 * rounds of exchanges.
 */
export const LIVENESS_MS = 2_000;

/**
 * Which entry hosts live, by their own word. Nothing is agreed: each host
 * decides by what it heard, and a wrong belief costs efficiency only.
 */
export class Membership {
  private readonly hosts = new Map<string, KnownHost>();

  constructor(readonly self: () => HostStatus) {}

  /** A host spoke, to this one or to a peer that says so. */
  heard(status: HostStatus, at: Instant): void {
    const known = this.hosts.get(status.host);
    if (known === undefined || elapsedMs(known.heardAt, at) >= 0) {
      this.hosts.set(status.host, {status, heardAt: at});
    }
  }

  /** Live hosts, this one included. */
  live(at: Instant): readonly HostStatus[] {
    const others = [...this.hosts.values()]
      .filter(({heardAt}) => elapsedMs(heardAt, at) <= LIVENESS_MS)
      .map(({status}) => status);
    return [this.self(), ...others];
  }

  isLive(host: string, at: Instant): boolean {
    return host === this.self().host || this.silentMs(host, at) <= LIVENESS_MS;
  }

  /** Milliseconds since a host was heard. */
  silentMs(host: string, at: Instant): number {
    const known = this.hosts.get(host);
    return known === undefined ? Infinity : elapsedMs(known.heardAt, at);
  }

  status(host: string): HostStatus | undefined {
    return host === this.self().host
      ? this.self()
      : this.hosts.get(host)?.status;
  }

  forget(host: string): void {
    this.hosts.delete(host);
  }

  /**
   * The hosts that should read the store: the first `count` of a stable ranking
   * of the live hosts that are able to.
   */
  readers(count: number, at: Instant): readonly HostStatus[] {
    const self = this.self().host;
    const able = new Map(
      this.live(at)
        .filter(({readsStore, host}) => readsStore || host === self)
        .map((status) => [status.host, status]),
    );
    return rankByRendezvous('store-reader', [...able.keys()])
      .slice(0, count)
      .flatMap((host) => able.get(host) ?? []);
  }

  /** Whether this host is one of `count` readers. */
  isReader(count: number, at: Instant): boolean {
    const self = this.self().host;
    return this.readers(count, at).some(({host}) => host === self);
  }
}
