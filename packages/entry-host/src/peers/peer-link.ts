import {elapsedMs, type Instant} from '@basilworks/core';
import type {Clock, TimerService} from '@basilworks/daemon';
import type {
  IssuerUpdate,
  PrepareAnswer,
  PrepareRequest,
} from '@basilworks/dispatch';
import {fleet} from '@basilworks/protocol';
import {type ClientDuplexStream, credentials} from '@grpc/grpc-js';

import {
  decodePrepareAnswer,
  UNREACHABLE_ANSWER,
} from './prepare-answer-codec.js';

/** Longest wait for the answer of an exchange, milliseconds. */
const EXCHANGE_TIMEOUT_MS = 700;

/** Time on top of a prepare's own wait for its way there and back, ms. */
const PREPARE_SLACK_MS = 120;

/** Longest wait for permits and tokens, milliseconds: some round trips of a region. */
const PERMIT_TIMEOUT_MS = 120;

/** How long an answer that comes late is still taken, milliseconds. */
const LATE_ANSWER_MS = 5_000;

/** How long a peer is passed over after an answer was missing, ms. */
const DOUBT_MS = 1_500;

/** Missing answers in a row after which a connection is replaced. */
const MAXIMUM_MISSES = 2;

/** Largest message between hosts, bytes: all snapshots of a large site. */
const MAXIMUM_MESSAGE_BYTES = 16 * 1_048_576;

/** Options of listeners for peers and of connections to them. */
export const PEER_CHANNEL_OPTIONS = {
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.min_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 1_000,
  // A repeated message would be counted twice by its receiver.
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
  /** Takes an answer that comes after the wait. */
  readonly late?: (response: Response) => void;
  /** The wait is too short for a missing answer to tell of the peer. */
  readonly brief?: boolean;
}

/** Tells the timers of links apart. */
let links = 0;

/** The connection to one peer. */
export class PeerLink {
  private client: fleet.FleetServiceClient;
  private conversation: Conversation | undefined;
  private readonly pending = new Map<number, (response: Response) => void>();
  private readonly name = `peers/link/${(links += 1)}`;
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

  /** Whether an answer was missing lately, and none has come since. */
  get isUnresponsive(): boolean {
    return (
      this.missedAt !== undefined &&
      elapsedMs(this.missedAt, this.clock.now()) < DOUBT_MS
    );
  }

  /** Exchanges views; the answer, or undefined if there is none in time. */
  async exchange(
    value: fleet.ExchangeRequest,
  ): Promise<fleet.ExchangeResponse | undefined> {
    const request: Request = {$case: 'exchange', value};
    const response = await this.call(request, EXCHANGE_TIMEOUT_MS);
    return response?.$case === 'exchange' ? response.value : undefined;
  }

  /**
   * Asks the peer for an adapter; a missing answer is a refusal. An answer that
   * comes after that goes to `late`, as the peer holds the adapter for it.
   */
  async prepare(
    fromHost: string,
    serverRun: string,
    request: PrepareRequest,
    signal: AbortSignal,
    late: (answer: PrepareAnswer) => void,
  ): Promise<PrepareAnswer> {
    const {requestId, model, adapter, version, priority, uses} = request;
    const {inFlight, takesCrowded, among, slowness} = request;
    const maximumWaitMs = Math.ceil(request.maximumWaitMs);
    const onTimeWithinMs = Math.max(0, Math.floor(request.onTimeWithinMs));
    const about = {fromHost, serverRun, requestId, model, adapter, version};
    const response = await this.call(
      {
        $case: 'prepare',
        value: {
          ...about,
          maximumWaitMs,
          onTimeWithinMs,
          priority,
          uses,
          inFlight,
          takesCrowded,
          among,
          slowness,
        },
      },
      maximumWaitMs + PREPARE_SLACK_MS,
      {
        signal,
        late: (response_) => {
          if (response_?.$case === 'prepare') {
            late(decodePrepareAnswer(response_.value));
          }
        },
      },
    );
    return response?.$case === 'prepare'
      ? decodePrepareAnswer(response.value)
      : UNREACHABLE_ANSWER;
  }

  /** Asks the peer for a permit; the answer, or undefined if none comes. */
  async permit(
    value: fleet.PermitRequest,
  ): Promise<fleet.PermitResponse | undefined> {
    const request: Request = {$case: 'permit', value};
    const response = await this.call(request, PERMIT_TIMEOUT_MS, {brief: true});
    return response?.$case === 'permit' ? response.value : undefined;
  }

  /** Asks the peer for tokens; the answer, or undefined if none comes. */
  async quota(
    value: fleet.QuotaRequest,
  ): Promise<fleet.QuotaResponse | undefined> {
    const request: Request = {$case: 'quota', value};
    const response = await this.call(request, PERMIT_TIMEOUT_MS, {brief: true});
    return response?.$case === 'quota' ? response.value : undefined;
  }

  /** Tells the peer what this host is done with, and what it has at servers. */
  release(fromHost: string, {releases, requests}: IssuerUpdate): void {
    const value: fleet.ReleaseAdaptersRequest = {
      fromHost,
      requests: requests.map(({server, requests: count}) => ({
        serverRun: server,
        requests: count,
      })),
      releases: releases.map(({server, name}) => ({
        serverRun: server,
        model: name.model,
        adapter: name.adapter,
      })),
    };
    // A release that is lost is made up for by the end of the hold.
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
    {signal, late, brief = false}: CallOptions = {},
  ): Promise<Response> {
    return new Promise((resolve) => {
      const serial = this.write(request);
      const timer = `${this.name}/${serial}`;
      const settle = (response: Response) => {
        this.timers.cancel(timer);
        this.pending.delete(serial);
        signal?.removeEventListener('abort', giveUp);
        resolve(response);
      };
      const giveUp = () => {
        if (!this.pending.has(serial)) {
          return;
        }
        settle(undefined);
        if (late !== undefined) {
          this.write({$case: 'cancel', value: serial});
          this.pending.set(serial, (response) => {
            this.pending.delete(serial);
            late(response);
          });
          this.timers.after(timer, LATE_ANSWER_MS, () => {
            this.pending.delete(serial);
          });
        }
      };
      this.pending.set(serial, settle);
      this.timers.after(timer, timeoutMs, () => {
        giveUp();
        if (!brief) {
          this.missed();
        }
      });
      signal?.addEventListener('abort', giveUp, {once: true});
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
    const over = () => {
      if (this.conversation === conversation) {
        this.conversation = undefined;
        this.failAll();
      }
    };
    conversation.on('error', over);
    conversation.on('end', over);
    return conversation;
  }

  /** A connection that stays silent is replaced, as it may hang unseen. */
  private missed(): void {
    this.missedAt = this.clock.now();
    this.misses += 1;
    if (this.misses >= MAXIMUM_MISSES) {
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
