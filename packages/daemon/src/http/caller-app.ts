import type {HttpBindings} from '@hono/node-server';
import type {Context, Hono} from 'hono';

/** Bindings of the HTTP listeners: node's own request and response. */
export interface CallerEnvironment {
  Bindings: HttpBindings;
}

/** The HTTP interface that parts add their routes to. */
export type CallerApp = Hono<CallerEnvironment>;

/** One request of a caller. */
export type CallerRequest = Context<CallerEnvironment>;
