import {elapsedMs, type Instant, rankByRendezvous} from '@basilworks/core';
import type {CrashReport} from '@basilworks/dispatch';

import type {EntryHostContext} from '../context.js';
import type {PeerConnection} from '../peers/index.js';
import type {ServerCrash} from './crash-detector.js';

/**
 * Hosts that investigate crashes: with two, one may be lost or cut off without
 * delay.
 */
const INVESTIGATORS = 2;

/** Interval of reports that have not been received, milliseconds. */
const RETRY_PERIOD_MS = 500;

/**
 * How long reports are kept for hosts that become investigators, milliseconds.
 */
const RETENTION_MS = 60_000;

/** Key by which the investigators rank highest. */
const INVESTIGATION = 'crash investigation';

/** A report and the hosts that have received it. */
interface PendingReport {
  readonly crash: ServerCrash;
  readonly receivedBy: Set<string>;
}

/** Receives reports of this host. */
export interface ReportReceiver {
  applyReports(host: string, reports: readonly CrashReport[]): void;
}

/**
 * Reports crashes to the hosts that investigate them, again whenever others
 * take over the investigation.
 */
export class CrashReporter {
  private readonly reports = new Map<string, PendingReport>();

  constructor(
    private readonly context: EntryHostContext,
    private readonly linkTo: (host: string) => PeerConnection | undefined,
    /** Receives the reports where this host is an investigator. */
    private readonly own: ReportReceiver,
  ) {}

  start(): void {
    const {timers, signal} = this.context;
    timers.every(
      'crashes/report',
      RETRY_PERIOD_MS,
      () => {
        this.sendPending();
      },
      {signal},
    );
  }

  /** Reports a crash, in place of an earlier report of the same crash. */
  report(crash: ServerCrash): void {
    const {key} = crash.server;
    this.reports.set(key, {crash, receivedBy: new Set()});
    this.sendPending();
  }

  /** Names of the hosts that investigate crashes, as this host sees it. */
  investigators(): readonly string[] {
    const hosts = this.context.membership.live().map(({host}) => host);
    return rankByRendezvous(INVESTIGATION, hosts).slice(0, INVESTIGATORS);
  }

  private sendPending(): void {
    const {clock, settings} = this.context;
    const at = clock.now();
    for (const [key, {crash}] of this.reports) {
      if (elapsedMs(crash.at, at) > RETENTION_MS) {
        this.reports.delete(key);
      }
    }
    if (this.reports.size === 0) {
      return;
    }
    for (const host of this.investigators()) {
      const pending = [...this.reports.values()].filter(
        ({receivedBy}) => !receivedBy.has(host),
      );
      if (pending.length === 0) {
        continue;
      }
      const reports = pending.map(({crash}) => toReport(crash, at));
      if (host === settings.host) {
        this.own.applyReports(host, reports);
        markReceived(pending, host);
      } else {
        void this.linkTo(host)
          ?.reportCrashes(settings.host, reports)
          .then((received) => {
            if (received) {
              markReceived(pending, host);
            }
          });
      }
    }
  }
}

const markReceived = (
  pending: readonly PendingReport[],
  host: string,
): void => {
  for (const {receivedBy} of pending) {
    receivedBy.add(host);
  }
};

const toReport = (
  {server, at: crashedAt, sends}: ServerCrash,
  at: Instant,
): CrashReport => ({
  server: server.key,
  ageMs: elapsedMs(crashedAt, at),
  requests: sends.map(({keys, sentAt}) => ({
    keys,
    runMs: elapsedMs(sentAt, crashedAt),
  })),
});
