import {
  createServer,
  type Http2Server,
  type IncomingHttpHeaders,
  type Http2Session,
  type ServerHttp2Stream,
  type ServerStreamResponseOptions,
} from 'node:http2';

import {ListenError} from '@basilworks/daemon';
import type {Server} from '@basilworks/dispatch';
import {Result, ResultAsync} from 'neverthrow';

import type {EntryHostContext} from '../context.js';
import {RecencyLimiter} from '../lib/recency-limiter.js';
import {
  type DialFailure,
  type Dial,
  dialDirectly,
  type Transport,
  type UpstreamAddress,
} from '../upstream/index.js';
import {END_TRAILER, RELAY_PATH, RELAY_STATUS} from './relay-protocol.js';

/**
 * Connections that this host relays at once: each may hold the windows of two
 * streams in memory.
 */
const MAXIMUM_RELAYED = 256;

/**
 * Sessions without relayed connections beyond which the least recently used is
 * closed. A peer has one, and a deployment has a few hundred of them.
 */
const MAXIMUM_IDLE_SESSIONS = 512;

/** Header fields of a request; more than a peer sends. */
const MAXIMUM_HEADER_FIELDS = 32;

/**
 * Connect timeout of relayed connections, milliseconds: below that of the peer,
 * so that it learns the result.
 */
const RELAY_CONNECT_TIMEOUT_MS = 200;

/** The parts of the entry host that the listener uses. */
export type RelayContext = Pick<
  EntryHostContext,
  'clock' | 'logger' | 'metrics' | 'paths' | 'servers' | 'timers'
>;

/** Relays connections of peers that can't reach servers. */
export class RelayListener {
  private readonly sessions = new Set<Http2Session>();
  private readonly idleSessions = new RecencyLimiter<Http2Session>(
    MAXIMUM_IDLE_SESSIONS,
    (session) => {
      session.destroy();
    },
  );
  /** Numbers of relayed connections by session. */
  private readonly relayedBySession = new Map<Http2Session, number>();
  private relayed = 0;

  constructor(
    private readonly context: RelayContext,
    private readonly dialServer: (address: UpstreamAddress) => Dial = (
      address,
    ) =>
      dialDirectly(
        address,
        context.timers,
        undefined,
        RELAY_CONNECT_TIMEOUT_MS,
      ),
    private readonly server: Http2Server = createServer({
      maxHeaderListPairs: MAXIMUM_HEADER_FIELDS,
      settings: {maxConcurrentStreams: MAXIMUM_RELAYED},
    }),
  ) {
    this.server.on('session', (session: Http2Session) => {
      this.sessions.add(session);
      this.idleSessions.add(session);
      session.on('error', ({message}: Error) => {
        this.context.logger.info('relay session failed', {error: message});
      });
      session.on('close', () => {
        this.sessions.delete(session);
        this.idleSessions.remove(session);
      });
    });
    this.server.on('stream', (stream, headers) => {
      this.handleStream(stream, headers);
    });
  }

  listen(host: string, port: number): ResultAsync<void, ListenError> {
    return ResultAsync.fromPromise(
      new Promise<void>((resolve, reject) => {
        this.server.once('error', reject);
        this.server.listen({host, port}, resolve);
      }),
      (error) => new ListenError(`${host}:${port}`, String(error)),
    );
  }

  close(): void {
    this.server.close();
    for (const session of this.sessions) {
      session.destroy();
    }
  }

