import {createServer, type Server} from 'node:http';
import type {Socket} from 'node:net';

import {RecencyLimiter} from './recency-limiter.js';
import {createRouteListener, type RouteHandler} from './route-listener.js';

/** Open connections of one server beyond which the least recent is closed. */
const MAXIMUM_CONNECTIONS = 512;

/**
 * Header lines that are kept. Routes read none, and each line costs many times
 * its bytes.
 */
const MAXIMUM_HEADER_LINES = 16;

/** Time within which a request has to arrive, milliseconds. */
const REQUEST_TIMEOUT_MS = 5_000;

/** Interval of the checks for unfinished requests, milliseconds. */
const CONNECTION_CHECK_INTERVAL_MS = 500;

/**
 * Creates a server for short requests without bodies. Unfinished requests and
 * idle connections of any number cost it little.
 */
export const createRouteServer = (
  routes: Readonly<Record<string, RouteHandler>>,
): Server => {
  const limiter = new RecencyLimiter<Socket>(MAXIMUM_CONNECTIONS, (socket) => {
    socket.destroy();
  });
  const server = createServer(
    {
      connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
      headersTimeout: REQUEST_TIMEOUT_MS,
      requestTimeout: REQUEST_TIMEOUT_MS,
      // The header may be among the lines that are not kept.
      requireHostHeader: false,
    },
    createRouteListener(routes),
  );
  server.maxHeadersCount = MAXIMUM_HEADER_LINES;
  server.on('connection', (socket) => {
    limiter.add(socket);
    socket.once('close', () => {
      limiter.remove(socket);
    });
  });
  server.on('request', ({socket}) => {
    limiter.touch(socket);
  });
  return server;
};
