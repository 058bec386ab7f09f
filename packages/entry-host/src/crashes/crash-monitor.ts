import {elapsedMs} from '@basilworks/core';
import {
  Completions,
  type CrashReport,
  Quarantine,
  type Server,
} from '@basilworks/dispatch';

import type {EntryHostContext} from '../context.js';
import type {KeyCompletion, PeerConnection} from '../peers/index.js';
import {
  CrashDetector,
  type Identify,
  type LostSend,
  type Probe,
} from './crash-detector.js';
import type {CloseEvidence, CrashGuard} from './crash-guard.js';
import {CrashInvestigator} from './crash-investigator.js';
import {logCrash} from './crash-log.js';
import {CrashReporter} from './crash-reporter.js';
import {QuarantineRecords} from './quarantine-records.js';

/**
 * Detects crashes of servers, takes part in finding the requests that cause
 * them, and keeps those from the servers.
 */
export class CrashMonitor implements CrashGuard {
  private readonly completions = new Completions();
  private readonly quarantine = new Quarantine();
  private readonly detector: CrashDetector;
  private readonly reporter: CrashReporter;
  private readonly investigator: CrashInvestigator;
  private readonly records: QuarantineRecords;

  constructor(
    private readonly context: EntryHostContext,
    linkTo: (host: string) => PeerConnection | undefined,
    probe: Probe,
    identify: Identify,
  ) {
    this.records = new QuarantineRecords(
      context,
      this.quarantine,
      () => this.reporter.investigators()[0] === context.settings.host,
      (key) => {
        this.investigator.announce(key);
      },
      (keys) => {
        this.investigator.forget(keys);
      },
    );
    this.investigator = new CrashInvestigator(
      context,
      this.completions,
      this.quarantine,
      this.records,
      linkTo,
    );
    this.reporter = new CrashReporter(context, linkTo, this.investigator);
    this.detector = new CrashDetector(
      context,
      {
        crashed: (crash) => {
          logCrash(context, crash);
          this.reporter.report(crash);
        },
        completed: ({keys}) => {
          this.recordCompleted(keys);
        },
      },
      probe,
      identify,
    );
  }

  start(): void {
    this.reporter.start();
    this.records.start();
  }

  isReady(): boolean {
    return this.context.views.get('records') !== undefined;
  }

  recordInterrupted(server: Server, send: LostSend): void {
    this.detector.recordInterrupted(server, send);
  }

  recordClosed(server: Server, send: LostSend): void {
    this.detector.recordClosed(server, send);
  }

  checkClose(server: Server): Promise<CloseEvidence> {
    return this.detector.checkClose(server);
  }

  recordUnreachable(server: Server): void {
    this.detector.recordUnreachable(server);
  }

  recordCompleted(keys: readonly string[]): void {
    this.completions.record(keys, this.context.clock.now());
  }

  quarantined(keys: () => readonly string[]): string | undefined {
    if (this.quarantine.isEmpty) {
      return undefined;
    }
    const at = this.context.clock.now();
    return keys().find((key) => this.quarantine.has(key, at));
  }

  onQuarantine(listener: () => void): () => void {
    return this.quarantine.subscribe(listener);
  }

  /** Applies the latest view of the records in the store. */
  applyRecords(): void {
    this.records.applyRecords();
  }

  /** Applies crash reports of another host. */
  applyReports(host: string, reports: readonly CrashReport[]): void {
    this.investigator.applyReports(host, reports);
  }

  /** Returns when requests with the keys were last completed at this host. */
  completionsOf(keys: readonly string[]): readonly KeyCompletion[] {
    const at = this.context.clock.now();
    return keys.flatMap((key) => {
      const completedAt = this.completions.latest(key);
      return completedAt === undefined
        ? []
        : [{key, ageMs: elapsedMs(completedAt, at)}];
    });
  }

  /** Applies the announcement of another host. */
  announce(keys: readonly string[]): void {
    const at = this.context.clock.now();
    for (const key of keys) {
      if (this.quarantine.announce(key, at)) {
        this.context.logger.info('requests with a key are refused', {key});
      }
    }
  }
}
