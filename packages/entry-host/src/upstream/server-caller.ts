import type {Server} from '@basilworks/dispatch';

import type {EntryHostContext} from '../context.js';
import type {ServerCall} from '../ports.js';
import {UpstreamError} from './connection.js';
import type {UpstreamPools} from './pools.js';
import {applyServerNotice} from './server-notice.js';

/** A whole answer to a call of this host's own. */
export interface CallResponse {
  readonly status: number;
  readonly rawHeaders: readonly string[];
  readonly body: string;
}

/** What a call of this host's own is for. */
export type CallPurpose = 'order' | 'report' | 'check';

/** Connections for calls of this host's own, beside those for requests. */
const OWN_CONNECTIONS = 8;

/** Longest answer that is read, bytes: a report on thousands of adapters. */
const MAXIMUM_ANSWER_BYTES = 1_048_576;

/** Tells the timers of calls apart. */
let serial = 0;

/** Makes calls of this host's own to servers: orders, reports and checks. */
export class ServerCaller {
  constructor(
    private readonly context: EntryHostContext,
    private readonly pools: UpstreamPools,
  ) {}

  /** Runs a call; a missing answer is an `UpstreamError`. */
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
      const settle = (end: CallResponse | UpstreamError) => {
        const status = end instanceof UpstreamError ? end.reason : end.status;
        metrics.ownCalls.inc({service, purpose, status});
        resolve(end);
      };
      const mayWrite = () => server.notices.pauseLeftMs(clock.now()) === 0;
      if (!mayWrite()) {
        settle(new UpstreamError(false, 'withheld', 'the server pauses'));
        return;
      }
      let answer: Omit<CallResponse, 'body'> = {status: 0, rawHeaders: []};
      const chunks: Buffer[] = [];
      const timer = `upstream/call/${(serial += 1)}`;
      const handle = this.pools.poolFor(server).start(
        {
          method,
          head,
          body: bytes,
          requestId: undefined,
          maximumBytes: MAXIMUM_ANSWER_BYTES,
        },
        OWN_CONNECTIONS + server.entry.slots,
        {
          mayWrite,
          head: (received) => {
            answer = received;
            applyServerNotice(this.context, server, received, sentAt);
          },
          data: (chunk) => {
            chunks.push(chunk);
          },
          end: () => {
            timers.cancel(timer);
            settle({...answer, body: Buffer.concat(chunks).toString()});
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
}
