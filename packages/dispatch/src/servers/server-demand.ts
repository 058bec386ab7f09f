import {elapsedMs, type Instant} from '@basilworks/core';

/** A host that said nothing for this long has no requests there, ms. */
const WORD_VALIDITY_MS = 12_000;

interface Word {
  requests: number;
  at: Instant;
}

/**
 * Requests of all hosts at one server, as the issuer of its orders knows them:
 * each host says how many it has there whenever it asks for an adapter and
 * whenever that changes. So a server that no host alone sends much to is known
 * to be busy within a round trip.
 */
export class ServerDemand {
  private readonly words = new Map<string, Word>();

  /** A host says how many requests it has at the server. */
  applyReport(host: string, requests: number, at: Instant): void {
    if (requests === 0) {
      this.words.delete(host);
    } else {
      this.words.set(host, {requests, at});
    }
  }

  /** A host was let send one more. */
  recordGrant(host: string, at: Instant): void {
    this.applyReport(host, (this.words.get(host)?.requests ?? 0) + 1, at);
  }

  /** Requests at the server of the hosts that live. */
  requests(isLive: (host: string) => boolean, at: Instant): number {
    let sum = 0;
    for (const [host, word] of this.words) {
      if (elapsedMs(word.at, at) > WORD_VALIDITY_MS || !isLive(host)) {
        this.words.delete(host);
      } else {
        sum += word.requests;
      }
    }
    return sum;
  }
}

/** How many requests this host has at a server. */
export interface OwnRequests {
  /** Key of the server. */
  readonly server: string;
  readonly requests: number;
}

/** What this host said last of its requests at each server. */
export class ReportedRequests {
  private readonly told = new Map<string, number>();

  /** The issuer of a server was told, or will go by a number by itself. */
  record(server: string, requests: number): void {
    if (requests === 0) {
      this.told.delete(server);
    } else {
      this.told.set(server, requests);
    }
  }

  /** Returns the servers at which the number is another, and notes it. */
  changes(current: readonly OwnRequests[]): readonly OwnRequests[] {
    return current.filter(({server, requests}) => {
      const differs = (this.told.get(server) ?? 0) !== requests;
      if (differs) {
        this.record(server, requests);
      }
      return differs;
    });
  }
}
