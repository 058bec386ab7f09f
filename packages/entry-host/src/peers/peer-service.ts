import {ListenError, type Logger} from '@basilworks/daemon';
import type {
  CrashReport,
  IssuerUpdate,
  PrepareAnswer,
  PrepareRequest,
  StreamAnswer,
  StreamOrigin,
} from '@basilworks/dispatch';
import {fleet} from '@basilworks/protocol';
import {
  Server,
  ServerCredentials,
  type ServerDuplexStream,
} from '@grpc/grpc-js';
import {Result, ResultAsync} from 'neverthrow';

import {describeError} from '../lib/describe-error.js';
import {
  decodeCrashReports,
  encodeCompletions,
  type KeyCompletion,
} from './crash-codec.js';
import {ConversationLimits} from './conversation-limits.js';
import {encodePrepareAnswer} from './prepare-answer-codec.js';
import type {PeerExchange} from './peer-exchange.js';
import {PEER_CHANNEL_OPTIONS} from './peer-link.js';
import {createStreamInterceptor} from './stream-interceptor.js';

/**
 * Largest request of a peer, bytes: reports on all servers of a large site.
 * Only answers carry views.
 */
const MAXIMUM_REQUEST_BYTES = 4 * 1_048_576;

/** Streams of one connection at once; a peer has one conversation. */
const MAXIMUM_STREAMS = 8;

/**
 * Answers that wait for a peer to read them, beyond which its requests are not
 * read either.
 */
const MAXIMUM_UNREAD_ANSWERS = 32;

/** Makes adapters resident on servers whose orders this host issues. */
export interface AdapterPreparer {
  prepare(
    serverRun: string,
    request: PrepareRequest,
    signal: AbortSignal,
  ): Promise<PrepareAnswer>;
  /** Applies changes that a host reports. */
  applyUpdate(host: string, update: IssuerUpdate): void;
}

/** Grants send permits for servers whose rate limit is enforced here. */
export interface PermitGranter {
  grant(request: fleet.PermitRequest): fleet.PermitResponse;
}

/** Grants tokens of tenant quotas that are metered here. */
export interface QuotaGranter {
  grant(request: fleet.QuotaRequest): fleet.QuotaResponse;
}

/** Takes part in finding requests that crash servers. */
export interface CrashParticipant {
  applyReports(host: string, reports: readonly CrashReport[]): void;
  completionsOf(keys: readonly string[]): readonly KeyCompletion[];
  announce(keys: readonly string[]): void;
}

/** Remembers where streams began. */
export interface StreamKeeper {
  applyOrigins(origins: readonly StreamOrigin[]): void;
  answer(service: string, requestId: string): StreamAnswer;
}

type Conversation = ServerDuplexStream<fleet.PeerRequest, fleet.PeerResponse>;

/** The gRPC server for other entry hosts. */
export class FleetPeerService {
  private readonly server = new Server({
    ...PEER_CHANNEL_OPTIONS,
    'grpc.max_receive_message_length': MAXIMUM_REQUEST_BYTES,
    'grpc.max_concurrent_streams': MAXIMUM_STREAMS,
    interceptors: [createStreamInterceptor(new ConversationLimits())],
  });

  constructor(
    exchange: PeerExchange,
    preparer: AdapterPreparer,
    granter: PermitGranter,
    quotas: QuotaGranter,
    crashes: CrashParticipant,
    streams: StreamKeeper,
    logger: Pick<Logger, 'error'>,
  ) {
    const service: fleet.FleetServiceServer = {
      converse: (call) => {
        const handlers = [
          exchange,
          preparer,
          granter,
          quotas,
          crashes,
          streams,
          logger,
        ] as const;
        new PeerConversation(call, ...handlers).start();
      },
    };
    this.server.addService(fleet.FleetServiceService, service);
  }

  /** Starts to listen on an address; returns the port. */
  listen(address: string): ResultAsync<number, ListenError> {
    return ResultAsync.fromPromise(
      new Promise<number>((resolve, reject) => {
        const insecure = ServerCredentials.createInsecure();
        this.server.bindAsync(address, insecure, (error, port) => {
          if (error) {
            reject(error);
          } else {
            resolve(port);
          }
        });
      }),
      (error) => new ListenError(address, String(error)),
    );
  }

  close(): void {
    this.server.forceShutdown();
  }
}

type Requests = NonNullable<fleet.PeerRequest['request']>;
type Handlers = {
  readonly [Case in Requests['$case']]: (
    serial: number,
    value: Extract<Requests, {$case: Case}>['value'],
  ) => void;
};

/** Serves the requests of one peer's stream. */
class PeerConversation {
  private readonly prepares = new Map<number, AbortController>();

