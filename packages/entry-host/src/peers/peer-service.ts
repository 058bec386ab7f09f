import {ListenError} from '@basilworks/daemon';
import {fleet} from '@basilworks/protocol';
import type {
  PrepareAnswer,
  PrepareRequest,
  Release,
} from '@basilworks/dispatch';
import {Server, ServerCredentials} from '@grpc/grpc-js';
import {ResultAsync} from 'neverthrow';

import type {PeerExchange} from './peer-exchange.js';
import {encodeAnswer, PEER_SERVER_OPTIONS} from './peer-link.js';

/** Makes adapters resident on servers whose orders this host issues. */
export interface AdapterPreparer {
  prepare(
    serverRun: string,
    request: PrepareRequest,
    signal: AbortSignal,
  ): Promise<PrepareAnswer>;
  /** A host is done with some adapters. */
  released(host: string, releases: readonly Release[]): void;
}

/** The gRPC listener for other entry hosts. */
export class FleetPeerService {
  private readonly server = new Server(PEER_SERVER_OPTIONS);

  constructor(exchange: PeerExchange, preparer: AdapterPreparer) {
    const service: fleet.FleetServiceServer = {
      exchange: (call, callback) => {
        callback(null, exchange.answer(call.request));
      },
      releaseAdapters: ({request}, callback) => {
        preparer.released(
          request.fromHost,
          request.releases.map(({serverRun, model, adapter}) => ({
            server: serverRun,
            name: {model, adapter},
          })),
        );
        callback(null, {});
      },
      prepareAdapter: (call, callback) => {
        const {request} = call;
        const controller = new AbortController();
        call.on('cancelled', () => {
          controller.abort();
        });
        const {fromHost, serverRun, requestId, ...rest} = request;
        void preparer
          .prepare(
            serverRun,
            {
              ...rest,
              host: fromHost,
              requestId: `${fromHost}/${requestId}`,
            },
            controller.signal,
          )
          .then((answer) => {
            callback(null, encodeAnswer(answer));
          });
      },
    };
    this.server.addService(fleet.FleetServiceService, service);
  }

  /** Listens; returns the port. */
  listen(address: string): ResultAsync<number, ListenError> {
    return ResultAsync.fromPromise(
      new Promise<number>((resolve, reject) => {
        this.server.bindAsync(
          address,
          ServerCredentials.createInsecure(),
          (error, port) => {
            if (error) {
              reject(error);
            } else {
              resolve(port);
            }
          },
        );
      }),
      (error) => new ListenError(address, String(error)),
    );
  }

  close(): void {
    this.server.forceShutdown();
  }
}
