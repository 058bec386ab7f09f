import type {IncomingMessage, RequestListener, ServerResponse} from 'node:http';

/** Response of a route; the body is empty if absent. */
export interface RouteResponse {
  readonly status: number;
  readonly contentType?: string;
  readonly body?: string;
}

/** Handles GET and HEAD requests to one path. */
export type RouteHandler = (
  query: URLSearchParams,
) => RouteResponse | Promise<RouteResponse>;

const NOT_FOUND: RouteResponse = {
  status: 404,
  contentType: 'text/plain;charset=UTF-8',
  body: '404 Not Found',
};

const INTERNAL_ERROR: RouteResponse = {status: 500};

/** Returns a listener that serves the given paths, and 404 for others. */
export const createRouteListener =
  (routes: Readonly<Record<string, RouteHandler>>): RequestListener =>
  (request, response) => {
    void handleRequest(routes, request)
      .catch(() => INTERNAL_ERROR)
      .then((routeResponse) => {
        writeResponse(response, routeResponse);
      });
  };

const handleRequest = async (
  routes: Readonly<Record<string, RouteHandler>>,
  {method = '', url = '/'}: IncomingMessage,
): Promise<RouteResponse> => {
  const [path = '', ...query] = url.split('?');
  const isRead = method === 'GET' || method === 'HEAD';
  const route =
    isRead && Object.hasOwn(routes, path) ? routes[path] : undefined;
  return route?.(new URLSearchParams(query.join('?'))) ?? NOT_FOUND;
};

const writeResponse = (
  response: ServerResponse,
  {status, contentType, body = ''}: RouteResponse,
): void => {
  response.writeHead(status, {
    ...(contentType === undefined ? {} : {'Content-Type': contentType}),
    'Content-Length': Buffer.byteLength(body),
  });
  response.end(body);
};
