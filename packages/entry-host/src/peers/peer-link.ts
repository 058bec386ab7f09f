import {elapsedMs, type Instant} from '@basilworks/core';
import type {Clock, TimerService} from '@basilworks/daemon';
import type {
  CrashReport,
  IssuerUpdate,
  PrepareAnswer,
  PrepareRequest,
  StreamAnswer,
  StreamOrigin,
} from '@basilworks/dispatch';
import {fleet} from '@basilworks/protocol';
import {type ClientDuplexStream, credentials} from '@grpc/grpc-js';

import {encodeCrashReports, type KeyCompletion} from './crash-codec.js';
import {
  decodePrepareAnswer,
  UNREACHABLE_ANSWER,
} from './prepare-answer-codec.js';

/** Time-out of an exchange, milliseconds. */
const EXCHANGE_TIMEOUT_MS = 700;

/** Allowance for the round trip of a prepare request, milliseconds. */
const PREPARE_TRANSIT_MS = 120;

/**
 * Time-out of requests for permits and quota tokens, milliseconds: several
 * round trips within a region.
 */
const PERMIT_TIMEOUT_MS = 120;

/** Time-out of calls about streams to their keepers, milliseconds. */
const STREAM_TIMEOUT_MS = 200;

/** Time-out of calls about crashes of servers, milliseconds. */
const CRASH_TIMEOUT_MS = 400;

/** How long after an abandoned call its response is accepted, milliseconds. */
const LATE_RESPONSE_WINDOW_MS = 5_000;

/** How long a peer counts as unresponsive after a missed response, ms. */
const UNRESPONSIVE_MS = 1_500;

/** Consecutive missed responses after which a connection is replaced. */
const MAXIMUM_CONSECUTIVE_MISSES = 2;

/** Maximum size of a message, bytes: fits all snapshots of a large site. */
const MAXIMUM_MESSAGE_BYTES = 16 * 1_048_576;

/** gRPC options for peer servers and clients. */
export const PEER_CHANNEL_OPTIONS = {
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.min_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 1_000,
  // The receiver would count a retried message twice.
  'grpc.enable_retries': 0,
  'grpc.max_receive_message_length': MAXIMUM_MESSAGE_BYTES,
  'grpc.max_send_message_length': MAXIMUM_MESSAGE_BYTES,
  'grpc.enable_channelz': 0,
};

type Conversation = ClientDuplexStream<fleet.PeerRequest, fleet.PeerResponse>;
type Request = NonNullable<fleet.PeerRequest['request']>;
type Response = fleet.PeerResponse['response'];

interface CallOptions {
  readonly signal?: AbortSignal;
  /** Receives a response that arrives after the call was abandoned. */
  readonly onLateResponse?: (response: Response) => void;
  /**
   * Set where the time-out is too short for a missed response to indicate a
   * problem of the peer.
   */
  readonly toleratesMiss?: boolean;
}

/** A host of an older build does not answer these calls. */
const CRASH_CALL_OPTIONS: CallOptions = {toleratesMiss: true};

/** Number of links created, which makes their timer names unique. */
let linkCount = 0;

/** A connection to one peer, multiplexing calls over one stream. */
export class PeerLink {
  private client: fleet.FleetServiceClient;
  private conversation: Conversation | undefined;
  private readonly pending = new Map<number, (response: Response) => void>();
  private readonly name = `peers/link/${(linkCount += 1)}`;
  private serial = 0;
  private misses = 0;
  private missedAt: Instant | undefined;

  constructor(
    readonly address: string,
    private readonly timers: TimerService,
    private readonly clock: Clock,
  ) {
    this.client = this.connect();
  }

  /** Whether a response was missed recently and none has arrived since. */
  get isUnresponsive(): boolean {
    return (
      this.missedAt !== undefined &&
      elapsedMs(this.missedAt, this.clock.now()) < UNRESPONSIVE_MS
    );
  }

  /** Exchanges state; undefined if no response arrives in time. */
  async exchange(
    value: fleet.ExchangeRequest,
    timeoutMs = EXCHANGE_TIMEOUT_MS,
  ): Promise<fleet.ExchangeResponse | undefined> {
    const request: Request = {$case: 'exchange', value};
    const response = await this.call(request, timeoutMs);
    return response?.$case === 'exchange' ? response.value : undefined;
  }

