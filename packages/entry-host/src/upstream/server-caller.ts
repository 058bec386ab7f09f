import type {Server} from '@basilworks/dispatch';

import type {EntryHostContext} from '../context.js';
import type {ServerCall} from '../ports.js';
import {GrowingBuffer} from '../lib/growing-buffer.js';
import {UpstreamError} from './connection.js';
import type {UpstreamPools} from './pools.js';
import {MalformedResponseError} from './response-parser.js';
import {applyServerNotice} from './server-notice.js';

/** Complete response to a call that this host makes itself. */
export interface CallResponse {
  readonly status: number;
  readonly rawHeaders: readonly string[];
  readonly body: string;
}

/** Purpose of a call that this host makes itself. */
export type CallPurpose = 'order' | 'report' | 'check';

/** Connections reserved for this host's own calls, besides requests. */
const RESERVED_CONNECTIONS = 8;

/**
 * Maximum response size, bytes: a report on thousands of adapters fits. Of the
 * others only the head is used.
 */
const MAXIMUM_RESPONSE_BYTES: Readonly<Record<CallPurpose, number>> = {
  order: 65_536,
  report: 1_048_576,
  check: 65_536,
};

/** Bodies of reports that are buffered at once, bytes. */
const MAXIMUM_BUFFERED_BYTES = 16 * 1_048_576;

/** Makes the timer names of calls unique. */
let serial = 0;

/** Makes this host's own calls to servers: orders, reports and checks. */
export class ServerCaller {
  /** Bytes of incomplete reports. */
  private bufferedBytes = 0;

  constructor(
    private readonly context: EntryHostContext,
    private readonly pools: UpstreamPools,
  ) {}

  /** Runs a call; resolves to an `UpstreamError` without a full response. */
  call(
    server: Server,
    purpose: CallPurpose,
    {method, path, body}: ServerCall,
    timeoutMs: number,
  ): Promise<CallResponse | UpstreamError> {
    const {platform, timers, clock, metrics} = this.context;
    const {host, port, id, service} = server.entry;
    const {expectServer} = platform.forwarding.headers;
    const bytes = Buffer.from(body);
    const head = [
      `${method} ${path} HTTP/1.1`,
      `Host: ${host}:${port}`,
      `${expectServer}: ${id}`,
      ...(bytes.length > 0 ? ['Content-Type: application/json'] : []),
      `Content-Length: ${bytes.length}`,
      '',
      '',
    ].join('\r\n');
    const sentAt = clock.now();
    return new Promise((resolve) => {
      const received = new GrowingBuffer();
      const settle = (outcome: CallResponse | UpstreamError) => {
        this.bufferedBytes -= received.take().length;
        const status =
          outcome instanceof UpstreamError ? outcome.reason : outcome.status;
        metrics.ownCalls.inc({service, purpose, status});
        resolve(outcome);
      };
      const mayWrite = () => server.notices.pauseLeftMs(clock.now()) === 0;
      if (!mayWrite()) {
        settle(
          new UpstreamError(false, 'withheld', 'the server asked for a pause'),
        );
        return;
      }
      let response: Omit<CallResponse, 'body'> = {status: 0, rawHeaders: []};
      const timer = `upstream/call/${(serial += 1)}`;
      const handle = this.pools.poolFor(server).start(
        {
          method,
          head,
          body: bytes,
          requestId: undefined,
          maximumBytes: MAXIMUM_RESPONSE_BYTES[purpose],
          // Servers tell issuers by the machine that orders come from.
          directOnly: purpose === 'order',
        },
        RESERVED_CONNECTIONS + server.entry.slots,
        {
          mayWrite,
          head: (head) => {
            response = head;
            applyServerNotice(this.context, server, head, sentAt);
          },
          data: (chunk) => {
            if (purpose === 'report') {
              this.buffer(received, chunk);
            }
          },
          end: () => {
            timers.cancel(timer);
            settle({...response, body: received.bytes.toString()});
          },
          failed: (error) => {
            timers.cancel(timer);
            settle(error);
          },
        },
      );
      if (handle instanceof UpstreamError) {
        settle(handle);
        return;
      }
      timers.after(timer, timeoutMs, () => {
        handle.cancel();
      });
    });
  }

  /**
   * Adds to the body of a report.
   *
   * @throws MalformedResponseError if all reports together are too large.
   */
  private buffer(received: GrowingBuffer, chunk: Buffer): void {
    if (this.bufferedBytes + chunk.length > MAXIMUM_BUFFERED_BYTES) {
      throw new MalformedResponseError('no memory for the report');
    }
    this.bufferedBytes += chunk.length;
    received.append(chunk);
  }
}
