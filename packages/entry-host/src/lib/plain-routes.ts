import type {IncomingMessage, RequestListener, ServerResponse} from 'node:http';

/** An answer of a plain route; without a body where none is given. */
export interface PlainAnswer {
  readonly status: number;
  readonly contentType?: string;
  readonly body?: string;
}

/** Answers GET and HEAD of one path. */
export type PlainRoute = (
  query: URLSearchParams,
) => PlainAnswer | Promise<PlainAnswer>;

const NOT_FOUND: PlainAnswer = {
  status: 404,
  contentType: 'text/plain;charset=UTF-8',
  body: '404 Not Found',
};

const FAILED: PlainAnswer = {status: 500};

/** Returns a listener that answers the given paths and 404 elsewhere. */
export const plainRoutes =
  (routes: Readonly<Record<string, PlainRoute>>): RequestListener =>
  (request, response) => {
    void answer(routes, request)
      .catch(() => FAILED)
      .then((given) => {
        write(response, given);
      });
  };

const answer = async (
  routes: Readonly<Record<string, PlainRoute>>,
  {method = '', url = '/'}: IncomingMessage,
): Promise<PlainAnswer> => {
  const [path = '', ...query] = url.split('?');
  const reads = method === 'GET' || method === 'HEAD';
  const route = reads && Object.hasOwn(routes, path) ? routes[path] : undefined;
  return route?.(new URLSearchParams(query.join('?'))) ?? NOT_FOUND;
};

const write = (
  response: ServerResponse,
  {status, contentType, body = ''}: PlainAnswer,
): void => {
  response.writeHead(status, {
    ...(contentType === undefined ? {} : {'Content-Type': contentType}),
    'Content-Length': Buffer.byteLength(body),
  });
  response.end(body);
};
