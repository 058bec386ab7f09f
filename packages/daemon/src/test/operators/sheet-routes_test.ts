import type {SheetAnswer} from '@basilworks/protocol';
import test from 'ava';
import {fetch} from 'undici';

import {OPERATOR_TOKEN, TestFleet, TOKENS, type FleetHost} from '../fleet.js';

const SHEET = [
  'adapter,base_model,version,urgency,priority,service,retire',
  'tug,marine-8b,v1,50,standard,assistant-models,no',
].join('\n');

const post = async (
  host: FleetHost | undefined,
  path: string,
  body: unknown,
  token = OPERATOR_TOKEN,
) => {
  const answer = await fetch(`http://${host?.address ?? ''}${path}`, {
    method: 'POST',
    headers: {authorization: `Bearer ${token}`},
    body: JSON.stringify(body),
  });
  return {status: answer.status, body: (await answer.json()) as SheetAnswer};
};

test.serial('a sheet is compared, applied and then unchanged', async (t) => {
  const fleet = await TestFleet.start(1);
  t.teardown(() => {
    fleet.close();
  });
  const [host] = fleet.hosts;
  const path = '/operator/v1/sheet';
  const invalid = await post(host, path, {text: 'adapter\n'});
  t.is(invalid.status, 422);
  const difference = await post(host, path, {text: SHEET, dryRun: true});
  t.is(difference.body.result.kind, 'difference');
  const applied = await post(host, path, {text: SHEET});
  t.is(applied.body.result.kind, 'applied');
  const again = await post(host, path, {text: SHEET});
  t.is(again.body.result.kind, 'unchanged');
  const member = await post(host, path, {text: SHEET}, TOKENS['crew-one']);
  t.is(member.status, 401);
  const malformed = await post(host, path, {});
  t.is(malformed.status, 400);
});

test.serial('a key rotation is a revision of its own', async (t) => {
  const fleet = await TestFleet.start(1);
  t.teardown(() => {
    fleet.close();
  });
  const [host] = fleet.hosts;
  await post(host, '/operator/v1/sheet', {text: SHEET});
  const rotated = await post(host, '/operator/v1/keys', {});
  t.is(rotated.body.result.kind, 'applied', JSON.stringify(rotated.body));
});
