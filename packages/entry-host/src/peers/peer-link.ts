import {fleet} from '@basilworks/protocol';
import type {
  HostStatus,
  PrepareAnswer,
  PrepareRequest,
  PrepareRefusal,
  Release,
} from '@basilworks/dispatch';
import {type ClientUnaryCall, credentials, Metadata} from '@grpc/grpc-js';

/** Longest wait for the answer of an exchange, milliseconds. */
const EXCHANGE_TIMEOUT_MS = 700;

/** Time on top of a prepare's own wait for its way there and back, ms. */
const PREPARE_SLACK_MS = 120;

/** Largest message between hosts, bytes: all snapshots of a large site. */
const MAXIMUM_MESSAGE_BYTES = 16 * 1_048_576;

const CHANNEL_OPTIONS = {
  // A connection that went silent is noticed within about two seconds.
  'grpc.keepalive_time_ms': 1_000,
  'grpc.keepalive_timeout_ms': 1_000,
  'grpc.keepalive_permit_without_calls': 1,
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.min_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 1_000,
  // A repeated call would be counted twice by its receiver.
  'grpc.enable_retries': 0,
  'grpc.max_receive_message_length': MAXIMUM_MESSAGE_BYTES,
  'grpc.max_send_message_length': MAXIMUM_MESSAGE_BYTES,
};

/** Options of the listener for peers. */
export const PEER_SERVER_OPTIONS = {
  'grpc.max_receive_message_length': MAXIMUM_MESSAGE_BYTES,
  'grpc.max_send_message_length': MAXIMUM_MESSAGE_BYTES,
  // Peers probe more often than the default permits.
  'grpc.keepalive_min_time_between_pings_ms': 500,
};

/** The connection to one peer. */
export class PeerLink {
  private client: fleet.FleetServiceClient;
  private failures = 0;

  constructor(readonly address: string) {
    this.client = this.connect();
  }

  /** Exchanges views; the answer, or undefined if there is none in time. */
  exchange(
    request: fleet.ExchangeRequest,
  ): Promise<fleet.ExchangeResponse | undefined> {
    return new Promise((resolve) => {
      const deadline = Date.now() + EXCHANGE_TIMEOUT_MS;
      this.client.exchange(
        request,
        new Metadata(),
        {deadline},
        (error, response) => {
          this.note(error !== null);
          resolve(error === null ? response : undefined);
        },
      );
    });
  }

  /** Asks the peer for an adapter; a missing answer is a refusal. */
  prepare(
    fromHost: string,
    serverRun: string,
    request: PrepareRequest,
    signal: AbortSignal,
  ): Promise<PrepareAnswer> {
    return new Promise((resolve) => {
      const deadline = Date.now() + request.maximumWaitMs + PREPARE_SLACK_MS;
      const call: ClientUnaryCall = this.client.prepareAdapter(
        {
          fromHost,
          serverRun,
          requestId: request.requestId,
          model: request.model,
          adapter: request.adapter,
          version: request.version,
          maximumWaitMs: Math.ceil(request.maximumWaitMs),
          priority: request.priority,
          uses: request.uses,
        },
        new Metadata(),
        {deadline},
        (error, response) => {
          resolve(error === null ? decodeAnswer(response) : UNREACHABLE);
        },
      );
      signal.addEventListener(
        'abort',
        () => {
          call.cancel();
        },
        {once: true},
      );
    });
  }

  /** Tells the peer that this host is done with adapters. */
  release(fromHost: string, releases: readonly Release[]): void {
    const deadline = Date.now() + EXCHANGE_TIMEOUT_MS;
    this.client.releaseAdapters(
      {
        fromHost,
        releases: releases.map(({server, name}) => ({
          serverRun: server,
          model: name.model,
          adapter: name.adapter,
        })),
      },
      new Metadata(),
      {deadline},
      // A release that is lost is made up for by the end of the hold.
      () => undefined,
    );
  }

  close(): void {
    this.client.close();
  }

  /** A channel that stays broken is replaced, as it may hang unseen. */
  private note(failed: boolean): void {
    this.failures = failed ? this.failures + 1 : 0;
    if (this.failures >= 3) {
      this.failures = 0;
      this.client.close();
      this.client = this.connect();
    }
  }

  private connect(): fleet.FleetServiceClient {
    return new fleet.FleetServiceClient(
      this.address,
      credentials.createInsecure(),
      CHANNEL_OPTIONS,
    );
  }
}

const UNREACHABLE: PrepareAnswer = {
  outcome: 'refused',
  reason: 'unreachable',
  retryAfterMs: 0,
};

const decodeAnswer = ({
  answer,
}: fleet.PrepareAdapterResponse): PrepareAnswer => {
  if (answer?.$case === 'resident') {
    const {version, validMs} = answer.value;
    return {outcome: 'resident', version, validMs};
  }
  if (answer?.$case === 'refused') {
    const {reason, retryAfterMs} = answer.value;
    return {
      outcome: 'refused',
      reason: reason as PrepareRefusal,
      retryAfterMs,
    };
  }
  return UNREACHABLE;
};

/** Encodes an answer for a peer. */
export const encodeAnswer = (
  answer: PrepareAnswer,
): fleet.PrepareAdapterResponse =>
  answer.outcome === 'resident'
    ? {
        answer: {
          $case: 'resident',
          value: {
            version: answer.version,
            validMs: Math.floor(answer.validMs),
          },
        },
      }
    : {
        answer: {
          $case: 'refused',
          value: {
            reason: answer.reason,
            retryAfterMs: Math.ceil(answer.retryAfterMs),
          },
        },
      };

/** Encodes and decodes what hosts say of themselves. */
export const encodeStatus = (status: HostStatus): fleet.HostStatus => ({
  ...status,
});
export const decodeStatus = (status: fleet.HostStatus): HostStatus => ({
  ...status,
});