  constructor(
    private readonly call: Conversation,
    private readonly exchange: PeerExchange,
    private readonly preparer: AdapterPreparer,
    private readonly granter: PermitGranter,
    private readonly quotas: QuotaGranter,
    private readonly crashes: CrashParticipant,
    private readonly streams: StreamKeeper,
    private readonly logger: Pick<Logger, 'error'>,
  ) {}

  start(): void {
    this.call.on('drain', () => {
      this.call.resume();
    });
    this.call.on('data', (message: fleet.PeerRequest) => {
      // Whatever a peer sends fails its message, not this process.
      Result.fromThrowable(
        () => {
          this.handle(message);
        },
        (error) => {
          this.logFailure(message, error);
        },
      )().unwrapOr(undefined);
      if (this.call.writableLength > MAXIMUM_UNREAD_ANSWERS) {
        this.call.pause();
      }
    });
    const abortPrepares = () => {
      for (const controller of this.prepares.values()) {
        controller.abort();
      }
    };
    this.call.on('error', abortPrepares);
    this.call.on('cancelled', abortPrepares);
    this.call.on('end', () => {
      abortPrepares();
      this.call.end();
    });
  }

  private logFailure({request}: fleet.PeerRequest, error: unknown): void {
    this.logger.error('handling a message of a peer failed', {
      request: request?.$case,
      error: describeError(error),
    });
  }

  private handle({serial, request}: fleet.PeerRequest): void {
    if (request !== undefined) {
      this.handlers[request.$case](serial, request.value as never);
    }
  }

  private readonly handlers: Handlers = {
    exchange: (serial, request) => {
      const value = this.exchange.handleRequest(request);
      this.call.write({serial, response: {$case: 'exchange', value}});
    },
    prepare: (serial, {fromHost, serverRun, requestId, ...rest}) => {
      const controller = new AbortController();
      this.prepares.set(serial, controller);
      const id = requestIdOf(fromHost, requestId);
      const request = {...rest, host: fromHost, requestId: id};
      void this.preparer
        .prepare(serverRun, request, controller.signal)
        .then((answer) => {
          this.prepares.delete(serial);
          const value = encodePrepareAnswer(answer);
          this.call.write({serial, response: {$case: 'prepare', value}});
        })
        .catch((error: unknown) => {
          this.prepares.delete(serial);
          this.logFailure({serial, request: undefined}, error);
        });
    },
    permit: (serial, request) => {
      const value = this.granter.grant(request);
      this.call.write({serial, response: {$case: 'permit', value}});
    },
    quota: (serial, request) => {
      const value = this.quotas.grant(request);
      this.call.write({serial, response: {$case: 'quota', value}});
    },
    crashReport: (serial, {fromHost, crashes}) => {
      this.crashes.applyReports(fromHost, decodeCrashReports(crashes));
      this.call.write({serial, response: {$case: 'crashReport', value: {}}});
    },
    completions: (serial, {keys}) => {
      const completions = encodeCompletions(this.crashes.completionsOf(keys));
      const value = {completions};
      this.call.write({serial, response: {$case: 'completions', value}});
    },
    quarantine: (serial, {keys}) => {
      this.crashes.announce(keys);
      this.call.write({serial, response: {$case: 'quarantine', value: {}}});
    },
    streamReport: (serial, {origins, acknowledge}) => {
      this.streams.applyOrigins(origins);
      if (acknowledge) {
        this.call.write({serial, response: {$case: 'streamReport', value: {}}});
      }
    },
    streamQuery: (serial, {service, requestId}) => {
      const value = {...this.streams.answer(service, requestId)};
      this.call.write({serial, response: {$case: 'streamQuery', value}});
    },
    release: (_serial, {fromHost, releases, requests, prefilled, gaps}) => {
      this.preparer.applyUpdate(fromHost, {
        releases: releases.map(({serverRun, model, adapter}) => ({
          server: serverRun,
          name: {model, adapter},
        })),
        requests: requests.map(({serverRun, requests: count}) => ({
          server: serverRun,
          requests: count,
        })),
        prefilled: prefilled.map(({serverRun, requestId, prefillMs}) => ({
          server: serverRun,
          requestId: requestIdOf(fromHost, requestId),
          prefillMs,
        })),
        gaps: gaps.map(({serverRun, gapMs, targetMs}) => ({
          server: serverRun,
          gapMs,
          targetMs,
        })),
      });
    },
    cancel: (_serial, cancelled) => {
      this.prepares.get(cancelled)?.abort();
      this.prepares.delete(cancelled);
    },
  };
}

/** Distinguishes the requests of different hosts. */
const requestIdOf = (host: string, requestId: string): string =>
  `${host}/${requestId}`;