  private handleStream(
    stream: ServerHttp2Stream,
    {':path': path = '', ':method': method}: IncomingHttpHeaders,
  ): void {
    stream.on('error', ({message}) => {
      this.context.logger.debug('relayed stream failed', {error: message});
    });
    const address = parseTarget(path);
    const server = address === undefined ? undefined : this.find(address);
    if (method !== 'POST' || address === undefined || server === undefined) {
      respond(stream, RELAY_STATUS.unknownServer);
      return;
    }
    const {paths, metrics} = this.context;
    if (this.relayed >= MAXIMUM_RELAYED || paths.usesRelay(server)) {
      metrics.relayedConnections.inc({role: 'relay', end: 'unavailable'});
      respond(stream, RELAY_STATUS.unavailable);
      return;
    }
    this.relayed += 1;
    const endUse = this.recordUse(stream.session);
    const cancelDial = this.dialServer(address)({
      connected: (transport) => {
        metrics.relayedConnections.inc({role: 'relay', end: 'connected'});
        relay(stream, transport);
      },
      failed: (failure) => {
        metrics.relayedConnections.inc({role: 'relay', end: failure.reason});
        respond(stream, statusOf(failure));
      },
    });
    stream.once('close', () => {
      this.relayed -= 1;
      endUse();
      cancelDial();
    });
  }

  /** Keeps a session from being closed as idle; returns a function to end it. */
  private recordUse(session: Http2Session | undefined): () => void {
    if (session === undefined) {
      return () => undefined;
    }
    const {relayedBySession, idleSessions} = this;
    relayedBySession.set(session, (relayedBySession.get(session) ?? 0) + 1);
    idleSessions.remove(session);
    return () => {
      const remaining = (relayedBySession.get(session) ?? 1) - 1;
      if (remaining > 0) {
        relayedBySession.set(session, remaining);
        return;
      }
      relayedBySession.delete(session);
      if (this.sessions.has(session)) {
        idleSessions.add(session);
      }
    };
  }

  private find({host, port}: UpstreamAddress): Server | undefined {
    return this.context.servers
      .all()
      .find(({entry}) => entry.host === host && entry.port === port);
  }
}

/** Passes bytes on in both directions until one side ends. */
const relay = (
  stream: ServerHttp2Stream,
  {stream: connection, confirmClose}: Transport,
): void => {
  const head = sendHead(stream, RELAY_STATUS.connected, {
    waitForTrailers: true,
  });
  if (head.isErr()) {
    connection.destroy();
    return;
  }
  let closedInOrder = false;
  stream.on('wantTrailers', () => {
    sendEnd(stream);
  });
  connection.on('error', () => {
    stream.destroy();
  });
  connection.on('end', () => {
    confirmClose((inOrder) => {
      closedInOrder = inOrder;
      if (inOrder) {
        stream.end();
      } else {
        stream.destroy();
      }
    });
  });
  connection.on('close', () => {
    if (!closedInOrder) {
      stream.destroy();
    }
  });
  stream.on('close', () => {
    connection.destroy();
  });
  connection.pipe(stream, {end: false});
  stream.pipe(connection);
};

const respond = (stream: ServerHttp2Stream, status: number): void => {
  // A peer that is gone has no use for the answer.
  sendHead(stream, status, {endStream: true}).unwrapOr(undefined);
};

/**
 * Sends the head of an answer, if the stream still takes one: a peer may give it
 * up at any moment, and what the runtime asks of a stream then is not public.
 */
const sendHead = Result.fromThrowable(
  (
    stream: ServerHttp2Stream,
    status: number,
    options: ServerStreamResponseOptions,
  ): void => {
    stream.respond({':status': status}, options);
  },
  String,
);

/** Tells the peer that the server closed its connection in order. */
const sendEnd = Result.fromThrowable((stream: ServerHttp2Stream): void => {
  stream.sendTrailers({[END_TRAILER]: '1'});
}, String);

const statusOf = ({refused, reason}: DialFailure): number =>
  refused || reason === 'unreachable'
    ? RELAY_STATUS.refused
    : RELAY_STATUS.silent;

const parseTarget = (path: string): UpstreamAddress | undefined => {
  const target = path.startsWith(RELAY_PATH)
    ? path.slice(RELAY_PATH.length)
    : '';
  const [host = '', port = ''] = target.split(':');
  return host === '' || port === '' ? undefined : {host, port: Number(port)};
};
