import type {StoreOperation, StoreResult} from '@basilworks/core';
import {putObjectSchema} from '@basilworks/protocol';
import {RESPONSE_ALREADY_SENT} from '@hono/node-server/utils/response';
import {type Context, Hono} from 'hono';

import {isTooLarge, type ObjectStoreModel} from '../models/index.js';
import type {NodeEnvironment} from './listen.js';

const DEFAULT_PAGE_OBJECTS = 100;

/** The object API's wire format over a model of it. */
export const objectApiRoutes = (
  store: ObjectStoreModel,
): Hono<NodeEnvironment> => {
  const routes = new Hono<NodeEnvironment>();
  const answer = (
    context: Context<NodeEnvironment>,
    operation: StoreOperation,
  ): Promise<Response> =>
    new Promise((resolve) => {
      store.call(operation, (result) => {
        resolve(toResponse(context, store.inOutage, result));
      });
    });
  routes.get('/objects/:kind', (context) =>
    answer(context, {
      type: 'list',
      kind: context.req.param('kind'),
      prefix: context.req.query('prefix') ?? '',
      after: context.req.query('after') ?? '',
      limit: Number(context.req.query('limit') ?? DEFAULT_PAGE_OBJECTS),
    }),
  );
  routes.get('/objects/:kind/:name', (context) => {
    const {kind, name} = context.req.param();
    const newerThan = context.req.query('newerThan');
    return newerThan === undefined
      ? answer(context, {type: 'get', kind, name})
      : answer(context, {
          type: 'watch',
          kind,
          name,
          newerThan: Number(newerThan),
          waitMs: Number(context.req.query('waitMs') ?? 0),
        });
  });
  routes.put('/objects/:kind/:name', async (context) => {
    const {kind, name} = context.req.param();
    const body = putObjectSchema.safeParse(await context.req.json());
    if (!body.success) {
      return context.json({problem: body.error.message}, 400);
    }
    const {value, expectedVersion} = body.data;
    const operation: StoreOperation =
      expectedVersion === 0
        ? {type: 'create', kind, name, value}
        : {type: 'update', kind, name, value, expectedVersion};
    return isTooLarge(operation)
      ? context.json({problem: 'the value is above one megabyte'}, 413)
      : answer(context, operation);
  });
  routes.delete('/objects/:kind/:name', (context) =>
    answer(context, {
      type: 'delete',
      kind: context.req.param('kind'),
      name: context.req.param('name'),
      expectedVersion: Number(context.req.query('expectedVersion') ?? 0),
    }),
  );
  return routes;
};

type ResultHandlers = {
  readonly [Type in StoreResult['type']]: (
    context: Context<NodeEnvironment>,
    result: Extract<StoreResult, {readonly type: Type}>,
  ) => Response;
};

const handlers: ResultHandlers = {
  found: (context, {object}) => context.json(object),
  listed: (context, {objects}) => context.json({objects}),
  missing: (context) => context.json({problem: 'no such object'}, 404),
  unchanged: (context) => context.body(null, 304),
  written: (context, {version}) => context.json({version}),
  conflict: (context, {current}) => context.json({current}, 409),
  unavailable: (context, {retryAfterMs}) =>
    context.json({problem: 'nothing was done'}, 429, {
      'retry-after': `${retryAfterMs / 1_000}`,
    }),
  unknown: (context) => {
    context.env.outgoing.destroy();
    return RESPONSE_ALREADY_SENT;
  },
};

const toResponse = (
  context: Context<NodeEnvironment>,
  inOutage: boolean,
  result: StoreResult,
): Response => {
  const handler = handlers[result.type] as (
    context: Context<NodeEnvironment>,
    result: StoreResult,
  ) => Response;
  const response = handler(context, result);
  return inOutage && response.status === 429
    ? context.json({problem: 'outage'}, 503, {'retry-after': '1'})
    : response;
};
