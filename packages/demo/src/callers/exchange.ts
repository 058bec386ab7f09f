import {Agent, type Dispatcher, request} from 'undici';
import {z} from 'zod';

const CONNECT_TIMEOUT_MS = 2_000;

/** Connections of all callers; no request is ever sent again by itself. */
const agent = new Agent({
  connect: {timeout: CONNECT_TIMEOUT_MS},
  pipelining: 1,
  headersTimeout: 0,
  bodyTimeout: 0,
});

const errorBodySchema = z.object({
  error: z.object({
    code: z.string(),
    notRun: z.boolean(),
    retryAfterMs: z.number().optional(),
    requestId: z.string().optional(),
  }),
});
export type ErrorBody = z.infer<typeof errorBodySchema>['error'];

/** What came back on one connection. */
export interface Exchange {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: Buffer;
  /** How it ended; `no-connection` proves that nothing was sent. */
  readonly end: 'complete' | 'broken' | 'timeout' | 'no-connection';
}

export interface ExchangeRequest {
  readonly address: string;
  readonly path: string;
  readonly method: Dispatcher.HttpMethod;
  readonly headers: Record<string, string>;
  readonly body?: string;
  readonly timeoutMs: number;
}

/** Sends a request once and collects what comes back. Never rejects. */
export const exchange = async ({
  address,
  path,
  method,
  headers,
  body,
  timeoutMs,
}: ExchangeRequest): Promise<Exchange> => {
  const signal = AbortSignal.timeout(timeoutMs);
  const chunks: Buffer[] = [];
  let response: Dispatcher.ResponseData | undefined;
  const toExchange = (end: Exchange['end']): Exchange => ({
    status: response?.statusCode ?? 0,
    headers: response?.headers ?? {},
    body: Buffer.concat(chunks),
    end,
  });
  try {
    response = await request(`http://${address}${path}`, {
      method,
      headers,
      body: body ?? null,
      signal,
      dispatcher: agent,
    });
    for await (const chunk of response.body) {
      chunks.push(chunk as Buffer);
    }
    return toExchange('complete');
  } catch (error) {
    if (signal.aborted) {
      return toExchange('timeout');
    }
    return toExchange(isNotConnected(error) ? 'no-connection' : 'broken');
  }
};

/** A header's text; empty when it is missing. */
export const headerOf = ({headers}: Exchange, name: string): string => {
  const value = headers[name];
  return typeof value === 'string' ? value : '';
};

/** The typed error in a negative answer. */
export const parseErrorBody = (text: string): ErrorBody | undefined => {
  try {
    return errorBodySchema.safeParse(JSON.parse(text)).data?.error;
  } catch {
    return undefined;
  }
};

const NOT_CONNECTED_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'UND_ERR_CONNECT_TIMEOUT',
]);

const isNotConnected = (error: unknown): boolean =>
  error instanceof Error &&
  'code' in error &&
  NOT_CONNECTED_CODES.has(String(error.code));
