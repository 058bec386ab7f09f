import {elapsedMs, type Instant} from '@basilworks/core';
import {
  adapterKey,
  type AdapterName,
  type AdapterVersions,
  FIRST_VERSION,
  parseModelReference,
  type PrepareAnswer,
  type PrepareRequest,
  type Server,
  type VersionAnnouncement,
} from '@basilworks/dispatch';

import type {EntryHostContext} from '../context.js';
import {describeError} from '../lib/describe-error.js';
import type {ViewGate} from '../store/index.js';

/** A request that was sent to a server and whose answer has not begun. */
export interface UnansweredSend {
  readonly requestId: string;
  /** Base model and adapter that the request names. */
  readonly model: string | undefined;
  /** Version that it was sent for; undefined for the first one. */
  readonly version: number | undefined;
  readonly server: Server;
  readonly priority: number;
  /** Takes the request back from the server. */
  withdraw(): void;
}

/** Log fields of the adapter version of a send. */
export interface VersionLogFields {
  /** Version that it was sent for. */
  readonly version?: number;
  /** The first newer version that this host knows. */
  readonly newerVersion?: number;
  /**
   * Time from when that version may have been announced, and from when this
   * host knew it, to the first event or the end of the send, milliseconds.
   * Negative if the send began before.
   */
  readonly newerAgeMs?: number;
  readonly newerKnownMs?: number;
}

/** A send that is tracked. */
interface TrackedSend extends UnansweredSend {
  readonly name: AdapterName;
  readonly since: Instant;
}

/** Interval of reviews while requests wait at servers, milliseconds. */
const REVIEW_PERIOD_MS = 200;

/**
 * How long before the end of the bound a server is to replace an older version,
 * milliseconds: an order may have to wait for others. Requests that begin
 * before that are left alone, since a replacement has the adapter fetched.
 */
const REPLACEMENT_LEAD_MS = 2_500;

/** How long before the end of the bound requests are withdrawn, milliseconds. */
const WITHDRAWAL_LEAD_MS = 400;

/**
 * Shortest time from the news to a withdrawal, milliseconds. An order refuses
 * the request with a proof that it has not run; a withdrawal has none.
 */
const MINIMUM_REFUSAL_MS = 1_000;

/** Wait at a server from which the view of versions is confirmed, ms. */
const CONFIRMED_WAIT_MS = 1_000;

/**
 * Time after which a replacement is requested again, milliseconds: the issuer
 * may have refused it, or have failed.
 */
const REPLACEMENT_RETRY_MS = 500;

/** Longest wait for a replacement, which waits for running requests, ms. */
const MAXIMUM_REPLACEMENT_MS = 10_000;

/** Makes an adapter resident at a server through its issuer. */
export type PrepareAdapter = (
  server: Server,
  request: PrepareRequest,
) => Promise<PrepareAnswer>;

/**
 * Keeps requests from beginning on an outdated version of their adapter. A
 * request begins when its server answers, which may be long after it was sent
 * there. Once a newer version is announced, the server is made to replace the
 * version that a request waits for, which refuses the request; if it still
 * waits near the end of the bound, it is withdrawn.
 */
export class VersionGuard {
  private readonly tracked = new Set<TrackedSend>();
  /** When a replacement was last requested, by server, adapter and version. */
  private readonly requestedAt = new Map<string, Instant>();
  private serial = 0;
  private reviewScheduled = false;

  constructor(
    private readonly context: EntryHostContext,
    private readonly versions: AdapterVersions,
    private readonly gate: Pick<ViewGate, 'isConfirmed' | 'confirm'>,
    private readonly prepare: PrepareAdapter,
  ) {}

  /**
   * Tracks a send until the returned function is called, when its answer begins
   * or it ends.
   */
  track(send: UnansweredSend): () => void {
    const {model, adapter} = parseModelReference(send.model ?? '');
    if (adapter === undefined) {
      return () => undefined;
    }
    const since = this.context.clock.now();
    const tracked = {...send, name: {model, adapter}, since};
    this.tracked.add(tracked);
    this.scheduleReview();
    return () => {
      this.tracked.delete(tracked);
    };
  }

