import type {IncomingMessage, ServerResponse} from 'node:http';

import {
  pressureAimMs,
  retryAfterMs,
  type Route,
  type RouteTable,
} from '@basilworks/dispatch';

import type {EntryHostContext} from '../context.js';
import {headerValue} from '../upstream/index.js';
import type {CallerGate} from './caller-gate.js';
import {type LoopTimes, ProcessorWatch} from './processor-watch.js';

/**
 * Refuses requests by their heads, with the time to come back. The bodies are
 * passed over as they come, and the connections go on.
 */
export class EarlyRefusals {
  private readonly watch: ProcessorWatch;
  private routes: RouteTable | undefined;
  private aimsMs: ReadonlyMap<Route, number> = new Map<Route, number>();

  constructor(
    private readonly context: EntryHostContext,
    private readonly gate: CallerGate,
    loopTimes?: () => LoopTimes,
  ) {
    this.watch = new ProcessorWatch(context, loopTimes);
  }

  /** Goes by a configuration from now on. */
  use(routes: RouteTable): void {
    this.routes = routes;
    const all = routes.configuration.routes;
    this.aimsMs = new Map(
      all.map((route) => [route, pressureAimMs(route, all)] as const),
    );
  }

  /**
   * Refuses a request that would wait too long for the processor, at the least
   * cost that there is; true if it did. What is no proper request is not for it
   * to refuse.
   */
  refuse(message: IncomingMessage, response: ServerResponse): boolean {
    const {waitMs} = this.watch.pressure;
    if (waitMs === 0 || !this.isShortFor(message)) {
      return false;
    }
    response.sendDate = false;
    const headers = this.headersFor(message, 'short of processor', waitMs);
    response.writeHead(503, [...headers, 'Content-Length', '0']).end();
    return true;
  }

  /** Notes a refusal; returns what tells the caller when to come back. */
  headersFor(
    {rawHeaders}: IncomingMessage,
    reason: string,
    expectedWaitMs: number,
  ): readonly string[] {
    const {logger, metrics, random, platform} = this.context;
    const {requestId, deadlineMs} = platform.forwarding.headers;
    const value = (name: string) => headerValue(rawHeaders, name.toLowerCase());
    metrics.refusals.inc({reason});
    logger.info('request turned away', {requestId: value(requestId), reason});
    const callerMs = Number(value(deadlineMs));
    const leftMs = callerMs > 0 ? callerMs : Infinity;
    const waitMs = retryAfterMs(expectedWaitMs, leftMs, random);
    return ['Retry-After', (waitMs / 1_000).toFixed(2)];
  }

  private isShortFor({headers, url, rawHeaders}: IncomingMessage): boolean {
    const route = this.routes?.match(headers.host ?? '', url ?? '');
    const aimMs = route && this.aimsMs.get(route);
    if (route === undefined || aimMs === undefined) {
      return false;
    }
    const caller = this.gate.identify(rawHeaders, route);
    if (caller.type === 'refused') {
      return false;
    }
    const rank = caller.type === 'tenant' ? caller.tenant.priority : undefined;
    return this.watch.pressure.refuses(aimMs, rank ?? route.priority);
  }
}
