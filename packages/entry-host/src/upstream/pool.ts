import type {TimerService} from '@basilworks/daemon';

import {
  type ExchangeObserver,
  type UpstreamAddress,
  UpstreamConnection,
  UpstreamError,
  type UpstreamRequest,
} from './connection.js';

/** Longest time to connect, milliseconds: several round trips of a zone. */
const CONNECT_TIMEOUT_MS = 400;

/** Controls an exchange in progress. */
export interface ExchangeHandle {
  pause(): void;
  resume(): void;
  cancel(): void;
}

/** Connections to one run of a server, kept for further exchanges. */
export class UpstreamPool {
  private readonly idle: UpstreamConnection[] = [];
  private readonly all = new Set<UpstreamConnection>();

  constructor(
    private readonly address: UpstreamAddress,
    private readonly requestIdHeader: string,
    private readonly timers: TimerService,
    /** Called for each new connection. */
    private readonly opened: () => void,
  ) {}

  /**
   * Starts an exchange on an idle connection, or a new one if fewer than
   * `maximum` are open.
   */
  start(
    request: UpstreamRequest,
    maximum: number,
    observer: ExchangeObserver,
  ): ExchangeHandle | UpstreamError {
    const connection = this.takeIdle() ?? this.open(maximum);
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

  /** Closes idle connections; exchanges in progress go on. */
  closeIdle(): void {
    for (const connection of [...this.idle]) {
      connection.close();
    }
  }

  /** Closes everything. */
  close(): void {
    for (const connection of [...this.all]) {
      connection.close();
    }
  }

  private takeIdle(): UpstreamConnection | undefined {
    for (
      let connection = this.idle.pop();
      connection !== undefined;
      connection = this.idle.pop()
    ) {
      if (connection.available) {
        return connection;
      }
    }
    return undefined;
  }

  private open(maximum: number): UpstreamConnection | undefined {
    if (this.all.size >= maximum) {
      return undefined;
    }
    const connection = new UpstreamConnection(
      this.address,
      this.requestIdHeader,
      this.timers,
      {
        idle: (free) => {
          this.idle.push(free);
        },
        closed: (gone) => {
          this.all.delete(gone);
          const index = this.idle.indexOf(gone);
          if (index >= 0) {
            this.idle.splice(index, 1);
          }
        },
      },
    );
    this.all.add(connection);
    this.opened();
    return connection;
  }
}
