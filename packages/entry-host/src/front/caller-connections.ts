import type {IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';

import {
  type BufferAccount,
  type BufferBudget,
  callerConnectionLimit,
  type DisconnectReason,
} from '@basilworks/dispatch';

import type {EntryHostContext} from '../context.js';

/** Interval of the checks of waiting connections, milliseconds. */
const CHECK_INTERVAL_MS = 50;

/**
 * Memory of an unfinished head for each byte that has arrived: the shortest
 * lines have four.
 */
const HEAD_MEMORY_FACTOR = 64;

/** Bytes of a head that are not counted: most heads arrive in one read. */
const UNCOUNTED_HEAD_BYTES = 2_048;

/** Time in which the rest of a refused request has to come, milliseconds. */
const REFUSED_REST_MS = 5_000;

/** A connection that waits for its caller. */
interface WaitingConnection {
  /** What is due: a request's head, its body, or the rest of a refused one. */
  readonly due: 'head' | 'body' | 'rest';
  readonly sinceMs: number;
  /** Bytes that it had received before. */
  readonly receivedBytes: number;
  account: BufferAccount | undefined;
}

/**
 * The open connections of callers. Beyond the limit, the one that has waited
 * for its caller longest makes room for a new one: idle, in the middle of a
 * request, or refused and not read to its end.
 */
export class CallerConnections {
  private readonly open = new Set<Socket>();
  /** Connections without a complete request, the longest waiting first. */
  private readonly waiting = new Map<Socket, WaitingConnection>();
  private readonly requests = new Map<Socket, number>();

  constructor(
    private readonly context: EntryHostContext,
    private readonly budget: BufferBudget,
  ) {
    const {timers, signal} = context;
    const check = () => {
      this.check();
    };
    timers.every('caller-connections', CHECK_INTERVAL_MS, check, {signal});
  }

  get size(): number {
    return this.open.size;
  }

  add(socket: Socket): void {
    const {descriptors} = this.context.settings.machine;
    if (this.open.size >= callerConnectionLimit(descriptors)) {
      const longest = this.waiting.keys().next();
      this.disconnect(longest.done === true ? socket : longest.value);
    }
    if (socket.destroyed) {
      return;
    }
    this.open.add(socket);
    this.setWaiting(socket, 'head');
    socket.once('close', () => {
      this.open.delete(socket);
      this.requests.delete(socket);
      this.clearWaiting(socket);
    });
  }

  /** The head of a request has been read, and its body is due. */
  recordHead(socket: Socket): void {
    if (this.waiting.has(socket)) {
      this.setWaiting(socket, 'body');
    }
  }

  /** A request has been read to its end; it is never cut for others. */
  recordRequest(socket: Socket): void {
    this.requests.set(socket, (this.requests.get(socket) ?? 0) + 1);
    this.clearWaiting(socket);
  }

  /** The answer to a request that had been read has ended. */
  recordAnswer(socket: Socket): void {
    const requests = (this.requests.get(socket) ?? 1) - 1;
    this.requests.set(socket, requests);
    if (requests === 0) {
      this.setWaiting(socket, 'head');
    }
  }

  /** A request has been refused before all of it was read. */
  recordRefusal(message: IncomingMessage): void {
    const {socket} = message;
    // The message lasts until its end, its head is no longer needed.
    message.rawHeaders = [];
    message.headers = {};
    if (!this.waiting.has(socket)) {
      return;
    }
    this.setWaiting(socket, message.complete ? 'head' : 'rest');
    message.once('end', () => {
      if (this.waiting.get(socket)?.due === 'rest') {
        this.setWaiting(socket, 'head');
      }
    });
  }

  private setWaiting(socket: Socket, due: WaitingConnection['due']): void {
    this.clearWaiting(socket);
    if (this.open.has(socket)) {
      const sinceMs = this.context.clock.now().monotonicMs;
      const receivedBytes = socket.bytesRead;
      const account = undefined;
      this.waiting.set(socket, {due, sinceMs, receivedBytes, account});
    }
  }

  private clearWaiting(socket: Socket): void {
    this.waiting.get(socket)?.account?.close();
    this.waiting.delete(socket);
  }

  private check(): void {
    const at = this.context.clock.now();
    for (const [socket, connection] of this.waiting) {
      const {due, sinceMs, account} = connection;
      if (due === 'rest' && at.monotonicMs - sinceMs >= REFUSED_REST_MS) {
        this.disconnect(socket, 'takes nothing');
      } else if (account !== undefined) {
        account.refresh(at);
      } else if (
        due === 'head' &&
        this.headBytes(socket) > UNCOUNTED_HEAD_BYTES
      ) {
        connection.account = this.openAccount(socket);
      }
    }
  }

  private openAccount(socket: Socket): BufferAccount {
    const owner = {
      measure: () => ({
        requestBytes: 0,
        answerBytes: 0,
        pendingBytes: this.headBytes(socket) * HEAD_MEMORY_FACTOR,
        movedBytes: this.headBytes(socket),
        paused: false,
        receiving: true,
      }),
      readMore: () => undefined,
      disconnect: () => {
        this.disconnect(socket, 'memory');
      },
    };
    const at = this.context.clock.now();
    const account = this.budget.open(owner, at);
    account.refresh(at);
    return account;
  }

  private headBytes(socket: Socket): number {
    const before = this.waiting.get(socket)?.receivedBytes ?? Infinity;
    return Math.max(0, socket.bytesRead - before);
  }

  private disconnect(
    socket: Socket,
    reason: DisconnectReason = 'connections',
  ): void {
    const {logger, metrics} = this.context;
    metrics.cutCallers.inc({reason});
    logger.info('caller connection aborted', {
      reason,
      heldBytes: this.budget.bytes,
      connections: this.open.size,
    });
    socket.destroy();
    this.open.delete(socket);
    this.clearWaiting(socket);
  }
}
