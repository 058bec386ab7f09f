import {chooseByRendezvous} from '@basilworks/core';
import {
  type RecordedVersions,
  type ServerEntry,
  type SoftwareVersions,
  softwareVersionsRecordName,
  decodeFleetRecord,
} from '@basilworks/dispatch';

import type {EntryHostContext} from '../context.js';

/** Interval of reviews, milliseconds; new servers cause one at once. */
const REVIEW_PERIOD_MS = 500;

/**
 * The software versions of each service in the metadata store, from which hosts
 * that start learn which versions may have begun streams. One host, by
 * rendezvous of the service, writes them.
 */
export class VersionRecords {
  private stored = new Map<string, number>();
  private readonly pending = new Set<string>();

  constructor(
    private readonly context: EntryHostContext,
    private readonly versions: SoftwareVersions,
  ) {}

  start(): void {
    const {timers, signal} = this.context;
    timers.every(
      'streams/versions',
      REVIEW_PERIOD_MS,
      () => {
        this.review();
      },
      {signal},
    );
  }

  /** Applies the latest view of the records in the store. */
  applyRecords(): void {
    const items = this.context.views.get('records')?.snapshot.items ?? [];
    const recorded = new Map<string, RecordedVersions>();
    this.stored = new Map();
    for (const item of items) {
      const record = decodeFleetRecord(item);
      if (record?.type === 'software-versions') {
        recorded.set(record.service, record);
        this.stored.set(record.service, item.revision);
      }
    }
    this.versions.applyRecorded(recorded, this.context.clock.now());
    this.applyServers();
  }

  /** Applies the latest view of the servers. */
  applyServers(): void {
    const {servers, clock} = this.context;
    const entries = servers.all().map(({entry}) => entry);
    const open = entries.filter(({leaving}) => !leaving);
    this.versions.applyPresent(
      versionsByService(entries),
      clock.now(),
      versionsByService(open),
    );
    this.review();
  }

  private review(): void {
    const {clock, membership, settings, views} = this.context;
    if (views.get('records') === undefined) {
      return;
    }
    const live = membership.live().map(({host}) => ({name: host, weight: 1}));
    for (const service of this.versions.services()) {
      const due = this.versions.due(service, clock.now());
      const key = `software versions of ${service}`;
      if (
        due !== undefined &&
        chooseByRendezvous(key, live) === settings.host
      ) {
        void this.write(service, due);
      }
    }
  }

  private async write(
    service: string,
    {versions, defaultVersion}: RecordedVersions,
  ): Promise<void> {
    if (this.pending.has(service)) {
      return;
    }
    this.pending.add(service);
    const {platform, metrics, logger} = this.context;
    const revision = this.stored.get(service);
    const result = await platform.store.write(
      softwareVersionsRecordName(service),
      {
        type: 'software-versions',
        service,
        versions: [...versions],
        defaultVersion,
      },
      revision,
    );
    this.pending.delete(service);
    const end = result.isOk() ? result.value.type : result.error.failure;
    const operation = revision === undefined ? 'create' : 'replace';
    metrics.storeCalls.inc({operation, end});
    logger.info('software versions recorded', {
      service,
      versions: versions.join(','),
      defaultVersion,
      end,
    });
  }
}

const versionsByService = (
  entries: readonly ServerEntry[],
): ReadonlyMap<string, ReadonlySet<string>> => {
  const byService = new Map<string, Set<string>>();
  for (const {service, softwareVersion} of entries) {
    const versions = byService.get(service) ?? new Set();
    byService.set(service, versions.add(softwareVersion));
  }
  return byService;
};
