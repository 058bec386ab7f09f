import type {TimerService} from '@basilworks/daemon';

import {
  type ConnectSocket,
  type ExchangeObserver,
  type UpstreamAddress,
  UpstreamConnection,
  UpstreamError,
  type UpstreamRequest,
} from './connection.js';

/** Connect timeout, milliseconds: several round trips within a zone. */
const CONNECT_TIMEOUT_MS = 400;

/** Controls an exchange in progress. */
export interface ExchangeHandle {
  pause(): void;
  resume(): void;
  cancel(): void;
}

/** Keep-alive connections to one instance of a server. */
export class UpstreamPool {
  private readonly idle: UpstreamConnection[] = [];
  private readonly connections = new Set<UpstreamConnection>();

  constructor(
    private readonly address: UpstreamAddress,
    private readonly requestIdHeader: string,
    private readonly timers: TimerService,
    /** Called for each new connection, before it is established. */
    private readonly opened: () => void,
    private readonly connectSocket?: ConnectSocket,
  ) {}

  /**
   * Starts an exchange on an idle connection, or on a new one if fewer than
   * `maximum` are open; else returns an error.
   */
  start(
    request: UpstreamRequest,
    maximum: number,
    observer: ExchangeObserver,
  ): ExchangeHandle | UpstreamError {
    const connection = this.takeIdle(request.requestId) ?? this.open(maximum);
    if (connection === undefined) {
      return new UpstreamError(
        false,
        'unreachable',
        `all ${maximum} connections are in use`,
      );
    }
    connection.start(request, CONNECT_TIMEOUT_MS, observer);
    return connection;
  }

  /** Closes idle connections; exchanges in progress continue. */
  closeIdle(): void {
    for (const connection of [...this.idle]) {
      connection.close();
    }
  }

  /** Closes all connections and fails their exchanges. */
  close(): void {
    for (const connection of [...this.connections]) {
      connection.close();
    }
  }

  /**
   * Takes the connection that was used last. One that has carried a request
   * with the same id is left: a server may write its response to that once
   * more, which could not be told from the response to this request.
   */
  private takeIdle(requestId = ''): UpstreamConnection | undefined {
    for (let index = this.idle.length - 1; index >= 0; index -= 1) {
      const connection = this.idle[index];
      if (connection?.hasCarried(requestId) === true && connection.available) {
        continue;
      }
      this.idle.splice(index, 1);
      if (connection?.available === true) {
        return connection;
      }
    }
    return undefined;
  }

  private open(maximum: number): UpstreamConnection | undefined {
    if (this.connections.size >= maximum) {
      return undefined;
    }
    const connection = new UpstreamConnection(
      this.address,
      this.requestIdHeader,
      this.timers,
      {
        idle: (available) => {
          this.idle.push(available);
        },
        closed: (closed) => {
          this.connections.delete(closed);
          const index = this.idle.indexOf(closed);
          if (index >= 0) {
            this.idle.splice(index, 1);
          }
        },
      },
      this.connectSocket,
    );
    this.connections.add(connection);
    this.opened();
    return connection;
  }
}
