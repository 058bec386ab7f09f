import {elapsedMs, type Instant} from '@basilworks/core';

/**
 * Time without a report after which a host counts as having no requests,
 * milliseconds.
 */
const REPORT_VALIDITY_MS = 12_000;

interface Report {
  requests: number;
  at: Instant;
}

/**
 * Requests of all hosts at one server, as known to the issuer of its orders.
 * Each host reports its number whenever it requests an adapter and whenever the
 * number changes. The issuer thus detects within a round trip that a server is
 * busy, even if no single host sends it much.
 */
export class ServerDemand {
  private readonly reports = new Map<string, Report>();

  /** Records the number of requests that a host has at the server. */
  applyReport(host: string, requests: number, at: Instant): void {
    if (requests === 0) {
      this.reports.delete(host);
    } else {
      this.reports.set(host, {requests, at});
    }
  }

  /** Counts one more request that a host was permitted to send. */
  recordGrant(host: string, at: Instant): void {
    this.applyReport(host, (this.reports.get(host)?.requests ?? 0) + 1, at);
  }

  /** Returns the number of requests of all live hosts at the server. */
  requests(isLive: (host: string) => boolean, at: Instant): number {
    let sum = 0;
    for (const [host, report] of this.reports) {
      if (elapsedMs(report.at, at) > REPORT_VALIDITY_MS || !isLive(host)) {
        this.reports.delete(host);
      } else {
        sum += report.requests;
      }
    }
    return sum;
  }
}

/** Number of requests that this host has at a server. */
export interface OwnRequests {
  /** Key of the server. */
  readonly server: string;
  readonly requests: number;
}

/** Numbers of requests that this host last reported for each server. */
export class ReportedRequests {
  private readonly reported = new Map<string, number>();

  /** Records a number that the issuer was sent or derives by itself. */
  record(server: string, requests: number): void {
    if (requests === 0) {
      this.reported.delete(server);
    } else {
      this.reported.set(server, requests);
    }
  }

  /**
   * Returns the servers whose number has changed, and records the new numbers.
   */
  changes(current: readonly OwnRequests[]): readonly OwnRequests[] {
    return current.filter(({server, requests}) => {
      const differs = (this.reported.get(server) ?? 0) !== requests;
      if (differs) {
        this.record(server, requests);
      }
      return differs;
    });
  }
}
