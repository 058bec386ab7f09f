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
}

interface KnownHost {
  status: HostStatus;
  heardAt: Instant;
}

/** A host that was not heard for this long is not live, milliseconds. */
export const LIVENESS_MS = 1_500;

/** Peers with which every exchange round talks; more take turns. */
export const PEERS_PER_ROUND = 12;

/**
 * Which entry hosts live, by their own word. Nothing is agreed: each host
 * decides by what it heard, and a wrong belief costs efficiency only.
 */
export class Membership {
  private readonly hosts = new Map<string, KnownHost>();

  constructor(readonly self: () => HostStatus) {}

  /** A host spoke. */
  heard(status: HostStatus, at: Instant): void {
    this.hosts.set(status.host, {status, heardAt: at});
  }

  /** Live hosts, this one included. */
  live(at: Instant): readonly HostStatus[] {
    const others = [...this.hosts.values()]
      .filter(({heardAt}) => elapsedMs(heardAt, at) <= this.livenessMs())
      .map(({status}) => status);
    return [this.self(), ...others];
  }

  isLive(host: string, at: Instant): boolean {
    return host === this.self().host || this.silentMs(host, at) <= this.livenessMs();
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
   * Whether this host should read the store: it is among the first `readers` of
   * a stable ranking of the live hosts that are able to.
   */
  isReader(readers: number, at: Instant): boolean {
    const self = this.self().host;
    const able = this.live(at)
      .filter(({readsStore, host}) => readsStore || host === self)
      .map(({host}) => host);
    return rankByRendezvous('store-reader', able)
      .slice(0, readers)
      .includes(self);
  }

  private livenessMs(): number {
    return LIVENESS_MS * Math.max(1, this.hosts.size / PEERS_PER_ROUND);
  }
}
