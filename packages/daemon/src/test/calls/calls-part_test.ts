import test from 'ava';
import {fetch} from 'undici';

import {TestFleet, TOKENS, type FleetHost} from '../fleet.js';

interface CallOptions {
  readonly operation?: string;
  readonly key?: string;
  readonly body?: string;
  readonly token?: string;
}

const call = async (
  host: FleetHost | undefined,
  {operation = 'top-up', key, body = 'berth 7: 40 USD', token}: CallOptions,
) => {
  const url = `http://${host?.address ?? ''}/v1/services/billing-desk/${operation}`;
  const answer = await fetch(url, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${token ?? TOKENS['crew-one']}`,
      ...(key === undefined ? {} : {'idempotency-key': key}),
    },
    body,
  });
  const text = await answer.text();
  const {error} = JSON.parse(text) as {
    error?: {code: string; notRun: boolean};
  };
  return {
    status: answer.status,
    replayed: answer.headers.get('x-replayed'),
    text,
    error,
  };
};

const startFleet = (hosts: number): Promise<TestFleet> =>
  TestFleet.start(hosts, {
    pools: [{pool: 'billing-desk', kind: 'plain', servers: 2}],
  });

const runsOf = (fleet: TestFleet): number =>
  [...fleet.platform.plainServices.values()]
    .flatMap((service) => service.history())
    .reduce((sum, {runs}) => sum + runs, 0);

test.serial('a repeat at another host gets the first answer', async (t) => {
  const fleet = await startFleet(2);
  t.teardown(() => {
    fleet.close();
  });
  const [one, two] = fleet.hosts;
  const writesBefore = fleet.platform.objectStore.counts.create;
  const first = await call(one, {key: 'k1'});
  const repeat = await call(one, {key: 'k1'});
  const elsewhere = await call(two, {key: 'k1'});
  t.is(first.status, 200, first.text);
  t.is(first.replayed, 'false');
  t.is(repeat.text, first.text);
  t.is(elsewhere.replayed, 'true');
  t.is(elsewhere.text, first.text);
  t.is(runsOf(fleet), 1);
  const created = fleet.platform.objectStore.counts.create - writesBefore;
  t.true(created >= 1);
  const reused = await call(two, {key: 'k1', body: 'berth 8'});
  t.is(reused.error?.code, 'idempotency-key-reused');
  const other = await call(two, {key: 'k1', token: TOKENS['crew-two']});
  t.is(other.replayed, 'false');
  t.is(runsOf(fleet), 2);
});

test.serial('faults give typed answers and run nothing twice', async (t) => {
  const fleet = await startFleet(2);
  t.teardown(() => {
    fleet.close();
  });
  const [one, two] = fleet.hosts;
  const {objectStore, plainServices} = fleet.platform;

  const withoutKey = await call(one, {});
  t.like(withoutKey.error, {code: 'idempotency-key-missing', notRun: true});
  const undeclared = await call(one, {operation: 'suspend', key: 'k0'});
  t.like(undeclared.error, {code: 'unknown-service', notRun: true});
  const nobody = await call(one, {key: 'k0', token: 'wrong'});
  t.is(nobody.error?.code, 'unauthenticated');
  t.is(runsOf(fleet), 0);

  objectStore.setFaults({outage: true});
  const down = await call(one, {key: 'k2'});
  t.like(down.error, {code: 'store-unavailable', notRun: true});
  t.is((await call(one, {operation: 'balance'})).status, 200);
  objectStore.setFaults({outage: false});
  t.is(runsOf(fleet), 1);

  for (const service of plainServices.values()) {
    service.setFaults({lostAnswerProbability: 1});
  }
  const lost = await call(one, {key: 'k3', body: 'lost'});
  t.like(lost.error, {code: 'outcome-unknown', notRun: false});
  for (const service of plainServices.values()) {
    service.setFaults({lostAnswerProbability: 0});
  }
  const repeat = await call(two, {key: 'k3', body: 'lost'});
  t.true(['outcome-unknown', 'in-progress'].includes(repeat.error?.code ?? ''));
  t.false(repeat.error?.notRun);
  t.is(runsOf(fleet), 2);
});
