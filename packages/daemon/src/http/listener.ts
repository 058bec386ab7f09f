import type {AddressInfo} from 'node:net';

import {createAdaptorServer, type ServerType} from '@hono/node-server';
import {ResultAsync} from 'neverthrow';

import {ListenError} from '../lib/listen-error.js';
import type {CallerApp} from './caller-app.js';

/** An idle connection of a caller is kept this long, milliseconds. */
const KEEP_ALIVE_TIMEOUT_MS = 65_000;

/** A caller must have sent its headers within this time, milliseconds. */
const HEADERS_TIMEOUT_MS = 10_000;

/** A caller must have sent its whole request within this time. */
const REQUEST_TIMEOUT_MS = 60_000;

/** How often connections that became idle are closed, milliseconds. */
const DRAIN_CHECK_PERIOD_MS = 20;

/** Longest wait for a caller that takes its last answer slowly. */
const DRAIN_LIMIT_MS = 10_000;

/** One HTTP listener. */
export class HttpListener {
  private readonly server: ServerType;

  constructor(app: CallerApp) {
    this.server = createAdaptorServer({
      fetch: app.fetch,
      serverOptions: {
        keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
        headersTimeout: HEADERS_TIMEOUT_MS,
        requestTimeout: REQUEST_TIMEOUT_MS,
        noDelay: true,
      },
    });
  }

  /** Listens; returns the port. */
  listen(address: string): ResultAsync<number, ListenError> {
    const {server} = this;
    const {hostname, port} = new URL(`http://${address}`);
    return ResultAsync.fromPromise(
      new Promise<number>((resolve, reject) => {
        server.once('error', reject);
        server.listen(
          Number(port || 80),
          hostname.replace(/^\[|\]$/g, ''),
          () => {
            server.off('error', reject);
            resolve((server.address() as AddressInfo).port);
          },
        );
      }),
      (error) => new ListenError(address, (error as Error).message),
    );
  }

  /** Takes no more connections; ends when the last answer is written. */
  async drain(): Promise<void> {
    const {server} = this;
    const closeIdle = setInterval(() => {
      if ('closeIdleConnections' in server) {
        server.closeIdleConnections();
      }
    }, DRAIN_CHECK_PERIOD_MS);
    await new Promise<void>((resolve) => {
      const limit = setTimeout(resolve, DRAIN_LIMIT_MS);
      server.close(() => {
        clearTimeout(limit);
        resolve();
      });
    });
    clearInterval(closeIdle);
  }

  /** Closes the listener and all of its connections. */
  close(): void {
    this.server.close();
    if ('closeAllConnections' in this.server) {
      this.server.closeAllConnections();
    }
  }
}
