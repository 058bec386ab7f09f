/**
 * Peers relay the bytes of a connection to a server over an HTTP/2 stream: a
 * POST to the path below, answered with 200 once the connection is open. A
 * stream that ends with {@link END_TRAILER} ended as the server closed its
 * connection; any other end shows that the relay broke off.
 */
export const RELAY_PATH = '/v1/relay/';
export const END_TRAILER = 'x-server-closed';

/** Statuses of a relay that could not connect. */
export const RELAY_STATUS = {
  connected: 200,
  /** The peer knows no server at this address. */
  unknownServer: 404,
  /** No process listens at the server's address. */
  refused: 502,
  /** The peer carries too much, or can't reach servers itself. */
  unavailable: 503,
  /** The server did not answer the peer. */
  silent: 504,
} as const;
