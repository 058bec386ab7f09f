import {AnswerText} from '@basilworks/stand-ins';
import test from 'ava';
import {fetch, type Response} from 'undici';

import {type FleetHost, TestFleet, TOKENS, waitFor} from './fleet.js';

const TOKENS_OF_ANSWER = 200;
const CHAT = {
  model: 'tug@v1',
  messages: [{role: 'user', content: 'review'}],
  user: 'crew-one',
  stream: true,
  max_tokens: TOKENS_OF_ANSWER,
};

const resume = async (
  host: FleetHost | undefined,
  head: Response,
  offset: number,
  member: keyof typeof TOKENS = 'crew-one',
) => {
  const requestId = head.headers.get('x-request-id') ?? '';
  const path = `/v1/streams/${requestId}?offset=${offset}`;
  return fetch(`http://${host?.address ?? ''}${path}`, {
    headers: {
      authorization: `Bearer ${TOKENS[member]}`,
      'x-resume-token': head.headers.get('x-resume-token') ?? '',
    },
  });
};

const expectedAnswer = (head: Response): string =>
  new AnswerText({
    requestId: head.headers.get('x-request-id') ?? '',
    adapter: 'tug',
    version: 'v1',
    user: 'crew-one',
    prompt: 'review',
  })
    .stream(0, TOKENS_OF_ANSWER, true)
    .toString();

test.serial(
  'a broken stream continues on any host, for its member',
  async (t) => {
    const fleet = await TestFleet.start(3);
    t.teardown(() => {
      fleet.close();
    });
    await fleet.applyAdapters(['tug']);
    for (const [index, other] of fleet.hosts.entries()) {
      const first = fleet.hosts[(index + 1) % fleet.hosts.length];
      const head = await fleet.ask(first, CHAT);
      t.is(head.status, 200);
      let received = '';
      for await (const chunk of head.body ?? []) {
        received += Buffer.from(chunk as Uint8Array).toString();
        if (received.length > 1_000) {
          break;
        }
      }
      const stranger = await resume(other, head, received.length, 'crew-two');
      t.is(stranger.status, 403);
      const rest = await resume(other, head, received.length);
      t.is(rest.status, 200);
      t.is(received + (await rest.text()), expectedAnswer(head));
    }
  },
);

test.serial('a vanished caller frees its position at the engine', async (t) => {
  const fleet = await TestFleet.start(1);
  t.teardown(() => {
    fleet.close();
  });
  await fleet.applyAdapters(['tug']);
  const head = await fleet.ask(fleet.hosts[0], {...CHAT, max_tokens: 50_000});
  await head.body?.cancel();
  const running = () =>
    [...fleet.platform.engines.values()].reduce(
      (sum, engine) => sum + engine.report().running,
      0,
    );
  await waitFor(() => running() === 1);
  await waitFor(() => running() === 0);
  t.is(running(), 0);
});

test.serial('a planned stop under load cuts nothing short', async (t) => {
  const fleet = await TestFleet.start(3);
  t.teardown(() => {
    fleet.close();
  });
  await fleet.applyAdapters(['tug']);
  const [stopping] = fleet.hosts;
  const heads = await Promise.all(
    fleet.hosts.map((host) => fleet.ask(host, CHAT)),
  );
  stopping?.daemon.requestStop();
  for (const head of heads) {
    t.is(await head.text(), expectedAnswer(head));
  }
  await stopping?.stopped;
  t.pass();
});