  /** Describes the version of a send whose first event came at `startedAt`. */
  logFields(
    {model: reference, server, version}: Omit<UnansweredSend, 'withdraw'>,
    startedAt: Instant | undefined,
  ): VersionLogFields {
    const {model, adapter} = parseModelReference(reference ?? '');
    if (adapter === undefined) {
      return {};
    }
    const sent = version ?? FIRST_VERSION;
    const newer = this.versions.firstNewer({model, adapter}, sent);
    if (newer === undefined) {
      return {version: sent};
    }
    const at = startedAt ?? this.context.clock.now();
    const newerAgeMs = elapsedMs(newer.announcedAfter, at);
    if (startedAt !== undefined && newerAgeMs > 0) {
      const {service} = server.entry;
      const {outdatedStartSeconds} = this.context.metrics;
      outdatedStartSeconds.observe({service}, newerAgeMs / 1_000);
    }
    return {
      version: sent,
      newerVersion: newer.version,
      newerAgeMs: Math.round(newerAgeMs),
      newerKnownMs: Math.round(elapsedMs(newer.learnedAt, at)),
    };
  }

  private scheduleReview(): void {
    if (!this.reviewScheduled) {
      this.reviewScheduled = true;
      const {timers} = this.context;
      timers.after('sends/versions', REVIEW_PERIOD_MS, () => {
        this.reviewScheduled = false;
        this.review();
      });
    }
  }

  private review(): void {
    const at = this.context.clock.now();
    let mustConfirm = false;
    for (const [key, requestedAt] of this.requestedAt) {
      if (elapsedMs(requestedAt, at) >= REPLACEMENT_RETRY_MS) {
        this.requestedAt.delete(key);
      }
    }
    for (const send of this.tracked) {
      const {name, version = FIRST_VERSION, since} = send;
      const newer = this.versions.firstNewer(name, version);
      if (newer !== undefined) {
        this.endWait(send, newer, at);
      } else {
        mustConfirm ||= elapsedMs(since, at) > CONFIRMED_WAIT_MS;
      }
    }
    if (mustConfirm && !this.gate.isConfirmed(at)) {
      // A newer version may have been announced without this host's knowledge.
      void this.gate.confirm(at);
    }
    if (this.tracked.size > 0) {
      this.scheduleReview();
    }
  }

  private endWait(
    send: TrackedSend,
    {version, learnedAt, announcedAfter}: VersionAnnouncement,
    at: Instant,
  ): void {
    const {settings, logger, metrics} = this.context;
    const {requestId, server} = send;
    const {service, id} = server.entry;
    const leftMs =
      settings.newsBounds.adapterVersionMs - elapsedMs(announcedAfter, at);
    const knownMs = elapsedMs(learnedAt, at);
    if (leftMs <= WITHDRAWAL_LEAD_MS && knownMs >= MINIMUM_REFUSAL_MS) {
      this.tracked.delete(send);
      metrics.outdatedSends.inc({service, action: 'withdrawn'});
      logger.info('request withdrawn from a server with an older version', {
        requestId,
        server: id,
        version: send.version ?? FIRST_VERSION,
        newerVersion: version,
        newerKnownMs: Math.round(knownMs),
        waitedMs: Math.round(elapsedMs(send.since, at)),
      });
      send.withdraw();
    } else if (leftMs <= REPLACEMENT_LEAD_MS) {
      this.requestReplacement(send, Math.max(0, leftMs)).catch(
        (error: unknown) => {
          const detail = describeError(error);
          logger.error('request for a replacement failed', {error: detail});
        },
      );
    }
  }

  /** Has the server replace the version for which a request waits there. */
  private async requestReplacement(
    {requestId, server, name, priority}: TrackedSend,
    leftMs: number,
  ): Promise<void> {
    const {settings, logger, metrics} = this.context;
    const version = this.versions.get(name);
    const key = `${server.key} ${adapterKey(name)} ${version}`;
    if (this.requestedAt.has(key)) {
      return;
    }
    this.requestedAt.set(key, this.context.clock.now());
    const answer = await this.prepare(server, {
      ...name,
      host: settings.host,
      requestId: `${requestId}/replace/${(this.serial += 1)}`,
      version,
      maximumWaitMs: MAXIMUM_REPLACEMENT_MS,
      onTimeWithinMs: leftMs,
      priority,
      uses: 0,
      inFlight: server.health.inFlight,
      // The order ends a wait at the server, however many wait there.
      takesCrowded: true,
      among: 1,
      promptTokens: 0,
    });
    const {service, id} = server.entry;
    const outcome =
      answer.outcome === 'resident' ? answer.outcome : answer.reason;
    metrics.outdatedSends.inc({service, action: outcome});
    logger.info('replacement of an older adapter version requested', {
      requestId,
      server: id,
      ...name,
      version,
      outcome,
    });
  }
}
