import {
  type Server,
  type ServerEstimate,
  ServiceEstimates,
  reportsSlowness,
} from '@basilworks/dispatch';

import type {EntryHostContext} from '../context.js';
import {headerValue} from '../upstream/index.js';
import type {CallerRequest} from './caller-request.js';

/** The estimate that a send went by and its inputs, for logs. */
export interface EstimateGrounds {
  readonly estimatedMs?: number;
  readonly estimatedGapMs?: number | undefined;
  readonly slowness?: number;
  readonly lastingSlowness?: number;
  readonly slownessAgeMs?: number | undefined;
  readonly requestsThere?: number;
  readonly requestsAgeMs?: number | undefined;
}

/** Tokens of a request's prompt; 0 where it does not say. */
export const promptTokensOf = (
  {platform}: EntryHostContext,
  {rawHeaders}: CallerRequest,
): number => {
  const {forwarding} = platform;
  const name = forwarding.headers.tokenUsage.toLowerCase();
  const text = headerValue(rawHeaders, name) ?? '';
  return forwarding.parseTokenUsage(text)?.promptTokens ?? 0;
};

/** What a server is expected to do; undefined where none tells its slowness. */
export const estimateSend = (
  context: EntryHostContext,
  server: Server,
  request: CallerRequest,
): ServerEstimate | undefined => {
  const {servers, clock} = context;
  const at = clock.now();
  const open = servers.open(server.entry.service, at);
  return reportsSlowness(open, at)
    ? new ServiceEstimates(open, at).of(
        server,
        promptTokensOf(context, request),
      )
    : undefined;
};

export const groundsOf = (
  estimate: ServerEstimate | undefined,
): EstimateGrounds =>
  estimate === undefined
    ? {}
    : {
        estimatedMs: Math.round(estimate.firstMs),
        estimatedGapMs: rounded(estimate.gapMs),
        slowness: Number(estimate.slowness.toFixed(2)),
        lastingSlowness: Number(estimate.lastingSlowness.toFixed(2)),
        slownessAgeMs: rounded(estimate.slownessAgeMs),
        requestsThere: Math.round(estimate.requests),
        requestsAgeMs: rounded(estimate.requestsAgeMs),
      };

const rounded = (value: number | undefined): number | undefined =>
  value === undefined ? undefined : Math.round(value);
