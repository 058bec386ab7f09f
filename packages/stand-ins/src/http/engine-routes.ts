import {
  adapterOrderSchema,
  type CacheEvents,
  type EngineError,
  type LoadReport,
} from '@basilworks/protocol';
import {RESPONSE_ALREADY_SENT} from '@hono/node-server/utils/response';
import {type Context, Hono} from 'hono';
import {z} from 'zod';

import {AnswerText} from '../lib/answer-text.js';
import type {
  EngineExecution,
  EngineModel,
  OrderOutcome,
} from '../models/index.js';
import {AnswerWriter} from './answer-writer.js';
import type {NodeEnvironment} from './listen.js';

const completionSchema = z.object({
  model: z.string().regex(/^[^@]+@[^@]+$/, 'adapter@version'),
  messages: z.array(z.object({content: z.string()})).default([]),
  stream: z.boolean().default(false),
  max_tokens: z.number().int().positive().max(100_000).default(16),
  user: z.string().default(''),
});

type ErrorCode = EngineError['error']['code'];

const STATUSES = {
  'adapter-not-resident': 404,
  'unknown-stream': 404,
  'no-free-slot': 409,
  'in-use': 409,
  'stale-fencing': 412,
  'queue-full': 429,
  'bad-request': 400,
  internal: 500,
  'load-failed': 502,
} as const satisfies Record<ErrorCode, number>;

/** An engine's wire format over a model of it. */
export const engineRoutes = (engine: EngineModel): Hono<NodeEnvironment> => {
  const routes = new Hono<NodeEnvironment>();
  const answers: Answers = new WeakMap();
  routes.post('/v1/chat/completions', (context) =>
    complete(context, engine, answers),
  );
  routes.get('/v1/streams/:executionId', (context) =>
    resume(context, engine, answers),
  );
  routes.delete('/v1/streams/:executionId', (context) => {
    const cancelled = engine.cancel(context.req.param('executionId'));
    return cancelled ? context.json({}) : fail(context, 'unknown-stream');
  });
  routes.post('/adapters/load', async (context) => {
    const order = adapterOrderSchema.safeParse(await context.req.json());
    if (!order.success) {
      return fail(context, 'bad-request', order.error.message);
    }
    return new Promise<Response>((resolve) => {
      engine.load(order.data, (outcome) => {
        resolve(answerOrder(context, outcome));
      });
    });
  });
  routes.post('/adapters/unload', async (context) => {
    const order = adapterOrderSchema.safeParse(await context.req.json());
    return order.success
      ? answerOrder(context, engine.unload(order.data))
      : fail(context, 'bad-request', order.error.message);
  });
  routes.get('/load', (context) => {
    const {engineIncarnation, ageMs, resident, running, waiting} =
      engine.report();
    const report: LoadReport = {
      engineIncarnation,
      ageMs,
      resident: [...resident],
      running,
      waiting,
    };
    return context.json(report);
  });
  routes.get('/cache-events', (context) => {
    const after = Number(context.req.query('after') ?? 0);
    const events = [...engine.cacheChangesAfter(after)];
    return context.json({events} satisfies CacheEvents);
  });
  return routes;
};

/** What is needed to continue an answer. */
interface Answer {
  readonly text: AnswerText;
  readonly streamed: boolean;
}

type Answers = WeakMap<EngineExecution, Answer>;

const complete = async (
  context: Context<NodeEnvironment>,
  engine: EngineModel,
  answers: Answers,
): Promise<Response> => {
  const body = completionSchema.safeParse(await context.req.json());
  if (!body.success) {
    return fail(context, 'bad-request', body.error.message);
  }
  const {model, messages, stream, max_tokens: tokens, user} = body.data;
  const [adapter = '', version = ''] = model.split('@');
  const requestId = context.req.header('x-request-id') ?? '';
  const executionId = context.req.header('x-execution-id') ?? requestId;
  const prompt = messages.map(({content}) => content).join('\n');
  const text = new AnswerText({requestId, adapter, version, user, prompt});
  const request = {
    executionId,
    requestId,
    member: user,
    adapter,
    version,
    fencingNumber: Number(context.req.header('x-fencing-number') ?? 0),
    priority: Number(context.req.header('x-priority') ?? 0),
    prefixDigest: context.req.header('x-prompt-cache-key') ?? '',
    tokens,
  };
  const {outgoing} = context.env;
  const writer = new AnswerWriter(outgoing, text, stream, 0);
  const refusal = engine.run(request, writer);
  if (refusal !== undefined) {
    return fail(context, refusal);
  }
  const execution = engine.execution(executionId);
  if (execution !== undefined) {
    answers.set(execution, {text, streamed: stream});
  }
  writer.begin(adapter, version);
  return RESPONSE_ALREADY_SENT;
};

const resume = (
  context: Context<NodeEnvironment>,
  engine: EngineModel,
  answers: Answers,
): Response => {
  const executionId = context.req.param('executionId') ?? '';
  const execution = engine.execution(executionId);
  const answer = execution && answers.get(execution);
  if (execution === undefined || answer === undefined) {
    return fail(context, 'unknown-stream');
  }
  const offsetBytes = Number(context.req.query('offset') ?? 0);
  const {outgoing} = context.env;
  const writer = new AnswerWriter(
    outgoing,
    answer.text,
    answer.streamed,
    offsetBytes,
  );
  writer.begin(execution.request.adapter, execution.request.version);
  execution.follow(writer);
  return RESPONSE_ALREADY_SENT;
};

const answerOrder = (
  context: Context<NodeEnvironment>,
  outcome: OrderOutcome,
): Response => {
  if (outcome === 'done') {
    return context.json({});
  }
  return fail(context, outcome === 'failed' ? 'load-failed' : outcome);
};

const fail = (
  context: Context<NodeEnvironment>,
  code: ErrorCode,
  message: string = code,
): Response =>
  context.json({error: {code, message}} satisfies EngineError, STATUSES[code]);
