import type {TimerService} from '@basilworks/daemon';
import type {Server} from '@basilworks/dispatch';

import type {HeaderNames, ServerCall} from '../ports.js';
import {UpstreamError} from './connection.js';
import type {UpstreamPools} from './pools.js';

/** A whole answer to a call of this host's own. */
export interface ServerAnswer {
  readonly status: number;
  readonly rawHeaders: readonly string[];
  readonly body: string;
}

/** Connections for calls of this host's own, beside those for requests. */
const OWN_CONNECTIONS = 8;

/** Tells the timers of calls apart. */
let serial = 0;

/** Makes calls of this host's own to servers: orders, reports and checks. */
export class ServerCaller {
  constructor(
    private readonly pools: UpstreamPools,
    private readonly timers: TimerService,
    private readonly headers: HeaderNames,
  ) {}

  /** Runs a call; a missing answer is an `UpstreamError`. */
  call(
    server: Server,
    {method, path, body}: ServerCall,
    timeoutMs: number,
  ): Promise<ServerAnswer | UpstreamError> {
    const {host, port, id} = server.entry;
    const bytes = Buffer.from(body);
    const head = [
      `${method} ${path} HTTP/1.1`,
      `Host: ${host}:${port}`,
      `${this.headers.expectServer}: ${id}`,
      ...(bytes.length > 0 ? ['Content-Type: application/json'] : []),
      `Content-Length: ${bytes.length}`,
      '',
      '',
    ].join('\r\n');
    return new Promise((resolve) => {
      let answer: Omit<ServerAnswer, 'body'> = {status: 0, rawHeaders: []};
      const chunks: Buffer[] = [];
      const timer = `upstream/call/${(serial += 1)}`;
      const handle = this.pools
        .of(server)
        .start(
          {method, head, body: bytes, requestId: undefined},
          OWN_CONNECTIONS + server.entry.slots,
          {
            head: (received) => {
              answer = received;
            },
            data: (chunk) => {
              chunks.push(chunk);
            },
            end: () => {
              this.timers.cancel(timer);
              resolve({...answer, body: Buffer.concat(chunks).toString()});
            },
            failed: (error) => {
              this.timers.cancel(timer);
              resolve(error);
            },
          },
        );
      if (handle instanceof UpstreamError) {
        resolve(handle);
        return;
      }
      this.timers.after(timer, timeoutMs, () => {
        handle.cancel();
      });
    });
  }
}
