import {connect, type Socket, type TcpNetConnectOpts} from 'node:net';
import type {Duplex} from 'node:stream';

import type {TimerService} from '@basilworks/daemon';
import {Result} from 'neverthrow';

/** Address of an upstream server. */
export interface UpstreamAddress {
  readonly host: string;
  readonly port: number;
}

/** Connect timeout, milliseconds: several round trips within a zone. */
export const CONNECT_TIMEOUT_MS = 400;

/** How a connection reaches its server. */
export type ServerPath = 'direct' | 'relay';

/** A byte stream to a server, with an idle time-out. */
export type ServerStream = Duplex & {
  setTimeout(milliseconds: number): unknown;
};

/** An established connection to a server. */
export interface Transport {
  readonly stream: ServerStream;
  readonly path: ServerPath;
  /**
   * Finds out, at the end of the stream, whether the server closed the connection
   * in order. Does not call back if the connection fails before that is known.
   */
  readonly confirmClose: (callback: (inOrder: boolean) => void) => void;
}

/** Why no connection was established. */
export interface DialFailure {
  readonly reason: 'unreachable' | 'connect-timeout';
  readonly detail: string;
  /** Whether no process listens at the server's address. */
  readonly refused: boolean;
  /** Whether a peer found that as well. */
  readonly confirmedByPeer?: boolean;
}

/** Receives the result of a connection attempt. */
export interface DialObserver {
  connected(transport: Transport): void;
  failed(failure: DialFailure): void;
}

/** Attempts a connection; returns a function that gives it up. */
export type Dial = (observer: DialObserver) => () => void;

/**
 * What a connection attempt shows: a process listens, none does, none does for a
 * peer either, or there is no response, as behind a partition.
 */
export type ProbeResult = 'open' | 'refused' | 'closed' | 'silent';

/** Opens a TCP socket; tests replace it. */
export type ConnectSocket = (options: TcpNetConnectOpts) => Socket;

let serial = 0;

/** Returns a dial that connects to the server itself. */
export const dialDirectly =
  (
    address: UpstreamAddress,
    timers: TimerService,
    connectSocket: ConnectSocket = connect,
    timeoutMs = CONNECT_TIMEOUT_MS,
  ): Dial =>
  (observer) => {
    const timer = `upstream/connect/${(serial += 1)}`;
    const opened = Result.fromThrowable(
      connectSocket,
      String,
    )({...address, noDelay: true});
    if (opened.isErr()) {
      // The address of an entry that another writer made can't be connected to.
      const detail = opened.error;
      const failure = setImmediate(() => {
        observer.failed({reason: 'unreachable', detail, refused: false});
      });
      return () => {
        clearImmediate(failure);
      };
    }
    const socket = opened.value;
    const settle = () => {
      timers.cancel(timer);
      socket.off('connect', handleConnect);
      socket.off('error', handleError);
      // The owner of a connected socket handles its errors.
      socket.on('error', () => undefined);
    };
    const handleConnect = () => {
      settle();
      observer.connected({
        stream: socket,
        path: 'direct',
        confirmClose: (callback) => {
          confirmClose(socket, callback);
        },
      });
    };
    const handleError = ({message, code}: NodeJS.ErrnoException) => {
      settle();
      socket.destroy();
      observer.failed({
        reason: 'unreachable',
        detail: message,
        refused: code === 'ECONNREFUSED',
      });
    };
    socket.on('connect', handleConnect);
    socket.on('error', handleError);
    timers.after(timer, timeoutMs, () => {
      settle();
      socket.destroy();
      const detail = `no connection in ${timeoutMs} ms`;
      observer.failed({reason: 'connect-timeout', detail, refused: false});
    });
    return () => {
      settle();
      socket.destroy();
    };
  };

/**
 * The runtime reports a reset as the end of the stream if it finds the last bytes
 * and the reset at once; but a reset socket has no peer.
 */
const confirmClose = (
  socket: Socket,
  callback: (inOrder: boolean) => void,
): void => {
  const isReset = socket.remoteAddress === undefined;
  if (isReset || socket.writableLength === 0) {
    callback(!isReset);
    return;
  }
  // A server that is gone resets the connection once it gets the rest.
  socket.once('finish', () => {
    callback(true);
  });
};
