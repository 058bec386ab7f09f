import {createHash} from 'node:crypto';

import {NOT_RUN_HEADER} from '@basilworks/protocol';
import {RESPONSE_ALREADY_SENT} from '@hono/node-server/utils/response';
import {type Context, Hono} from 'hono';

import type {PlainCallEnd, PlainServiceModel} from '../models/index.js';
import type {NodeEnvironment} from './listen.js';

/** What a stand-in plain service answers to a call that ran. */
export interface PlainAnswer {
  readonly operation: string;
  readonly member: string;
  /** SHA-256 of the body that ran, in hex. */
  readonly bodyDigest: string;
}

/** A plain service's wire format over a model of it. */
export const plainServiceRoutes = (
  service: PlainServiceModel,
): Hono<NodeEnvironment> => {
  const routes = new Hono<NodeEnvironment>();
  routes.post('/operations/:operation', async (context) => {
    const call = {
      operation: context.req.param('operation'),
      member: context.req.header('x-member') ?? '',
      body: await context.req.text(),
    };
    return new Promise<Response>((resolve) => {
      service.call(call, (end) => {
        resolve(toResponse(context, end));
      });
    });
  });
  return routes;
};

/** Digest by which an answer names the body that ran. */
export const plainBodyDigest = (body: string): string =>
  createHash('sha256').update(body).digest('hex');

const toResponse = (
  context: Context<NodeEnvironment>,
  end: PlainCallEnd,
): Response => {
  switch (end.kind) {
    case 'answered': {
      const {operation, member, body} = end.call;
      const bodyDigest = plainBodyDigest(body);
      return context.json({
        operation,
        member,
        bodyDigest,
      } satisfies PlainAnswer);
    }
    case 'refused':
      return context.json({problem: 'not now'}, 503, {
        [NOT_RUN_HEADER]: 'true',
      });
    case 'answer-lost':
      context.env.outgoing.destroy();
      return RESPONSE_ALREADY_SENT;
  }
};
