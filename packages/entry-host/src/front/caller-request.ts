import type {IncomingMessage} from 'node:http';

import type {Instant} from '@basilworks/core';
import type {Caller} from '@basilworks/dispatch';

import type {HeaderNames} from '../ports.js';
import {headerValue} from '../upstream/index.js';

/** A complete request as the caller sent it. */
export interface CallerRequest {
  readonly id: string;
  readonly method: string;
  /** Path and query string, unchanged. */
  readonly target: string;
  readonly host: string;
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
  readonly arrivedAt: Instant;
  /**
   * How long the caller waits, in milliseconds from the request's arrival;
   * undefined if the request does not say.
   */
  readonly callerTimeoutMs: number | undefined;
  /** Base model and adapter that the request names. */
  readonly model: string | undefined;
}

/** Names of hop-by-hop headers, in lower case. */
const HOP_BY_HOP_HEADERS = new Set([
  'connection',
  'expect',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/**
 * Returns the headers without hop-by-hop headers, those that `Connection`
 * nominates, and those in `excluded`, which has names in lower case.
 */
export const endToEndHeaders = (
  rawHeaders: readonly string[],
  excluded: ReadonlySet<string>,
): readonly string[] => {
  const nominated = new Set<string>();
  for (let index = 0; index < rawHeaders.length; index += 2) {
    if (rawHeaders[index]?.toLowerCase() === 'connection') {
      for (const name of (rawHeaders[index + 1] ?? '').split(',')) {
        nominated.add(name.trim().toLowerCase());
      }
    }
  }
  const kept: string[] = [];
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? '';
    const lower = name.toLowerCase();
    if (
      !HOP_BY_HOP_HEADERS.has(lower) &&
      !nominated.has(lower) &&
      !excluded.has(lower)
    ) {
      kept.push(name, rawHeaders[index + 1] ?? '');
    }
  }
  return kept;
};

/** Builds a caller's request from its message and body. */
export const readCallerRequest = (
  message: IncomingMessage,
  body: Buffer,
  arrivedAt: Instant,
  names: HeaderNames,
): CallerRequest => {
  const {rawHeaders} = message;
  const value = (name: string) => headerValue(rawHeaders, name.toLowerCase());
  const timeoutMs = Number(value(names.deadlineMs));
  return {
    id: value(names.requestId) ?? '',
    method: message.method ?? 'GET',
    target: message.url ?? '/',
    host: message.headers.host ?? '',
    rawHeaders,
    body,
    arrivedAt,
    callerTimeoutMs: timeoutMs > 0 ? timeoutMs : undefined,
    model: value(names.model),
  };
};

/** What this host adds to a request when it sends it to a server. */
export interface SendDetails {
  readonly serverId: string;
  readonly remainingMs: number;
  /** Adapter version that the server is expected to have. */
  readonly version: number | undefined;
  readonly priority: number;
  /** Id of the last event that the caller received of a resumed stream. */
  readonly lastEventId: string | undefined;
  /** Whether the caller has received the head of a stream. */
  readonly answerStarted?: boolean;
  /** Id under which its prompt was announced to the server's issuer. */
  readonly announcedAs?: string | undefined;
  /** Longest event gap with which a stream is still on time, milliseconds. */
  readonly gapTargetMs?: number | undefined;
  /** Absent if the configuration defines no tenants. */
  readonly caller?: Caller;
}

const UNNAMED: Caller = {type: 'unnamed'};

/** Serializes the HTTP/1.1 head of a request to a server. */
export const serializeRequestHead = (
  request: CallerRequest,
  names: HeaderNames,
  details: SendDetails,
): string => {
  const {caller = UNNAMED} = details;
  const excluded = new Set(
    [
      ...names.reserved,
      names.deadlineMs,
      names.expectServer,
      names.expectVersion,
      names.priority,
      'content-length',
      ...(details.lastEventId === undefined ? [] : [names.lastEventId]),
      ...(caller.type === 'unnamed' ? [] : [names.key, names.tenant]),
    ].map((name) => name.toLowerCase()),
  );
  const lines = [`${request.method} ${request.target} HTTP/1.1`];
  const kept = endToEndHeaders(request.rawHeaders, excluded);
  for (let index = 0; index < kept.length; index += 2) {
    lines.push(`${kept[index] ?? ''}: ${kept[index + 1] ?? ''}`);
  }
  lines.push(
    `${names.deadlineMs}: ${Math.max(1, Math.floor(details.remainingMs))}`,
    `${names.expectServer}: ${details.serverId}`,
    `${names.priority}: ${details.priority}`,
  );
  if (details.version !== undefined) {
    lines.push(`${names.expectVersion}: ${details.version}`);
  }
  if (details.lastEventId !== undefined) {
    lines.push(`${names.lastEventId}: ${details.lastEventId}`);
  }
  if (caller.type === 'tenant') {
    lines.push(`${names.tenant}: ${caller.tenant.name}`);
  }
  const hasBody = request.body.length > 0;
  if (hasBody || !['GET', 'HEAD', 'DELETE'].includes(request.method)) {
    lines.push(`Content-Length: ${request.body.length}`);
  }
  return [...lines, '', ''].join('\r\n');
};
