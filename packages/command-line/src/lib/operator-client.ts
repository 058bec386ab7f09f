import {operatorErrorSchema} from '@basilworks/protocol';
import {err, ok, type Result} from 'neverthrow';
import {request} from 'undici';
import type {z} from 'zod';

import {CommandError} from './command-error.js';
import {EXIT_CODES, type ExitCode} from './exit-code.js';

const REQUEST_TIMEOUT_MS = 30_000;

/** The entry host that a command talks to. */
export interface Target {
  /** IP number and port, or a URL. */
  readonly host: string;
  readonly token: string;
}

/** An operator request and the schema of the answers that it expects. */
export interface OperatorRequest<Answer> {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: unknown;
  readonly answer: z.ZodType<Answer>;
}

/**
 * Sends one operator request. Any status whose body matches `answer` is
 * success; everything else becomes a `CommandError`.
 */
export const sendOperatorRequest = async <Answer>(
  target: Target,
  {method, path, body, answer}: OperatorRequest<Answer>,
  signal: AbortSignal,
): Promise<Result<Answer, CommandError>> => {
  const received = await exchange(target, method, path, body, signal);
  if (received.isErr()) {
    return err(received.error);
  }
  const parsed = answer.safeParse(received.value.body);
  return parsed.success
    ? ok(parsed.data)
    : err(toError(received.value, target.host));
};

interface ReceivedAnswer {
  readonly status: number;
  readonly body: unknown;
}

const exchange = async (
  target: Target,
  method: 'GET' | 'POST',
  path: string,
  body: unknown,
  signal: AbortSignal,
): Promise<Result<ReceivedAnswer, CommandError>> => {
  try {
    const response = await request(new URL(path, baseUrl(target.host)), {
      method,
      headers: {
        authorization: `Bearer ${target.token}`,
        'content-type': 'application/json',
      },
      body: body === undefined ? null : JSON.stringify(body),
      headersTimeout: REQUEST_TIMEOUT_MS,
      signal,
    });
    const text = await response.body.text();
    return ok({status: response.statusCode, body: parseJson(text)});
  } catch (cause) {
    const detail = cause instanceof Error ? cause.message : 'unknown cause';
    return err(
      new CommandError(
        `${target.host} does not answer: ${detail}`,
        EXIT_CODES.unavailable,
      ),
    );
  }
};

const baseUrl = (host: string): string =>
  host.includes('://') ? host : `http://${host}`;

const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
};

const EXIT_CODE_BY_STATUS: Readonly<Record<number, ExitCode>> = {
  400: EXIT_CODES.usage,
  401: EXIT_CODES.unauthenticated,
  403: EXIT_CODES.unauthenticated,
  404: EXIT_CODES.notFound,
  409: EXIT_CODES.conflict,
  503: EXIT_CODES.unavailable,
};

const toError = (
  {status, body}: ReceivedAnswer,
  host: string,
): CommandError => {
  const exitCode = EXIT_CODE_BY_STATUS[status] ?? EXIT_CODES.internal;
  const parsed = operatorErrorSchema.safeParse(body);
  const detail = parsed.success
    ? `${parsed.data.error.code}: ${parsed.data.error.message}`
    : `unexpected answer with status ${status}`;
  return new CommandError(`${host}: ${detail}`, exitCode);
};
