import {elapsedMs, type Instant} from '@basilworks/core';

import {STREAM_RETENTION_MS} from './stream-origins.js';

/** The software versions of a service on record. */
export interface RecordedVersions {
  readonly versions: readonly string[];
  /** The version at which a stream began that no host was told of. */
  readonly defaultVersion?: string | undefined;
}

/**
 * The software versions at which streams of a service may have begun: those on
 * record and those of its servers. What two versions write does not fit
 * together, so that a stream goes on only at the version that began it.
 */
export class SoftwareVersions {
  private recorded = new Map<string, ReadonlySet<string>>();
  private defaults = new Map<string, string>();
  private present = new Map<string, ReadonlySet<string>>();
  /** Versions of servers that don't leave, by service. */
  private open: ReadonlyMap<string, ReadonlySet<string>> = new Map();
  /**
   * When versions last had servers, by service; for versions on record that had
   * none since this host started, when it learned of them.
   */
  private readonly seenAt = new Map<string, Map<string, Instant>>();

  /** Replaces the versions on record, by service. */
  applyRecorded(
    recorded: ReadonlyMap<string, RecordedVersions>,
    at: Instant,
  ): void {
    this.recorded = new Map();
    this.defaults = new Map();
    for (const [service, {versions, defaultVersion}] of recorded) {
      this.recorded.set(service, new Set(versions));
      // All streams that may go on began at the sole version.
      const [sole, ...others] = versions;
      const known = others.length === 0 ? sole : defaultVersion;
      if (known !== undefined && versions.includes(known)) {
        this.defaults.set(service, known);
      }
    }
    this.recordSeen(at);
  }

  /**
   * Replaces the versions of servers, by service: those of all, and those of
   * servers that don't leave.
   */
  applyPresent(
    present: ReadonlyMap<string, ReadonlySet<string>>,
    at: Instant,
    open = present,
  ): void {
    this.recordSeen(at);
    this.present = new Map(present);
    this.open = open;
    this.recordSeen(at);
  }

  /** Services that have servers. */
  services(): readonly string[] {
    return [...this.present.keys()];
  }

  /** Versions at which streams that may go on may have begun. */
  possible(service: string, at: Instant): ReadonlySet<string> {
    return new Set([
      ...(this.recorded.get(service) ?? []),
      ...this.recent(service, at),
    ]);
  }

  /**
   * Whether a stream may begin at a version: it has to be on record first, so
   * that hosts which start later know of it. Where no recorded version has
   * servers, streams begin at any.
   */
  mayBegin(service: string, version: string): boolean {
    const recorded = this.recorded.get(service);
    const serving = this.present.get(service) ?? new Set<string>();
    return (
      recorded === undefined ||
      recorded.has(version) ||
      ![...serving].some((present) => recorded.has(present))
    );
  }

  /**
   * The version at which a stream began that no host was told of; undefined if
   * there is none, and hosts are told of each stream.
   */
  defaultOf(service: string): string | undefined {
    return this.defaults.get(service);
  }

  /** Whether a version has servers that don't leave. */
  isServing(service: string, version: string): boolean {
    return this.open.get(service)?.has(version) === true;
  }

  /**
   * Whether hosts were told of each stream that began at a version, in a service
   * at least: it is not the default one there, or not known yet.
   */
  isException(version: string, at: Instant): boolean {
    const services = this.services().filter((service) =>
      this.possible(service, at).has(version),
    );
    return (
      services.length === 0 ||
      services.some((service) => this.defaults.get(service) !== version)
    );
  }

  /** Whether streams have begun at the default version only until now. */
  hasBegunAtDefaultOnly(service: string): boolean {
    const version = this.defaults.get(service);
    return (
      version !== undefined &&
      this.recorded.get(service)?.size === 1 &&
      this.isServing(service, version)
    );
  }

  /** What to put on record in place of what is there; undefined if nothing. */
  due(service: string, at: Instant): RecordedVersions | undefined {
    const recorded = this.recorded.get(service);
    const wanted = this.recent(service, at);
    if (
      wanted.length === (recorded?.size ?? 0) &&
      wanted.every((version) => recorded?.has(version) === true)
    ) {
      return undefined;
    }
    const versions = [...wanted].sort();
    const known = this.defaults.get(service);
    if (known === undefined) {
      return {versions};
    }
    // Where the default has left, its streams have ended, and hosts were told of
    // all others.
    const defaultVersion = versions.includes(known) ? known : versions[0];
    return {versions, defaultVersion};
  }

  /** Versions that have had servers within the time of a stream. */
  private recent(service: string, at: Instant): readonly string[] {
    this.recordSeen(at);
    return [...(this.seenAt.get(service) ?? [])]
      .filter(([, seenAt]) => elapsedMs(seenAt, at) < STREAM_RETENTION_MS)
      .map(([version]) => version);
  }

  private recordSeen(at: Instant): void {
    for (const [service, versions] of this.present) {
      const seen = this.seenOf(service);
      for (const version of versions) {
        seen.set(version, at);
      }
    }
    for (const [service, versions] of this.recorded) {
      const seen = this.seenOf(service);
      for (const version of versions) {
        seen.set(version, seen.get(version) ?? at);
      }
    }
    for (const [service, seen] of this.seenAt) {
      for (const [version, seenAt] of seen) {
        const onRecord = this.recorded.get(service)?.has(version) === true;
        if (!onRecord && elapsedMs(seenAt, at) >= STREAM_RETENTION_MS) {
          seen.delete(version);
        }
      }
    }
  }

  private seenOf(service: string): Map<string, Instant> {
    const known = this.seenAt.get(service);
    if (known !== undefined) {
      return known;
    }
    const seen = new Map<string, Instant>();
    this.seenAt.set(service, seen);
    return seen;
  }
}
