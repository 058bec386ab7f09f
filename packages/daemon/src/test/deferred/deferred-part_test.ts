import test from 'ava';
import {fetch} from 'undici';

import {TestFleet, TOKENS, waitFor, type FleetHost} from '../fleet.js';

interface WorkAnswer {
  readonly requestId: string;
  readonly status?: string;
  readonly answer?: string;
  readonly error?: {readonly code: string; readonly notRun: boolean};
}

/** Work may be held for a batch until its slack runs out. */
const DEADLINE_MS = '8000';

const submit = async (host: FleetHost | undefined, model: string) => {
  const answer = await fetch(`http://${host?.address ?? ''}/v1/work`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${TOKENS['crew-one']}`,
      'x-deadline-ms': DEADLINE_MS,
    },
    body: JSON.stringify({
      model,
      messages: [{role: 'user', content: 'review the month'}],
      max_tokens: 20,
    }),
  });
  return {status: answer.status, body: (await answer.json()) as WorkAnswer};
};

const query = async (
  host: FleetHost | undefined,
  requestId: string,
  token = TOKENS['crew-one'],
) => {
  const url = `http://${host?.address ?? ''}/v1/work/${requestId}`;
  const headers = {authorization: `Bearer ${token}`};
  const answer = await fetch(url, {headers});
  return {status: answer.status, body: (await answer.json()) as WorkAnswer};
};

test.serial('work is accepted, done, and shown to its member', async (t) => {
  const fleet = await TestFleet.start(2);
  t.teardown(() => {
    fleet.close();
  });
  await fleet.applyAdapters(['voyage']);
  const [one, two] = fleet.hosts;
  const submitted = await submit(one, 'voyage');
  t.is(submitted.status, 202, JSON.stringify(submitted.body));
  const {requestId} = submitted.body;
  await waitFor(
    async () => (await query(two, requestId)).body.status === 'done',
  );
  const done = await query(two, requestId);
  t.regex(done.body.answer ?? '', /voyage/);
  const other = await query(two, requestId, TOKENS['crew-two']);
  const absent = await query(two, 'no-such-work');
  t.is(other.status, 404);
  t.is(other.body.error?.code, absent.body.error?.code);
});

test.serial('work is refused while it cannot be stored', async (t) => {
  const fleet = await TestFleet.start(1);
  t.teardown(() => {
    fleet.close();
  });
  await fleet.applyAdapters(['voyage']);
  const [host] = fleet.hosts;
  fleet.platform.objectStore.setFaults({outage: true});
  const refused = await submit(host, 'voyage');
  t.is(refused.status, 503);
  t.like(refused.body.error, {code: 'store-unavailable', notRun: true});
  const unknown = await submit(host, 'no-such-adapter');
  t.is(unknown.body.error?.code, 'unknown-adapter');
});
