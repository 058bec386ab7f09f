import {AnswerText} from '@basilworks/stand-ins';
import test from 'ava';
import {fetch} from 'undici';

import {TestFleet} from './fleet.js';

const ADAPTERS = ['tug', 'ferry', 'dragger', 'tanker'];

const chat = (model: string, stream: boolean) => ({
  model,
  messages: [{role: 'user', content: 'signal?'}],
  user: 'crew-one',
  stream,
  max_tokens: 20,
});

test.serial('every host gives the whole answer of every adapter', async (t) => {
  const fleet = await TestFleet.start(3);
  t.teardown(() => {
    fleet.close();
  });
  await fleet.applyAdapters(ADAPTERS);
  for (const adapter of ADAPTERS) {
    for (const host of fleet.hosts) {
      const answer = await fleet.ask(host, chat(`${adapter}@v1`, true));
      const body = await answer.text();
      t.is(answer.status, 200, body);
      const text = new AnswerText({
        requestId: answer.headers.get('x-request-id') ?? '',
        adapter,
        version: 'v1',
        user: 'crew-one',
        prompt: 'signal?',
      });
      t.is(body, text.stream(0, 20, true).toString());
    }
  }
  const [host] = fleet.hosts;
  const whole = await fleet.ask(host, chat('tug', false));
  t.is(whole.status, 200);
  t.is(whole.headers.get('x-version'), 'v1');
  const url = `http://${host?.address ?? ''}/v1/address?model=tug`;
  const answer = (await (await fetch(url)).json()) as {addresses: string[]};
  t.deepEqual(
    [...answer.addresses].sort(),
    fleet.hosts.map(({address}) => address).sort(),
  );
});
