import {
  type Completions,
  CrashEvidence,
  type CrashReport,
  instantBefore,
  type Quarantine,
  type Suspect,
} from '@basilworks/dispatch';

import type {EntryHostContext} from '../context.js';
import type {PeerConnection} from '../peers/index.js';
import type {QuarantineRecords} from './quarantine-records.js';

/**
 * Delay of an investigation after a report, milliseconds: the reports of other
 * hosts on the same crash arrive meanwhile.
 */
const INVESTIGATION_DELAY_MS = 60;

/** Name of the timer of the next investigation. */
const TIMER = 'crashes/investigate';

/**
 * Finds the keys of requests that crash servers, from the reports of all hosts.
 * Before it puts a key in quarantine, it asks all hosts whether requests with
 * it have been completed: a host that has lost none reports nothing.
 */
export class CrashInvestigator {
  private readonly evidence = new CrashEvidence();
  private investigating = false;
  private scheduled = false;

  constructor(
    private readonly context: EntryHostContext,
    private readonly completions: Completions,
    private readonly quarantine: Quarantine,
    private readonly records: Pick<QuarantineRecords, 'add'>,
    private readonly linkTo: (host: string) => PeerConnection | undefined,
  ) {}

  /** Applies the reports of a host. */
  applyReports(host: string, reports: readonly CrashReport[]): void {
    const at = this.context.clock.now();
    for (const report of reports) {
      this.evidence.applyReport(host, report, at);
    }
    this.schedule();
  }

  /** Announces a key in quarantine to all live hosts, this one included. */
  announce(key: string): void {
    this.quarantine.announce(key, this.context.clock.now());
    for (const host of this.otherHosts()) {
      void this.linkTo(host)?.announceQuarantine([key]);
    }
  }

  /** Discards the evidence on keys that have been released. */
  forget(keys: readonly string[]): void {
    for (const key of keys) {
      this.evidence.forget(key);
    }
  }

  private schedule(): void {
    if (this.scheduled) {
      return;
    }
    this.scheduled = true;
    this.context.timers.after(TIMER, INVESTIGATION_DELAY_MS, () => {
      this.scheduled = false;
      void this.investigate();
    });
  }

  private async investigate(): Promise<void> {
    if (this.investigating) {
      this.schedule();
      return;
    }
    const suspects = this.suspects();
    if (suspects.length === 0) {
      return;
    }
    this.investigating = true;
    const queried = new Set(suspects.map(({key}) => key));
    const answers = await this.queryCompletions([...queried]);
    this.investigating = false;
    // Each key in quarantine explains crashes that count for no other key.
    for (
      let [suspect] = this.suspects();
      suspect !== undefined;
      [suspect] = this.suspects()
    ) {
      if (!queried.has(suspect.key)) {
        // Reports that came meanwhile made it suspect; it may be above suspicion.
        this.schedule();
        return;
      }
      this.putInQuarantine(suspect, answers);
    }
  }

  private suspects(): readonly Suspect[] {
    const at = this.context.clock.now();
    const isQuarantined = (key: string) => this.quarantine.has(key, at);
    return this.evidence.suspects(isQuarantined, at);
  }

  /**
   * Asks all live hosts, this one included, for completions of the keys. Returns
   * how many others were asked and answered.
   */
  private async queryCompletions(keys: readonly string[]) {
    const {clock} = this.context;
    for (const key of keys) {
      const completedAt = this.completions.latest(key);
      if (completedAt !== undefined) {
        this.evidence.recordCompletion(key, completedAt);
      }
    }
    const answers = await Promise.all(
      this.otherHosts().map(async (host) => {
        const requestedAt = clock.now();
        const found = await this.linkTo(host)?.queryCompletions(keys);
        for (const {key, ageMs} of found ?? []) {
          const completedAt = instantBefore(requestedAt, ageMs);
          this.evidence.recordCompletion(key, completedAt);
        }
        return found !== undefined;
      }),
    );
    const hostsAnswered = answers.filter(Boolean).length;
    return {hostsAsked: answers.length, hostsAnswered};
  }

  private putInQuarantine(
    {key, crashes, presence}: Suspect,
    answers: {readonly hostsAsked: number; readonly hostsAnswered: number},
  ): void {
    const {logger, metrics} = this.context;
    metrics.quarantines.inc();
    logger.warn('requests with a key crash servers and are refused', {
      key,
      crashes,
      presence: Math.round(presence * 100) / 100,
      ...answers,
    });
    this.announce(key);
    this.records.add(key, crashes);
  }

  private otherHosts(): readonly string[] {
    const {membership, settings} = this.context;
    const hosts = membership.live().map(({host}) => host);
    return hosts.filter((host) => host !== settings.host);
  }
}
