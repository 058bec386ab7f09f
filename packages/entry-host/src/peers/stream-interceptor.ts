import type {ServerHttp2Stream} from 'node:http2';
import {Duplex} from 'node:stream';

import {
  ResponderBuilder,
  ServerInterceptingCall,
  type ServerInterceptor,
  ServerListenerBuilder,
} from '@grpc/grpc-js';

/** Observes the HTTP/2 streams of calls. */
export interface StreamObserver {
  opened(stream: ServerHttp2Stream): void;
  /** A piece of a message has arrived. */
  piece(stream: ServerHttp2Stream, bytes: number): void;
  /** A message is whole. */
  message(stream: ServerHttp2Stream): void;
  closed(stream: ServerHttp2Stream): void;
}

export const createStreamInterceptor =
  (observer: StreamObserver): ServerInterceptor =>
  (_method, call) => {
    const stream = streamOf(call);
    if (stream === undefined) {
      return new ServerInterceptingCall(call);
    }
    stream.on('data', ({length}: Buffer) => {
      observer.piece(stream, length);
    });
    stream.once('close', () => {
      observer.closed(stream);
    });
    const listener = new ServerListenerBuilder()
      .withOnReceiveMessage((message, next) => {
        observer.message(stream);
        next(message);
      })
      .build();
    const responder = new ResponderBuilder()
      .withStart((next) => {
        next(listener);
      })
      .build();
    observer.opened(stream);
    return new ServerInterceptingCall(call, responder);
  };

/** The stream of a call, to which the library has no public access. */
const streamOf = (call: object): ServerHttp2Stream | undefined =>
  'stream' in call && call.stream instanceof Duplex
    ? (call.stream as ServerHttp2Stream)
    : undefined;
