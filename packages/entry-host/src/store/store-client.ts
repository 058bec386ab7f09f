import {
  Agent,
  type IncomingHttpHeaders,
  type IncomingMessage,
  request as startRequest,
} from 'node:http';

import type {TimerService} from '@basilworks/daemon';
import {err, ok, type Result, ResultAsync} from 'neverthrow';

import {GrowingBuffer} from '../lib/growing-buffer.js';
import {StoreError, type StoreFailure} from '../ports.js';

/** Time-out of connecting to the store, milliseconds. */
const CONNECT_TIMEOUT_MS = 3_000;

/** Idle time after which a connection is closed, milliseconds. */
const KEEP_ALIVE_MS = 4_000;

/** Idle time before the system sends TCP keep-alive probes, milliseconds. */
const PROBE_MS = 60_000;

/**
 * Largest response body, bytes: a page has about one megabyte, and an object
 * with all its changes since a watch began may be as large.
 */
const MAXIMUM_BODY_BYTES = 8 * 1_048_576;

/** An HTTP request to the store. */
export interface StoreCall {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly path: string;
  /** Sent as JSON. */
  readonly body?: object | undefined;
  /** Milliseconds after which the call fails. */
  readonly timeoutMs: number;
}

/** A complete HTTP response of the store. */
export interface StoreResponse {
  readonly status: number;
  readonly text: string;
  /** Headers by their names in lower case. */
  readonly headers: IncomingHttpHeaders;
}

/**
 * HTTP client of the metadata store with persistent connections. A call fails
 * as `refused` only if provably no byte of it has left this host, otherwise as
 * `missing`.
 */
export class StoreClient {
  private readonly agent = new Agent({
    keepAlive: true,
    keepAliveMsecs: PROBE_MS,
    timeout: KEEP_ALIVE_MS,
    scheduling: 'lifo',
  });
  private readonly host: string;
  private readonly port: string;
  private serial = 0;

  constructor(
    private readonly address: string,
    private readonly timers: TimerService,
  ) {
    [this.host = '', this.port = ''] = address.split(':');
  }

  /** Sends a call and reads its complete response. */
  run({
    method,
    path,
    body,
    timeoutMs,
  }: StoreCall): ResultAsync<StoreResponse, StoreError> {
    const {agent, host, port, timers} = this;
    const timer = `store-call/${(this.serial += 1)}`;
    const text = body === undefined ? '' : JSON.stringify(body);
    const request = startRequest({
      agent,
      host,
      port,
      method,
      path,
      headers: {
        host: this.address,
        ...(body === undefined
          ? {}
          : {
              'content-type': 'application/json',
              'content-length': Buffer.byteLength(text),
            }),
      },
    });
    return new ResultAsync(
      new Promise<Result<StoreResponse, StoreError>>((resolve) => {
        let sent = false;
        const settle = (result: Result<StoreResponse, StoreError>) => {
          timers.cancel(timer);
          timers.cancel(`${timer}/connect`);
          resolve(result);
        };
        const fail = (
          detail: string,
          failure: StoreFailure = sent ? 'missing' : 'refused',
        ) => {
          settle(err(new StoreError(failure, detail)));
          request.destroy();
        };
        const onConnected = () => {
          sent = true;
          timers.cancel(`${timer}/connect`);
        };
        timers.after(timer, timeoutMs, () => {
          fail('timeout');
        });
        request.on('socket', (socket) => {
          if (!socket.connecting) {
            onConnected();
            return;
          }
          socket.once('connect', onConnected);
          timers.after(`${timer}/connect`, CONNECT_TIMEOUT_MS, () => {
            fail('connect timeout');
          });
        });
        request.on('error', ({message}) => {
          fail(message);
        });
        request.on('response', (response) => {
          readBody(response, fail, (answer) => {
            const {statusCode: status = 0, headers} = response;
            settle(ok({status, text: answer, headers}));
          });
        });
        request.end(text);
      }),
    );
  }
}

const readBody = (
  response: IncomingMessage,
  onFailure: (detail: string, failure?: StoreFailure) => void,
  onEnd: (text: string) => void,
): void => {
  const body = new GrowingBuffer();
  response.on('data', (chunk: Buffer) => {
    if (body.length + chunk.length > MAXIMUM_BODY_BYTES) {
      body.take();
      onFailure(`over ${MAXIMUM_BODY_BYTES} bytes`, 'too-large');
      return;
    }
    body.append(chunk);
  });
  response.on('error', ({message}) => {
    onFailure(message);
  });
  response.on('end', () => {
    onEnd(body.take().toString());
  });
};
