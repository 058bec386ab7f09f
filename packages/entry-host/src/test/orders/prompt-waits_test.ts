import {
  type AdapterSlots,
  type AdapterSlotsEvent,
  PrefillPace,
  type PrepareAnswer,
  type PrepareRequest,
  type Server,
} from '@basilworks/dispatch';
import test from 'ava';

import type {ClaimManager} from '../../orders/index.js';
import {OrderIssuer} from '../../orders/order-issuer.js';
import type {SendPermits} from '../../permits/index.js';
import type {ServerCaller} from '../../upstream/index.js';
import {FleetSimulation} from '../views/fleet-simulation.js';

const LIMIT = {limitMs: 100, targetMs: 125};

/**
 * Slots in which every adapter is resident, at once or when `woken` is posted.
 */
const createSlots = (atOnce: boolean): AdapterSlots => {
  const waiting: string[] = [];
  const slots = {
    reduce: (event: AdapterSlotsEvent) => {
      if (event.type === 'prepare-requested') {
        waiting.push(event.request.requestId);
      }
      return atOnce || event.type === 'woken'
        ? waiting.splice(0).map((requestId) => ({
            type: 'answer-prepare',
            requestId,
            answer: {outcome: 'resident', version: 1, validMs: 30},
          }))
        : [];
    },
    isResident: () => true,
    usage: () => ({}),
  };
  return slots as unknown as AdapterSlots;
};

/** Collaborators for orders, which these tests don't issue. */
const UNUSED: unknown = undefined;

const PERMITS = {capacity: () => undefined} as unknown as SendPermits;

/** An issuer that limits prompts to 100 ms, or 2,000 tokens, at a time. */
const startIssuer = (slots = createSlots(true)) => {
  const fleet = new FleetSimulation(1);
  fleet.putServer('s');
  const {context} = fleet.startHost('h0');
  const at = context.clock.now();
  const server = {
    key: 's',
    entry: {id: 's', service: 'service', slots: 64, models: []},
    health: {speed: {longTermSlowdown: 1}},
    notices: {leaving: false, pauseLeftMs: () => 0},
  } as unknown as Server;
  const pace = new PrefillPace();
  pace.adopt(LIMIT, at);
  const issuer = new OrderIssuer(
    context,
    UNUSED as ClaimManager,
    UNUSED as ServerCaller,
    PERMITS,
    server,
    slots,
    pace,
  );
  const answers = new Map<string, PrepareAnswer>();
  const prepare = (
    requestId: string,
    promptTokens: number,
    overrides: Partial<PrepareRequest> = {},
    signal = new AbortController().signal,
  ) => {
    const request: PrepareRequest = {
      requestId,
      host: 'h0',
      model: 'base',
      adapter: 'a1',
      version: 1,
      maximumWaitMs: 2_000,
      onTimeWithinMs: 800,
      priority: 0,
      uses: 0,
      among: 1,
      inFlight: 0,
      takesCrowded: false,
      promptTokens,
      ...overrides,
    };
    void issuer.prepare(request, signal).then((answer) => {
      answers.set(requestId, answer);
    });
  };
  const advance = (ms: number) => fleet.time.advance(fleet.time.nowMs + ms);
  return {issuer, prepare, answers, advance, fleet};
};

test('prompts beyond the limit wait for the first event of earlier ones', async (t) => {
  const {issuer, prepare, answers, advance, fleet} = startIssuer();
  prepare('first', 1_800);
  prepare('second', 1_800);
  await advance(20);
  t.deepEqual([...answers.keys()], ['first']);
  t.like(answers.get('first'), {promptWaitMs: 0, prefillLimit: LIMIT});
  issuer.recordPrefilled('first', 100);
  await advance(20);
  t.deepEqual([...answers.keys()], ['first', 'second']);
  t.true((answers.get('second')?.promptWaitMs ?? 0) >= 30);
  fleet.close();
});

test('requests without a target for event gaps do not wait', async (t) => {
  const {prepare, answers, advance, fleet} = startIssuer();
  prepare('stream', 50_000);
  prepare('other', 0);
  await advance(1);
  t.deepEqual([...answers.keys()], ['stream', 'other']);
  fleet.close();
});

test('a prompt that would wait too long is refused at once', async (t) => {
  const {prepare, answers, advance, fleet} = startIssuer();
  for (let index = 0; index < 20; index += 1) {
    prepare(`earlier-${index}`, 1_800, {takesCrowded: true});
  }
  prepare('asks-others', 1_800);
  prepare('asked-all', 1_800, {takesCrowded: true, maximumWaitMs: 1_000});
  await advance(1);
  for (const id of ['asks-others', 'asked-all']) {
    const answer = answers.get(id);
    t.like(answer, {outcome: 'refused', reason: 'prompts-waiting'});
    t.true(
      answer?.outcome === 'refused' && answer.retryAfterMs > 1_000,
      'told when to come back',
    );
  }
  fleet.close();
});

// The host would take its issuer for unresponsive, and pass over all servers that
// it issues orders for.
test('a prompt waits no longer than its host waits for an answer', async (t) => {
  const {issuer, prepare, answers, advance, fleet} = startIssuer(
    createSlots(false),
  );
  prepare('first', 1_800);
  prepare('second', 1_800, {maximumWaitMs: 150});
  await advance(100);
  issuer.post({type: 'woken'});
  await advance(49);
  t.deepEqual([...answers.keys()], ['first']);
  await advance(2);
  t.like(answers.get('second'), {outcome: 'resident'});
  fleet.close();
});

// Its host has a reference on the adapter by then, which it must learn of to
// release it.
test('a waiting prompt whose caller leaves is answered at once', async (t) => {
  const {issuer, prepare, answers, advance, fleet} = startIssuer();
  const caller = new AbortController();
  prepare('first', 1_800);
  prepare('left', 1_800, {}, caller.signal);
  prepare('third', 1_800);
  await advance(1);
  caller.abort();
  await advance(1);
  t.like(answers.get('left'), {outcome: 'resident'});
  t.false(answers.has('third'));
  issuer.recordPrefilled('first', 90);
  await advance(20);
  t.true(answers.has('third'));
  fleet.close();
});

test('no prompt waits for a host or a server that is lost', async (t) => {
  const {issuer, prepare, answers, advance, fleet} = startIssuer();
  prepare('of-a-lost-host', 1_800);
  prepare('second', 1_800);
  await advance(400);
  t.true(answers.has('second'), 'the lost prompt stops to count');
  prepare('third', 1_800);
  await advance(1);
  t.false(answers.has('third'));
  issuer.close();
  await advance(1);
  t.true(answers.has('third'));
  fleet.close();
});
