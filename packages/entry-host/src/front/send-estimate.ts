import {
  reportsSlowness,
  type Server,
  type ServerEstimate,
  ServiceEstimates,
} from '@basilworks/dispatch';

import type {EntryHostContext} from '../context.js';
import {headerValue} from '../upstream/index.js';
import type {CallerRequest} from './caller-request.js';

/** Log fields of the estimate for a send: the result and its inputs. */
export interface EstimateLogFields {
  readonly estimatedMs?: number;
  readonly estimatedGapMs?: number | undefined;
  readonly slowness?: number;
  readonly lastingSlowness?: number;
  readonly slownessAgeMs?: number | undefined;
  readonly requestsThere?: number;
  readonly requestsAgeMs?: number | undefined;
}

/** Returns the prompt tokens that a request declares; 0 if it declares none. */
export const readPromptTokens = (
  {platform}: EntryHostContext,
  {rawHeaders}: CallerRequest,
): number => {
  const {forwarding} = platform;
  const name = forwarding.headers.tokenUsage.toLowerCase();
  const text = headerValue(rawHeaders, name) ?? '';
  return forwarding.parseTokenUsage(text)?.promptTokens ?? 0;
};

/**
 * Estimates the response times of a server for a request; undefined if no
 * server of its service reports its slowness.
 */
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
        readPromptTokens(context, request),
      )
    : undefined;
};

export const estimateLogFields = (
  estimate: ServerEstimate | undefined,
): EstimateLogFields =>
  estimate === undefined
    ? {}
    : {
        estimatedMs: Math.round(estimate.firstMs),
        estimatedGapMs: roundOptional(estimate.gapMs),
        slowness: Number(estimate.slowness.toFixed(2)),
        lastingSlowness: Number(estimate.lastingSlowness.toFixed(2)),
        slownessAgeMs: roundOptional(estimate.slownessAgeMs),
        requestsThere: Math.round(estimate.requests),
        requestsAgeMs: roundOptional(estimate.requestsAgeMs),
      };

const roundOptional = (value: number | undefined): number | undefined =>
  value === undefined ? undefined : Math.round(value);
