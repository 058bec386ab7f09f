import {elapsedMs, type Instant} from '@basilworks/core';
import {
  ANNOUNCEMENT_MS,
  eraOf,
  type Quarantine,
  quarantineRecordName,
  type QuarantineRecord,
  decodeFleetRecord,
} from '@basilworks/dispatch';

import type {EntryHostContext} from '../context.js';

/**
 * Interval at which records are written that the store has not taken yet, and
 * expired ones removed, milliseconds.
 */
const REVIEW_PERIOD_MS = 500;

/** Interval between announcements of a key without a record, milliseconds. */
const ANNOUNCEMENT_PERIOD_MS = ANNOUNCEMENT_MS / 3;

/**
 * Time for which keys stay in quarantine whose records a restored store has
 * forgotten, milliseconds: their records are written again by then.
 */
const RESTORATION_MS = 10_000;

/**
 * The quarantine in the metadata store, from which hosts that start, all of
 * them included, learn it. A record that an operator deletes releases its key.
 */
export class QuarantineRecords {
  /** Records that this host has yet to write. */
  private readonly unwritten = new Map<string, QuarantineRecord>();
  /** When keys without a record were last announced. */
  private readonly announcedAt = new Map<string, Instant>();
  private readonly pending = new Set<string>();
  /** Records in the store by their keys. */
  private stored = new Map<string, StoredRecord>();
  /** Keys whose records a restored store has forgotten, and since when. */
  private readonly forgotten = new Map<string, Instant>();
  private era = 0;

  constructor(
    private readonly context: EntryHostContext,
    private readonly quarantine: Quarantine,
    /** Whether this host removes expired records. */
    private readonly removesExpired: () => boolean,
    /** Announces a key to all hosts. */
    private readonly announce: (key: string) => void,
    /** Called with keys that have been released. */
    private readonly onReleased: (keys: readonly string[]) => void,
  ) {}

  start(): void {
    const {timers, signal} = this.context;
    timers.every(
      'crashes/records',
      REVIEW_PERIOD_MS,
      () => {
        this.review();
      },
      {signal},
    );
  }

  /** Writes the record of a key. */
  add(key: string, crashes: number): void {
    this.unwritten.set(key, {type: 'quarantine', key, crashes});
    this.review();
  }

  /** Applies the latest view of the records in the store. */
  applyRecords(): void {
    const {views, clock, logger} = this.context;
    const {items = [], revision: viewRevision = 0} =
      views.get('records')?.snapshot ?? {};
    const before = this.stored;
    const at = clock.now();
    this.stored = new Map(
      items.flatMap((item) => {
        const record = decodeFleetRecord(item);
        const {name, revision} = item;
        return record?.type === 'quarantine'
          ? [[record.key, {name, revision, record}]]
          : [];
      }),
    );
    if (eraOf(viewRevision) > this.era) {
      this.era = eraOf(viewRevision);
      this.restore(before, at);
    }
    const keys = [...this.stored.keys(), ...this.forgottenKeys(at)];
    const released = this.quarantine.applyRecorded(keys, at);
    if (released.length > 0) {
      logger.info('keys released from quarantine', {keys: released.join(',')});
      this.onReleased(released);
    }
  }

  /**
   * Keeps the keys in quarantine whose records a restored store has forgotten,
   * as no operator has deleted them. One host writes them again.
   */
  private restore(
    before: ReadonlyMap<string, StoredRecord>,
    at: Instant,
  ): void {
    for (const [key, {record}] of before) {
      if (!this.stored.has(key)) {
        this.forgotten.set(key, at);
        if (this.removesExpired()) {
          this.unwritten.set(key, record);
        }
      }
    }
  }

  /** Keys whose records are missing and have not been written again yet. */
  private forgottenKeys(at: Instant): readonly string[] {
    for (const [key, since] of this.forgotten) {
      if (this.stored.has(key) || elapsedMs(since, at) > RESTORATION_MS) {
        this.forgotten.delete(key);
      }
    }
    return [...this.forgotten.keys()];
  }

  private review(): void {
    for (const [key, record] of this.unwritten) {
      void this.write(key, record);
    }
    if (this.removesExpired()) {
      for (const key of this.quarantine.expired(this.context.clock.now())) {
        void this.remove(key);
      }
    }
  }

  private async write(key: string, record: QuarantineRecord): Promise<void> {
    if (this.pending.has(key)) {
      return;
    }
    this.pending.add(key);
    const {platform, metrics} = this.context;
    const name = quarantineRecordName(key);
    const result = await platform.store.write(name, record, undefined);
    this.pending.delete(key);
    const end = result.isOk() ? result.value.type : result.error.failure;
    metrics.storeCalls.inc({operation: 'create', end});
    if (result.isOk()) {
      // Written now or, on a conflict, before by another host.
      this.unwritten.delete(key);
      this.announcedAt.delete(key);
    } else if (this.isAnnouncementDue(key)) {
      this.announce(key);
    }
  }

  /**
   * Whether a key without a record has to be announced again. The announcement
   * that came before its record is the first.
   */
  private isAnnouncementDue(key: string): boolean {
    const at = this.context.clock.now();
    const announcedAt = this.announcedAt.get(key);
    if (announcedAt === undefined) {
      this.announcedAt.set(key, at);
      return false;
    }
    if (elapsedMs(announcedAt, at) < ANNOUNCEMENT_PERIOD_MS) {
      return false;
    }
    this.announcedAt.set(key, at);
    return true;
  }

  private async remove(key: string): Promise<void> {
    const stored = this.stored.get(key);
    if (stored === undefined || this.pending.has(key)) {
      return;
    }
    this.pending.add(key);
    const {platform, metrics} = this.context;
    const result = await platform.store.remove(stored.name, stored.revision);
    this.pending.delete(key);
    const end = result.isOk() ? 'removed' : result.error.failure;
    metrics.storeCalls.inc({operation: 'remove', end});
  }
}

/** A record in the store. */
interface StoredRecord {
  readonly name: string;
  readonly revision: number;
  readonly record: QuarantineRecord;
}
