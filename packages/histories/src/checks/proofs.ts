import {
  type CoreEvent,
  coreSettingsSchema,
  type CoreState,
  createState,
  type Effect,
  type HostList,
  type Instant,
  mayAct,
  reduce,
} from '@basilworks/core';

import {sampleServers} from '../fleet/sample-servers.js';
import type {Violation} from './violation.js';

/** Milliseconds for which a read of the claims is a proof. */
const VALIDITY_MS = 5_000;

/** Milliseconds between the start of the read and its answer. */
const READ_MS = 3_000;

/**
 * A claim is acted on for exactly the validity from the start of the newest
 * read, whether this host or a peer made it.
 */
export const checkProofs = (): readonly Violation[] => {
  const own = ownReadValidUntil();
  const relayed = relayedReadValidUntil();
  return [...check('own read', own), ...check('read of a peer', relayed)];
};

const check = (name: string, validForMs: number): readonly Violation[] =>
  validForMs === VALIDITY_MS
    ? []
    : [
        {
          promise: 'two-senders',
          atMs: 0,
          detail: `${name} is a proof for ${validForMs} ms`,
        },
      ];

/** An owner's reducer, driven event by event. */
interface Owner {
  readonly state: CoreState;
  nowMs: number;
}

const SERVER = 'engine-0';

const instant = (ms: number): Instant => ({monotonicMs: ms, wallMs: ms});

const handle = (owner: Owner, event: CoreEvent): readonly Effect[] =>
  reduce(owner.state, event, instant(owner.nowMs)).effects;

/** Returns how long after its start an answered read proves the claim. */
const ownReadValidUntil = (): number => {
  const owner = startOwner();
  const startMs = owner.nowMs;
  const [read] = readsOfClaims(fireRefresh(owner));
  owner.nowMs += READ_MS;
  if (read !== undefined) {
    answerStore(owner, read, {type: 'unchanged'}, startMs);
  }
  return actsUntil(owner) - startMs;
};

const relayedReadValidUntil = (): number => {
  const owner = startOwner();
  fireRefresh(owner);
  const hostList = listOf(2, ['host-0', 'host-1']);
  handle(owner, {type: 'host-list-read', hostList});
  const startMs = owner.nowMs;
  const asks = fireRefresh(owner).flatMap((effect) =>
    effect.type === 'send-peer-message' &&
    effect.message.type === 'platform-state-asked'
      ? [effect.message]
      : [],
  );
  owner.nowMs += ANSWER_MS;
  for (const {ask, records} of asks) {
    handle(owner, {
      type: 'peer-message',
      from: 'host-1',
      fromIncarnation: 'host-1#1',
      message: {
        type: 'platform-state-answered',
        ask,
        records: records.map((record) => ({...record, ageMs: READ_MS})),
        revision: 0,
        silent: [],
      },
    });
  }
  return actsUntil(owner) - (startMs - READ_MS);
};

/** Milliseconds between an ask and its answer. */
const ANSWER_MS = 500;

/** Milliseconds between the last proof and the read under test. */
const IDLE_MS = 4_000;

/** Starts a host that owns one engine and whose last proof is old. */
const startOwner = (): Owner => {
  const settings = coreSettingsSchema.parse({
    host: 'host-0',
    zone: 'zone-0',
    peerAddress: '127.0.0.1:5000',
    callerAddress: '127.0.0.1:6000',
  });
  const identity = {incarnation: 'host-0#1', seed: 1};
  const owner = {state: createState(settings, identity), nowMs: 10_000};
  const started = handle(owner, {type: 'started'});
  handle(owner, {type: 'host-list-read', hostList: listOf(1, ['host-0'])});
  for (const read of readsOfClaims(started)) {
    answerStore(owner, read, {type: 'missing'}, owner.nowMs);
  }
  const reviewed = handle(owner, {
    type: 'timer-fired',
    area: 'ownership',
    timer: 'review',
  });
  for (const effect of reviewed) {
    if (effect.type === 'store-request' && effect.area === 'ownership') {
      answerStore(owner, effect, {type: 'written', version: 1}, owner.nowMs);
    }
  }
  owner.nowMs += IDLE_MS;
  return owner;
};

type StoreRequest = Extract<Effect, {readonly type: 'store-request'}>;
type StoreResponded = Extract<CoreEvent, {readonly type: 'store-responded'}>;

const fireRefresh = (owner: Owner): readonly Effect[] =>
  handle(owner, {type: 'timer-fired', area: 'membership', timer: 'refresh'});

const readsOfClaims = (effects: readonly Effect[]): readonly StoreRequest[] =>
  effects.filter(
    (effect): effect is StoreRequest =>
      effect.type === 'store-request' && effect.operation.kind === 'zone',
  );

const answerStore = (
  owner: Owner,
  {area, correlation}: StoreRequest,
  result: StoreResponded['result'],
  sentMs: number,
): void => {
  handle(owner, {
    type: 'store-responded',
    area,
    correlation,
    result,
    sentAt: instant(sentMs),
  });
};

const listOf = (version: number, hosts: readonly string[]): HostList => ({
  version,
  entryHosts: hosts.map((host) => ({
    host,
    zone: 'zone-0',
    peerAddress: '127.0.0.1:5000',
    callerAddress: '127.0.0.1:6000',
    state: 'live',
  })),
  servers: [...sampleServers(1, 1, () => false)],
});

/** The first millisecond at which the owner must not act any more. */
const actsUntil = ({state, nowMs}: Owner): number => {
  let untilMs = nowMs;
  while (
    mayAct(state, SERVER, instant(untilMs)) &&
    untilMs < nowMs + 2 * VALIDITY_MS
  ) {
    untilMs += 1;
  }
  return untilMs;
};