  /**
   * Asks the peer to make an adapter resident. A missing answer counts as a
   * refusal. An answer that arrives later goes to `onLateAnswer`, as the peer
   * keeps a reference on the adapter for it.
   */
  async prepare(
    fromHost: string,
    serverRun: string,
    request: PrepareRequest,
    signal: AbortSignal,
    onLateAnswer: (answer: PrepareAnswer) => void,
  ): Promise<PrepareAnswer> {
    const {requestId, model, adapter, version, priority, uses} = request;
    const {inFlight, takesCrowded, among, slowness, promptTokens} = request;
    const maximumWaitMs = Math.ceil(request.maximumWaitMs);
    const onTimeWithinMs = Math.max(0, Math.floor(request.onTimeWithinMs));
    const adapterFields = {
      fromHost,
      serverRun,
      requestId,
      model,
      adapter,
      version,
    };
    const response = await this.call(
      {
        $case: 'prepare',
        value: {
          ...adapterFields,
          maximumWaitMs,
          onTimeWithinMs,
          priority,
          uses,
          inFlight,
          takesCrowded,
          among,
          slowness,
          promptTokens,
        },
      },
      maximumWaitMs + PREPARE_TRANSIT_MS,
      {
        signal,
        onLateResponse: (lateResponse) => {
          if (lateResponse?.$case === 'prepare') {
            onLateAnswer(decodePrepareAnswer(lateResponse.value));
          }
        },
      },
    );
    return response?.$case === 'prepare'
      ? decodePrepareAnswer(response.value)
      : UNREACHABLE_ANSWER;
  }

  /** Requests a permit; undefined if no response arrives in time. */
  async permit(
    value: fleet.PermitRequest,
  ): Promise<fleet.PermitResponse | undefined> {
    const request: Request = {$case: 'permit', value};
    const response = await this.call(request, PERMIT_TIMEOUT_MS, {
      toleratesMiss: true,
    });
    return response?.$case === 'permit' ? response.value : undefined;
  }

  /** Requests quota tokens; undefined if no response arrives in time. */
  async quota(
    value: fleet.QuotaRequest,
  ): Promise<fleet.QuotaResponse | undefined> {
    const request: Request = {$case: 'quota', value};
    const response = await this.call(request, PERMIT_TIMEOUT_MS, {
      toleratesMiss: true,
    });
    return response?.$case === 'quota' ? response.value : undefined;
  }

  /** Reports crashes of servers; false if the peer did not confirm. */
  async reportCrashes(
    fromHost: string,
    reports: readonly CrashReport[],
  ): Promise<boolean> {
    const crashes = encodeCrashReports(reports);
    const response = await this.call(
      {$case: 'crashReport', value: {fromHost, crashes}},
      CRASH_TIMEOUT_MS,
      CRASH_CALL_OPTIONS,
    );
    return response?.$case === 'crashReport';
  }

  /**
   * Asks when requests with the keys were last completed at the peer; undefined
   * if no response arrives in time.
   */
  async queryCompletions(
    keys: readonly string[],
  ): Promise<readonly KeyCompletion[] | undefined> {
    const response = await this.call(
      {$case: 'completions', value: {keys: [...keys]}},
      CRASH_TIMEOUT_MS,
      CRASH_CALL_OPTIONS,
    );
    return response?.$case === 'completions'
      ? response.value.completions
      : undefined;
  }

  /** Announces keys in quarantine; false if the peer did not confirm. */
  async announceQuarantine(keys: readonly string[]): Promise<boolean> {
    const response = await this.call(
      {$case: 'quarantine', value: {keys: [...keys]}},
      CRASH_TIMEOUT_MS,
      CRASH_CALL_OPTIONS,
    );
    return response?.$case === 'quarantine';
  }

  /** Tells the peer where streams began, without a confirmation. */
  reportStreams(origins: readonly StreamOrigin[]): void {
    this.write({
      $case: 'streamReport',
      value: {origins: [...origins], acknowledge: false},
    });
  }

  /** Tells the peer where streams are about to begin; false if unconfirmed. */
  async announceStreams(origins: readonly StreamOrigin[]): Promise<boolean> {
    const response = await this.call(
      {
        $case: 'streamReport',
        value: {origins: [...origins], acknowledge: true},
      },
      STREAM_TIMEOUT_MS,
      {toleratesMiss: true},
    );
    return response?.$case === 'streamReport';
  }

