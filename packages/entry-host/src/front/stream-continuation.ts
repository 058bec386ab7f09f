import type {Server} from '@basilworks/dispatch';

import type {StreamVersion, StreamVersionGuard} from '../streams/index.js';

/** What a request says of the stream that it begins or takes up. */
export interface StreamRequest {
  readonly service: string;
  /** Id of this request. */
  readonly requestId: string;
  /** Id of the request that began the stream, if the caller names one. */
  readonly resumes: string | undefined;
  /** Whether the caller has received events of the stream. */
  readonly takesUp: boolean;
}

/**
 * Keeps a resumable stream at the software version that began it, within one
 * answer and where its caller takes it up again.
 */
export class StreamContinuation {
  /** Where the stream may go on; undefined until that is known. */
  private version: StreamVersion | undefined;
  private hasEvent = false;
  /** Versions at which too few hosts can confirm that it is about to begin. */
  private readonly refused = new Set<string>();
  /** What keepers were last told of where the stream is about to begin. */
  private announcement:
    | {readonly softwareVersion: string; readonly isAcknowledged: boolean}
    | undefined;

  constructor(
    private readonly guard: StreamVersionGuard,
    private readonly request: StreamRequest,
  ) {}

  /** Whether the caller has received events of the stream. */
  get takesUp(): boolean {
    return this.request.takesUp;
  }

  /** Details of a stream that is taken up, for the log. */
  get logFields() {
    const {version} = this;
    return {
      resumes: this.request.resumes,
      service: this.request.service,
      softwareVersion:
        version?.type === 'known' ? version.softwareVersion : undefined,
      basis: version?.basis,
    };
  }

  /**
   * Finds out where a stream that the caller takes up may go on; false if no
   * host knows and it may be one of several versions.
   */
  async find(): Promise<boolean> {
    const {service, resumes} = this.request;
    this.version = await this.guard.versionOf(service, resumes);
    return this.version.type !== 'unknown';
  }

  /** Whether the stream may begin or go on at a server. */
  allows({entry}: Server): boolean {
    return this.version?.type === 'known'
      ? entry.softwareVersion === this.version.softwareVersion
      : !this.refused.has(entry.softwareVersion) &&
          this.guard.mayBegin(entry.service, entry.softwareVersion);
  }

  /**
   * Has other hosts remember that the stream is about to begin at a server; false
   * if it must not.
   */
  async announce({entry}: Server): Promise<boolean> {
    if (this.version !== undefined) {
      return true;
    }
    const {service, softwareVersion} = entry;
    if (this.isAcknowledgedAt(softwareVersion)) {
      return true;
    }
    const wasAnnounced = this.announcement !== undefined;
    // Keepers may be told although they don't confirm it.
    this.announcement = {softwareVersion, isAcknowledged: false};
    const outcome = await this.guard.announce(
      service,
      {requestId: this.streamId, softwareVersion},
      wasAnnounced,
    );
    this.announcement =
      outcome === 'needless'
        ? undefined
        : {softwareVersion, isAcknowledged: outcome === 'acknowledged'};
    if (outcome === 'refused') {
      this.refused.add(softwareVersion);
    }
    return outcome !== 'refused';
  }

  /** Records that an event of a server was passed on to the caller. */
  recordEvent({entry}: Server): void {
    if (this.hasEvent) {
      return;
    }
    this.hasEvent = true;
    const {softwareVersion} = entry;
    this.version = {type: 'known', softwareVersion, basis: 'remembered'};
    const requestId = this.streamId;
    this.guard.recordBegan(
      entry.service,
      {requestId, softwareVersion},
      this.isAcknowledgedAt(softwareVersion),
    );
  }

  /** Records that the stream reached its end. */
  recordEnd(): void {
    if (this.version !== undefined) {
      this.guard.recordEnded(this.streamId);
    }
  }

  private isAcknowledgedAt(softwareVersion: string): boolean {
    const {announcement} = this;
    return (
      announcement?.isAcknowledged === true &&
      announcement.softwareVersion === softwareVersion
    );
  }

  /** Id of the request that began the stream. */
  private get streamId(): string {
    const {takesUp, resumes, requestId} = this.request;
    return takesUp ? (resumes ?? requestId) : requestId;
  }
}
