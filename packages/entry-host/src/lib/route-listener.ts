import type {IncomingMessage, RequestListener, ServerResponse} from 'node:http';

/** An answer of a plain route; without a body where none is given. */
export interface RouteResponse {
  readonly status: number;
  readonly contentType?: string;
  readonly body?: string;
}

/** Answers GET and HEAD of one path. */
export type RouteHandler = (
  query: URLSearchParams,
) => RouteResponse | Promise<RouteResponse>;

const NOT_FOUND: RouteResponse = {
  status: 404,
  contentType: 'text/plain;charset=UTF-8',
  body: '404 Not Found',
};

const FAILED: RouteResponse = {status: 500};

/** Returns a listener that answers the given paths and 404 elsewhere. */
export const createRouteListener =
  (routes: Readonly<Record<string, RouteHandler>>): RequestListener =>
  (request, response) => {
    void answer(routes, request)
      .catch(() => FAILED)
      .then((given) => {
        write(response, given);
      });
  };

const answer = async (
  routes: Readonly<Record<string, RouteHandler>>,
  {method = '', url = '/'}: IncomingMessage,
): Promise<RouteResponse> => {
  const [path = '', ...query] = url.split('?');
  const reads = method === 'GET' || method === 'HEAD';
  const route = reads && Object.hasOwn(routes, path) ? routes[path] : undefined;
  return route?.(new URLSearchParams(query.join('?'))) ?? NOT_FOUND;
};

const write = (
  response: ServerResponse,
  {status, contentType, body = ''}: RouteResponse,
): void => {
  response.writeHead(status, {
    ...(contentType === undefined ? {} : {'Content-Type': contentType}),
    'Content-Length': Buffer.byteLength(body),
  });
  response.end(body);
};
