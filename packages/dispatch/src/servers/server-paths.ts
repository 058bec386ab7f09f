import {elapsedMs, type Instant} from '@basilworks/core';

import type {Server} from './server-table.js';

/**
 * Servers of a service that must be unreachable from here only before this host
 * counts as cut from all of them, and must be reached before it does not; all
 * if there are fewer.
 */
const CUT_SERVERS = 3;

/** Unreached servers that a host tells others of at most. */
export const MAXIMUM_UNREACHED = 128;

/** What identifies a server and its service. */
export interface PathTarget {
  readonly key: string;
  readonly entry: Pick<Server['entry'], 'service'>;
}

/**
 * How this host reaches servers. A server that a peer reaches and this host
 * does not is not to blame; it is reached through peers until a direct
 * connection succeeds. If that holds for several servers of a service, and this
 * host has heard from none of it directly meanwhile, it is cut from all of it.
 */
export class ServerPaths {
  private readonly services = new Map<string, ServicePaths>();

  /** Whether any server is reached by peers only. */
  get isImpaired(): boolean {
    return [...this.services.values()].some((paths) => paths.isImpaired);
  }

  /** Whether this host is cut from all servers of a service. */
  isCutFrom(service: string): boolean {
    return this.services.get(service)?.isCut ?? false;
  }

  /** Whether any server of a service is reached by peers only. */
  isImpairedFor(service: string): boolean {
    return this.services.get(service)?.isImpaired ?? false;
  }

  /** Whether to reach a server through a peer at once. */
  usesRelay({key, entry}: PathTarget): boolean {
    return this.services.get(entry.service)?.usesRelay(key) ?? false;
  }

  /**
   * Whether connection attempts to a service get no answer: open connections
   * then hang as well. Where attempts are refused, open connections live on.
   */
  isSilent(service: string): boolean {
    return this.services.get(service)?.silent ?? false;
  }

  /** Records that a server sent something on a direct connection. */
  recordActivity({entry}: PathTarget, at: Instant): void {
    this.of(entry.service).lastDirectAt = at;
  }

  /** Time since a service sent something directly, milliseconds. */
  silentMs(service: string, at: Instant): number {
    const since = this.services.get(service)?.lastDirectAt;
    return since === undefined ? Infinity : elapsedMs(since, at);
  }

  /** Records a direct connection; `known` is the size of the service. */
  recordDirect({key, entry}: PathTarget, known: number, at: Instant): void {
    this.of(entry.service).recordDirect(key, known, at);
  }

  /** Records a direct connection attempt that failed. */
  recordUnreached({entry}: PathTarget): void {
    this.services.get(entry.service)?.reached.clear();
  }

  /**
   * Records that a peer reached a server which this host does not reach; its
   * own attempt was refused, or got no answer.
   */
  recordRelayed(
    {key, entry}: PathTarget,
    refused: boolean,
    known: number,
    at: Instant,
  ): void {
    this.of(entry.service).recordRelayed(key, refused, known, at);
  }

  /** Forgets servers that are gone. */
  retain(keys: ReadonlySet<string>): void {
    for (const paths of this.services.values()) {
      paths.retain(keys);
    }
  }

  private of(service: string): ServicePaths {
    const known = this.services.get(service) ?? new ServicePaths();
    this.services.set(service, known);
    return known;
  }
}

/** How this host reaches the servers of one service. */
class ServicePaths {
  /** When this host last heard from the service on a direct connection. */
  lastDirectAt: Instant | undefined;
  silent = false;
  isCut = false;
  /** Servers reached directly since the last attempt that failed. */
  readonly reached = new Set<string>();
  /** When servers were last found to be unreachable from here only. */
  private readonly proofs = new Map<string, Instant>();

  get isImpaired(): boolean {
    return this.isCut || this.proofs.size > 0;
  }

  usesRelay(server: string): boolean {
    return this.isCut || this.proofs.has(server);
  }

  recordDirect(server: string, known: number, at: Instant): void {
    this.lastDirectAt = at;
    this.proofs.delete(server);
    this.reached.add(server);
    if (this.reached.size >= Math.min(CUT_SERVERS, known)) {
      this.isCut = false;
    }
  }

  recordRelayed(
    server: string,
    refused: boolean,
    known: number,
    at: Instant,
  ): void {
    this.silent = !refused;
    this.proofs.set(server, at);
    this.reached.clear();
    const sinceDirect = [...this.proofs.values()].filter(
      (provedAt) =>
        this.lastDirectAt === undefined ||
        elapsedMs(this.lastDirectAt, provedAt) > 0,
    );
    this.isCut ||= sinceDirect.length >= Math.min(CUT_SERVERS, known);
  }

  retain(keys: ReadonlySet<string>): void {
    for (const server of this.proofs.keys()) {
      if (!keys.has(server)) {
        this.proofs.delete(server);
      }
    }
  }
}
