import {z} from 'zod';

/**
 * Wire format of a model engine.
 *
 * - `POST /v1/chat/completions` with an OpenAI-style body whose `model` is
 *   `adapter@version` and `stream` true or false. Headers: `x-request-id`,
 *   `x-execution-id`, `x-fencing-number`, `x-priority` (smaller first),
 *   `x-prompt-cache-key` (names the prefix in cache events; may be empty).
 *   Answers 200 with headers `x-adapter` and `x-version` (what ran) and, for a stream,
 *   `text/event-stream` ending in `data: [DONE]`. 404 `adapter-not-resident`,
 *   412 `stale-fencing` and 429 `queue-full`, with `engineErrorSchema`, say
 *   that nothing ran.
 * - `GET /v1/streams/{executionId}?offset=BYTES`: continues an answer; 404 once
 *   forgotten.
 * - `DELETE /v1/streams/{executionId}`: cancels, frees the position.
 * - `POST /adapters/load` and `/adapters/unload` with `adapterOrderSchema`:
 *   200 when done; `engineErrorSchema` with 409 `no-free-slot` or `in-use`, 412
 *   `stale-fencing`, 502 `load-failed`.
 * - `GET /load`: `loadReportSchema`, as measured some time ago.
 * - `GET /cache-events?after=SEQUENCE`: `cacheEventsSchema`, late, with gaps.
 */
export const engineErrorSchema = z.object({
  error: z.object({
    code: z.enum([
      'adapter-not-resident',
      'stale-fencing',
      'queue-full',
      'no-free-slot',
      'in-use',
      'load-failed',
      'unknown-stream',
      'bad-request',
      'internal',
    ]),
    message: z.string(),
  }),
});
export type EngineError = z.infer<typeof engineErrorSchema>;

export const adapterOrderSchema = z.object({
  orderId: z.string(),
  adapter: z.string(),
  version: z.string(),
  fencingNumber: z.number().int().nonnegative(),
});
export type AdapterOrder = z.infer<typeof adapterOrderSchema>;

export const loadReportSchema = z.object({
  engineIncarnation: z.string(),
  /** Milliseconds since the measurement when the answer was sent. */
  ageMs: z.number().nonnegative(),
  resident: z.array(
    z.object({
      adapter: z.string(),
      version: z.string(),
      state: z.enum(['loading', 'ready']),
      running: z.number().int().nonnegative(),
    }),
  ),
  running: z.number().int().nonnegative(),
  waiting: z.number().int().nonnegative(),
});
export type LoadReport = z.infer<typeof loadReportSchema>;

export const cacheEventsSchema = z.object({
  events: z.array(
    z.object({
      sequence: z.number().int(),
      prefixDigest: z.string(),
      cached: z.boolean(),
    }),
  ),
});
export type CacheEvents = z.infer<typeof cacheEventsSchema>;
