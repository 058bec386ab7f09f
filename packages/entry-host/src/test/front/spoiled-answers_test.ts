import test from 'ava';

import {startListener} from './simulated-listener.js';

// Guards against hosts that end on a server's bytes: an answer that can't be
// written to its caller rejected a promise that nobody awaited.
test('an answer that cannot be written fails only its request', async (t) => {
  const spoiled = ['X-Spoiled', 'a\u0001b'];
  const listener = await startListener(
    undefined,
    undefined,
    undefined,
    spoiled,
  );
  await t.throwsAsync(listener.request('/open/x'));
  t.true(listener.lines.some((line) => line.startsWith('request handling')));
  await t.throwsAsync(listener.request('/open/x'), undefined, 'it serves on');
  listener.close();
});
