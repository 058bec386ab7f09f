import {
  type ExchangeObserver,
  UpstreamConnection,
  UpstreamError,
  type UpstreamRequest,
} from './connection.js';
import type {Dial, ServerPath} from './dial.js';

/** Ways to connect to one server. */
export interface ServerDials {
  /** Directly or, if that fails, through a peer. */
  readonly any: Dial;
  readonly direct: Dial;
}

/** Controls an exchange in progress. */
export interface ExchangeHandle {
  /** How the server is reached; undefined until it is. */
  readonly path: ServerPath | undefined;
  pause(): void;
  resume(): void;
  cancel(): void;
}

/** Keep-alive connections to one instance of a server. */
export class UpstreamPool {
  private readonly idle: UpstreamConnection[] = [];
  private readonly connections = new Set<UpstreamConnection>();

  constructor(
    private readonly dials: ServerDials,
    private readonly requestIdHeader: string,
    /** Called for each new connection, before it is established. */
    private readonly opened: () => void,
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
    const {directOnly = false} = request;
    const connection =
      this.takeIdle(request) ??
      this.open(maximum, directOnly ? this.dials.direct : this.dials.any);
    if (connection === undefined) {
      return new UpstreamError(
        false,
        'unreachable',
        `all ${maximum} connections are in use`,
      );
    }
    connection.start(request, observer);
    return connection;
  }

  /**
   * Closes idle connections, all or those of one path; exchanges in progress
   * continue.
   */
  closeIdle(path?: ServerPath): void {
    for (const connection of [...this.idle]) {
      if (path === undefined || connection.path === path) {
        connection.close();
      }
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
  private takeIdle({
    requestId = '',
    directOnly = false,
  }: UpstreamRequest): UpstreamConnection | undefined {
    for (let index = this.idle.length - 1; index >= 0; index -= 1) {
      const connection = this.idle[index];
      const unsuitable =
        connection?.hasCarried(requestId) === true ||
        (directOnly && connection?.path !== 'direct');
      if (unsuitable && connection?.available === true) {
        continue;
      }
      this.idle.splice(index, 1);
      if (connection?.available === true) {
        return connection;
      }
    }
    return undefined;
  }

  private open(maximum: number, dial: Dial): UpstreamConnection | undefined {
    if (this.connections.size >= maximum) {
      return undefined;
    }
    const connection = new UpstreamConnection(dial, this.requestIdHeader, {
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
    });
    this.connections.add(connection);
    this.opened();
    return connection;
  }
}
