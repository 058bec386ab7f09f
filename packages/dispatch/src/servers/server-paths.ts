import {elapsedMs, type Instant} from '@basilworks/core';

/**
 * Time for which a failed direct connection to a live server counts,
 * milliseconds: a connection is tried directly again after it.
 */
const PROOF_VALIDITY_MS = 2_000;

/**
 * Servers that must be unreachable from here only before this host counts as
 * cut from all, and must be reached before it does not; all if there are fewer.
 */
const CUT_SERVERS = 3;

/**
 * How this host reaches servers. A server that a peer reaches and this host
 * does not is not to blame; it is reached through peers. If that holds for
 * several servers and none is reached directly meanwhile, this host is cut from
 * all servers.
 */
export class ServerPaths {
  /** When servers were last found to be unreachable from here only. */
  private readonly proofs = new Map<string, Instant>();
  /** Servers reached directly since this host was last found to be cut. */
  private readonly reached = new Set<string>();
  private lastDirectAt: Instant | undefined;
  private lastActivityAt: Instant | undefined;
  private cutAt: Instant | undefined;
  private silent = false;

  /** Whether this host is cut from all servers. */
  get isCut(): boolean {
    return this.cutAt !== undefined;
  }

  /**
   * Whether connection attempts get no answer: open connections then hang as
   * well. Where attempts are refused, open connections live on.
   */
  get isSilent(): boolean {
    return this.silent;
  }

  /** Records that a server sent something to this host. */
  recordActivity(at: Instant): void {
    this.lastActivityAt = at;
  }

  /** Time since any server sent something, milliseconds. */
  silentMs(at: Instant): number {
    return this.lastActivityAt === undefined
      ? Infinity
      : elapsedMs(this.lastActivityAt, at);
  }

  /** Records a direct connection; `known` is the number of servers. */
  recordDirect(server: string, known: number, at: Instant): void {
    this.lastDirectAt = at;
    this.proofs.delete(server);
    this.reached.add(server);
    if (this.reached.size >= Math.min(CUT_SERVERS, known)) {
      this.cutAt = undefined;
    }
  }

  /** Records a direct connection attempt that failed while this host is cut. */
  recordUnreached(): void {
    this.reached.clear();
  }

  /**
   * Records that a peer reached a server which this host does not reach; its
   * own attempt was refused, or got no answer.
   */
  recordRelayed(
    server: string,
    refused: boolean,
    known: number,
    at: Instant,
  ): void {
    this.silent = !refused;
    this.proofs.set(server, at);
    this.reached.clear();
    for (const [key, provedAt] of this.proofs) {
      if (elapsedMs(provedAt, at) > PROOF_VALIDITY_MS) {
        this.proofs.delete(key);
      }
    }
    const sinceDirect = [...this.proofs.values()].filter(
      (provedAt) =>
        this.lastDirectAt === undefined ||
        elapsedMs(this.lastDirectAt, provedAt) > 0,
    );
    if (sinceDirect.length >= Math.min(CUT_SERVERS, known)) {
      this.cutAt ??= at;
    }
  }

  /** Whether to reach a server through a peer at once. */
  usesRelay(server: string, at: Instant): boolean {
    const provedAt = this.proofs.get(server);
    return (
      this.isCut ||
      (provedAt !== undefined && elapsedMs(provedAt, at) <= PROOF_VALIDITY_MS)
    );
  }
}