  /** Asks where a stream began; undefined if no response arrives in time. */
  async queryStream(
    service: string,
    requestId: string,
  ): Promise<StreamAnswer | undefined> {
    const response = await this.call(
      {$case: 'streamQuery', value: {service, requestId}},
      STREAM_TIMEOUT_MS,
      {toleratesMiss: true},
    );
    return response?.$case === 'streamQuery' ? response.value : undefined;
  }

  /** Reports what changed at servers to the peer, their issuer. */
  release(fromHost: string, update: IssuerUpdate): void {
    const {releases, requests, prefilled, gaps} = update;
    const value: fleet.ReleaseAdaptersRequest = {
      fromHost,
      requests: requests.map(({server, requests: count}) => ({
        serverRun: server,
        requests: count,
      })),
      prefilled: prefilled.map(({server, requestId, prefillMs}) => ({
        serverRun: server,
        requestId,
        prefillMs: prefillMs === undefined ? undefined : Math.ceil(prefillMs),
      })),
      gaps: gaps.map(({server, gapMs, targetMs}) => ({
        serverRun: server,
        gapMs: Math.ceil(gapMs),
        targetMs: Math.ceil(targetMs),
      })),
      releases: releases.map(({server, name}) => ({
        serverRun: server,
        model: name.model,
        adapter: name.adapter,
      })),
    };
    // Not acknowledged: if the release is lost, the reference expires.
    this.write({$case: 'release', value});
  }

  close(): void {
    this.failAll();
    this.conversation?.cancel();
    this.conversation = undefined;
    this.client.close();
  }

  private call(
    request: Request,
    timeoutMs: number,
    {signal, onLateResponse, toleratesMiss = false}: CallOptions = {},
  ): Promise<Response> {
    return new Promise((resolve) => {
      const serial = this.write(request);
      const timer = `${this.name}/${serial}`;
      const settle = (response: Response) => {
        this.timers.cancel(timer);
        this.pending.delete(serial);
        signal?.removeEventListener('abort', abandon);
        resolve(response);
      };
      const abandon = () => {
        if (!this.pending.has(serial)) {
          return;
        }
        settle(undefined);
        if (onLateResponse !== undefined) {
          this.write({$case: 'cancel', value: serial});
          this.pending.set(serial, (response) => {
            this.pending.delete(serial);
            onLateResponse(response);
          });
          this.timers.after(timer, LATE_RESPONSE_WINDOW_MS, () => {
            this.pending.delete(serial);
          });
        }
      };
      this.pending.set(serial, settle);
      this.timers.after(timer, timeoutMs, () => {
        abandon();
        if (!toleratesMiss) {
          this.recordMiss();
        }
      });
      signal?.addEventListener('abort', abandon, {once: true});
    });
  }

  private write(request: Request): number {
    const serial = (this.serial += 1);
    this.conversation ??= this.open();
    this.conversation.write({serial, request});
    return serial;
  }

  private open(): Conversation {
    const conversation = this.client.converse();
    conversation.on('data', ({serial, response}: fleet.PeerResponse) => {
      this.misses = 0;
      this.missedAt = undefined;
      this.pending.get(serial)?.(response);
    });
    const onClosed = () => {
      if (this.conversation === conversation) {
        this.conversation = undefined;
        this.failAll();
      }
    };
    conversation.on('error', onClosed);
    conversation.on('end', onClosed);
    return conversation;
  }

  /** Replaces an unresponsive connection, as it may hang without an error. */
  private recordMiss(): void {
    this.missedAt = this.clock.now();
    this.misses += 1;
    if (this.misses >= MAXIMUM_CONSECUTIVE_MISSES) {
      this.misses = 0;
      this.close();
      this.client = this.connect();
    }
  }

  private failAll(): void {
    for (const settle of [...this.pending.values()]) {
      settle(undefined);
    }
  }

  private connect(): fleet.FleetServiceClient {
    return new fleet.FleetServiceClient(
      this.address,
      credentials.createInsecure(),
      PEER_CHANNEL_OPTIONS,
    );
  }
}
