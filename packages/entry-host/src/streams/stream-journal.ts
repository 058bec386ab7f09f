import {
  eraOf,
  type StreamOrigin,
  StreamOrigins,
  type StreamRecord,
} from '@basilworks/dispatch';

import type {EntryHostContext} from '../context.js';

/**
 * Minimum interval between two writes of a host, milliseconds: streams that
 * began within it are unknown after a kill of all hosts.
 */
const WRITE_PERIOD_MS = 250;

/**
 * Interval between two writes for each host of the fleet, milliseconds: bounds
 * the writes of all hosts to some 80 per second.
 */
const WRITE_PERIOD_PER_HOST_MS = 12;

/** Interval between attempts to load the journals, milliseconds. */
const LOAD_RETRY_MS = 500;

/** Newest streams that a host saves, some 30 bytes each. */
const MAXIMUM_SAVED = 4_000;

/**
 * Saves where the streams of this host began that have not ended, so that they
 * are known after a kill of all hosts.
 */
export class StreamJournal {
  private readonly open = new StreamOrigins();
  private savedText = EMPTY;
  /** Era of the store in which it was saved. */
  private savedEra = 0;
  private saving = false;
  private loaded = false;
  private loading: Promise<void> | undefined;

  constructor(
    private readonly context: EntryHostContext,
    /** Whether streams of several versions may go on. */
    private readonly isNeeded: () => boolean,
    /** Receives the streams in the journals of all hosts. */
    private readonly onLoaded: (origins: readonly StreamOrigin[]) => void,
  ) {}

  start(): void {
    this.scheduleWrite();
  }

  recordBegan(origin: StreamOrigin): void {
    this.open.record(origin, this.context.clock.now());
  }

  recordEnded(requestId: string): void {
    this.open.remove(requestId);
  }

  /** Loads the journals if they are needed and have not been loaded. */
  async load(): Promise<void> {
    if (!this.loaded) {
      this.loading ??= this.readAll();
      await this.loading;
    }
  }

  private async readAll(): Promise<void> {
    const {platform, metrics, settings, logger, timers} = this.context;
    const result = await platform.store.loadStreams();
    const end = result.isOk() ? 'ok' : result.error.failure;
    metrics.storeCalls.inc({operation: 'list', end});
    this.loading = undefined;
    if (result.isErr()) {
      timers.after('streams/load', LOAD_RETRY_MS, () => {
        void this.load();
      });
      return;
    }
    this.loaded = true;
    const records = result.value;
    for (const record of records) {
      const origins = originsOf(record);
      this.onLoaded(origins);
      if (record.host === settings.host) {
        // Kept in the journal of this host, which the next write replaces.
        origins.forEach((origin) => {
          this.recordBegan(origin);
        });
      }
    }
    logger.info('stream origins loaded', {
      hosts: records.length,
      streams: records.reduce((sum, {streams}) => sum + streams.length, 0),
    });
  }

  private scheduleWrite(): void {
    const {timers, membership, signal} = this.context;
    const hosts = membership.live().length;
    const periodMs = Math.max(
      WRITE_PERIOD_MS,
      hosts * WRITE_PERIOD_PER_HOST_MS,
    );
    timers.after('streams/write', periodMs, () => {
      void this.write();
      if (!signal.aborted) {
        this.scheduleWrite();
      }
    });
  }

  /** Writes the journal if it has changed. */
  private async write(): Promise<void> {
    const needed = this.isNeeded();
    if (this.saving || (needed && !this.loaded)) {
      return;
    }
    const {platform, metrics, settings} = this.context;
    const streams = needed
      ? this.open
          .all()
          .slice(-MAXIMUM_SAVED)
          .map(({requestId, softwareVersion}): [string, string] => [
            requestId,
            softwareVersion,
          ])
      : [];
    const text = JSON.stringify(streams);
    const era = eraOf(this.context.views.revision('records'));
    const restored = era > this.savedEra && text !== EMPTY;
    if (text === this.savedText && !restored) {
      return;
    }
    this.saving = true;
    const result = await platform.store.saveStreams({
      host: settings.host,
      streams,
    });
    this.saving = false;
    const end = result.isOk() ? 'written' : result.error.failure;
    metrics.storeCalls.inc({operation: 'replace', end});
    if (result.isOk()) {
      this.savedText = text;
      this.savedEra = era;
    }
  }
}

const EMPTY = '[]';

const originsOf = ({streams}: StreamRecord): readonly StreamOrigin[] =>
  streams.map(([requestId, softwareVersion]) => ({requestId, softwareVersion}));
