import {
  adaptersViewSchema,
  auditViewSchema,
  decisionsViewSchema,
  drainAnswerSchema,
  historyViewSchema,
  hostsViewSchema,
  loadsViewSchema,
  OPERATOR_PATHS,
  serversViewSchema,
} from '@basilworks/protocol';
import test from 'ava';
import {fetch} from 'undici';

import {
  OPERATOR_TOKEN,
  TestFleet,
  TOKENS,
  waitFor,
  type FleetHost,
} from '../fleet.js';

const ask = async (
  host: FleetHost | undefined,
  path: string,
  method = 'GET',
  token = OPERATOR_TOKEN,
) => {
  const answer = await fetch(`http://${host?.address ?? ''}${path}`, {
    method,
    headers: {authorization: `Bearer ${token}`},
  });
  return {status: answer.status, body: await answer.json()};
};

/** The servers that hosts say they own. */
const ownedServers = async (fleet: TestFleet) => {
  const views = await Promise.all(
    fleet.hosts.map((host) => ask(host, OPERATOR_PATHS.servers)),
  );
  return views
    .flatMap(({body}) => serversViewSchema.parse(body).servers)
    .filter(({owned}) => owned !== undefined);
};

test.serial('operators see what any host knows, members do not', async (t) => {
  const fleet = await TestFleet.start(2);
  t.teardown(() => {
    fleet.close();
  });
  await fleet.applyAdapters(['tug']);
  const [one, two] = fleet.hosts;
  const answer = await fleet.post(one, {
    model: 'tug@v1',
    messages: [{role: 'user', content: 'signal?'}],
    max_tokens: 5,
  });
  await answer.text();
  const requestId = answer.headers.get('x-request-id') ?? '';

  const hosts = hostsViewSchema.parse(
    (await ask(one, '/operator/v1/hosts')).body,
  );
  t.deepEqual(
    hosts.hosts.map(({host}) => host),
    ['entry-1', 'entry-2'],
  );
  const adapters = await ask(two, OPERATOR_PATHS.adapters);
  t.is(adaptersViewSchema.parse(adapters.body).adapters[0]?.adapter, 'tug');
  // The server that runs nothing may be claimed a little later.
  await waitFor(async () => (await ownedServers(fleet)).length === 2);
  const owned = await ownedServers(fleet);
  for (const host of fleet.hosts) {
    loadsViewSchema.parse((await ask(host, OPERATOR_PATHS.loads)).body);
  }
  t.is(owned.length, 2);
  t.true(
    owned.some(({owned: slots}) =>
      slots?.slotsInUse.some(({adapter}) => adapter === 'tug'),
    ),
  );
  const history = await ask(two, OPERATOR_PATHS.history);
  const {revisions} = historyViewSchema.parse(history.body);
  t.true(revisions.some(({operator}) => operator === 'planner'));
  const audit = await ask(one, OPERATOR_PATHS.audit);
  t.true(auditViewSchema.parse(audit.body).entries.length > 0);
  const decisions = [];
  for (const host of fleet.hosts) {
    const path = `${OPERATOR_PATHS.explain}/request/${requestId}`;
    const view = await ask(host, path);
    decisions.push(...decisionsViewSchema.parse(view.body).decisions);
  }
  t.true(decisions.length > 0);
  const member = await ask(
    one,
    OPERATOR_PATHS.servers,
    'GET',
    TOKENS['crew-one'],
  );
  t.is(member.status, 401);
});

test.serial('a drained host owns no server and stays up', async (t) => {
  const fleet = await TestFleet.start(2);
  t.teardown(() => {
    fleet.close();
  });
  await fleet.applyAdapters(['tug']);
  const [one] = fleet.hosts;
  const drained = await ask(one, OPERATOR_PATHS.drain, 'POST');
  t.is(drainAnswerSchema.parse(drained.body).standing, 'draining');
  await waitFor(async () => {
    const view = await ask(one, OPERATOR_PATHS.hosts);
    return hostsViewSchema.parse(view.body).ownedServers === 0;
  });
});
