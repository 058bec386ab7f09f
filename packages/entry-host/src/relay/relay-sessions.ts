import {
  type ClientHttp2Session,
  type ClientHttp2Stream,
  connect,
  type IncomingHttpHeaders,
  type OutgoingHttpHeaders,
} from 'node:http2';

import {elapsedMs, type Instant} from '@basilworks/core';
import type {Clock, TimerService} from '@basilworks/daemon';
import {Result} from 'neverthrow';

import type {Transport, UpstreamAddress} from '../upstream/index.js';
import {END_TRAILER, RELAY_PATH, RELAY_STATUS} from './relay-protocol.js';

/** Time-out of opening a relayed connection, milliseconds. */
const RELAY_TIMEOUT_MS = 300;

/** Interval of the checks of open sessions, milliseconds. */
const CHECK_PERIOD_MS = 500;

/** Time without an answer to a ping after which a session ends, ms. */
const PING_TIMEOUT_MS = 1_000;

/** Time without streams after which a session is closed, milliseconds. */
const IDLE_SESSION_MS = 10_000;

/** What an attempt through one peer shows. */
export type RelayResult =
  | {readonly type: 'connected'; readonly transport: Transport}
  /** The peer found that no process listens at the server's address. */
  | {readonly type: 'refused'}
  /** The server did not answer the peer. */
  | {readonly type: 'silent'}
  /** The peer did not answer, or can't relay. */
  | {readonly type: 'unavailable'};

/** A session with one peer. */
interface RelaySession {
  readonly session: ClientHttp2Session;
  streams: number;
  usedAt: Instant;
  answeredAt: Instant;
}

const RESULTS: Readonly<Record<number, RelayResult>> = {
  [RELAY_STATUS.refused]: {type: 'refused'},
  [RELAY_STATUS.silent]: {type: 'silent'},
};
const UNAVAILABLE: RelayResult = {type: 'unavailable'};

let serial = 0;

/** Opens a stream; a session whose peer stops throws until it is closed. */
const requestStream = (
  session: ClientHttp2Session,
  headers: OutgoingHttpHeaders,
): Result<ClientHttp2Stream, string> =>
  Result.fromThrowable(() => session.request(headers), String)();

/** Sessions with the peers that relay connections of this host. */
export class RelaySessions {
  private readonly sessions = new Map<string, RelaySession>();

  constructor(
    private readonly timers: TimerService,
    private readonly clock: Clock,
  ) {
    timers.every('relay/check', CHECK_PERIOD_MS, () => {
      this.check();
    });
  }

  /** Opens a connection to a server through the peer at `relayAddress`. */
  open(
    relayAddress: string,
    server: UpstreamAddress,
    signal: AbortSignal,
  ): Promise<RelayResult> {
    const {clock, timers} = this;
    const entry = this.sessionWith(relayAddress);
    const requested = requestStream(entry.session, {
      ':method': 'POST',
      ':path': `${RELAY_PATH}${server.host}:${server.port}`,
    });
    if (requested.isErr()) {
      return Promise.resolve(UNAVAILABLE);
    }
    const stream = requested.value;
    const timer = `relay/open/${(serial += 1)}`;
    entry.streams += 1;
    entry.usedAt = clock.now();
    return new Promise((resolve) => {
      const settle = (result: RelayResult) => {
        timers.cancel(timer);
        signal.removeEventListener('abort', giveUp);
        if (result.type !== 'connected') {
          stream.destroy();
        }
        resolve(result);
      };
      const giveUp = () => {
        settle(UNAVAILABLE);
      };
      signal.addEventListener('abort', giveUp, {once: true});
      timers.after(timer, RELAY_TIMEOUT_MS, () => {
        if (entry.streams <= 1) {
          // The connection to the peer may hang; the next attempt is on another.
          this.end(relayAddress, entry);
        }
        giveUp();
      });
      stream.on('error', giveUp);
      stream.on('close', () => {
        entry.streams -= 1;
        entry.usedAt = clock.now();
        giveUp();
      });
      stream.on('response', ({':status': status = 0}) => {
        entry.answeredAt = clock.now();
        settle(
          status === RELAY_STATUS.connected
            ? {type: 'connected', transport: relayedTransport(stream)}
            : (RESULTS[status] ?? UNAVAILABLE),
        );
      });
    });
  }

  close(): void {
    for (const {session} of this.sessions.values()) {
      session.destroy();
    }
    this.sessions.clear();
  }

  private sessionWith(address: string): RelaySession {
    const known = this.sessions.get(address);
    // A session that is closing takes no new streams while others are open.
    if (
      known !== undefined &&
      !known.session.closed &&
      !known.session.destroyed
    ) {
      return known;
    }
    const at = this.clock.now();
    const session = connect(`http://${address}`);
    const entry = {session, streams: 0, usedAt: at, answeredAt: at};
    session.on('error', () => {
      this.end(address, entry);
    });
    session.on('close', () => {
      this.end(address, entry);
    });
    this.sessions.set(address, entry);
    return entry;
  }

  /** Closes idle sessions, and those whose peers don't answer. */
  private check(): void {
    const at = this.clock.now();
    for (const [address, entry] of this.sessions) {
      const {session, streams, usedAt, answeredAt} = entry;
      const idle = streams === 0 && elapsedMs(usedAt, at) > IDLE_SESSION_MS;
      const lost = streams > 0 && elapsedMs(answeredAt, at) > PING_TIMEOUT_MS;
      if (idle || lost) {
        this.end(address, entry);
      } else if (streams > 0 && !session.destroyed) {
        session.ping((error) => {
          entry.answeredAt = error === null ? this.clock.now() : answeredAt;
        });
      } else {
        entry.answeredAt = at;
      }
    }
  }

  private end(address: string, entry: RelaySession): void {
    if (this.sessions.get(address) === entry) {
      this.sessions.delete(address);
    }
    entry.session.destroy();
  }
}

const relayedTransport = (stream: ClientHttp2Stream): Transport => {
  let serverClosed = false;
  stream.on('trailers', (trailers: IncomingHttpHeaders) => {
    serverClosed = trailers[END_TRAILER] !== undefined;
  });
  return {
    stream,
    path: 'relay',
    confirmClose: (callback) => {
      callback(serverClosed);
    },
  };
};
