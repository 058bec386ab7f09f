import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';

import test from 'ava';

import {createRouteListener} from '../../lib/route-listener.js';

test('routes serve their paths, and 404 elsewhere', async (t) => {
  const server = createServer(
    createRouteListener({
      '/ready': () => ({status: 503}),
      '/broken': () => Promise.reject(new Error('broken')),
      '/zone': async (query) =>
        Promise.resolve({
          status: 200,
          contentType: 'application/json',
          body: JSON.stringify({zone: query.get('zone')}),
        }),
    }),
  );
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as AddressInfo;
  const request = async (path: string, method = 'GET') => {
    const response = await fetch(`http://127.0.0.1:${port}${path}`, {method});
    return [response.status, await response.text()];
  };
  t.deepEqual(await request('/ready'), [503, '']);
  t.deepEqual(await request('/zone?zone=a%20b'), [200, '{"zone":"a b"}']);
  t.deepEqual(await request('/zone', 'HEAD'), [200, '']);
  t.is((await request('/zone', 'POST'))[0], 404);
  t.is((await request('/constructor'))[0], 404);
  t.is((await request('/other'))[0], 404);
  t.is((await request('/broken'))[0], 500);
  server.close();
  server.closeAllConnections();
});
