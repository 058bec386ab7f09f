import type {Server} from '@basilworks/dispatch';
import test from 'ava';

import {StreamContinuation} from '../../front/stream-continuation.js';
import {NO_STREAM_GUARD} from '../../streams/index.js';
import {createHost, SERVICE} from './host-with-streams.js';
import {StreamFleet} from './stream-fleet.js';

const serverOf = (softwareVersion: string): Server =>
  ({entry: {service: SERVICE, softwareVersion}}) as unknown as Server;

/** A stream that is taken up at a host that knows version v1 only. */
const takeUpAtOneVersion = async () => {
  const host = createHost(1_000);
  const continuation = new StreamContinuation(host.streams, {
    service: SERVICE,
    requestId: 'r2',
    resumes: 'r1',
    takesUp: true,
  });
  const found = await continuation.find();
  return {...host, continuation, found};
};

// Guards against streams with events of two software versions: a request that
// took up a stream while there was one version was sent again, after its server
// was lost, to a version that had joined in the meantime.
test('a stream taken up at the sole version stays there when another one joins', async (t) => {
  const {world, continuation, found, readStore, fleet} =
    await takeUpAtOneVersion();
  t.true(found);
  t.true(continuation.allows(serverOf('v1')));
  world.recorded = ['v1', 'v2'];
  world.serving = ['v1', 'v2'];
  readStore();
  t.false(continuation.allows(serverOf('v2')));
  t.true(continuation.allows(serverOf('v1')));
  fleet.close();
});

// The old version may be gone altogether by the next send.
test('a stream taken up at the sole version never goes on at its successor', async (t) => {
  const {world, continuation, readStore, fleet} = await takeUpAtOneVersion();
  world.recorded = ['v2'];
  world.serving = ['v2'];
  readStore();
  t.false(continuation.allows(serverOf('v2')));
  fleet.close();
});

// Guards against streams that can't be taken up a second time: the host at which
// they went on has to know their version, as the one that began them may be gone.
test('a host remembers a stream that went on there', async (t) => {
  const {world, streams, continuation, readStore, fleet} =
    await takeUpAtOneVersion();
  continuation.recordEvent(serverOf('v1'));
  world.recorded = ['v1', 'v2'];
  world.serving = ['v1', 'v2'];
  readStore();
  t.is(streams.answer(SERVICE, 'r1').softwareVersion, 'v1');
  fleet.close();
});

test('a host remembers a stream of a keeper that went on there', async (t) => {
  const {world, streams, readStore, fleet} = createHost(1_000);
  world.recorded = ['v1', 'v2'];
  world.serving = ['v1', 'v2'];
  readStore();
  const continuation = new StreamContinuation(streams, {
    service: SERVICE,
    requestId: 'r2',
    resumes: 'r1',
    takesUp: true,
  });
  t.true(await continuation.find());
  continuation.recordEvent(serverOf('v2'));
  t.is(streams.answer(SERVICE, 'r1').softwareVersion, 'v2');
  fleet.close();
});

// Guards against requests that are held until they time out, and keep their host
// busy: too few hosts could confirm a stream, and the same server was chosen
// again and again.
test('a version at which a stream can not begin is not chosen again', async (t) => {
  const fleet = new StreamFleet(3);
  await fleet.start('v1');
  fleet.addServers('v2');
  await fleet.pass(5_000);
  fleet.kill('h1');
  await fleet.pass(5_000);
  const {streams = NO_STREAM_GUARD} = fleet.fleet.host('h0');
  const continuation = new StreamContinuation(streams, {
    service: SERVICE,
    requestId: 'r1',
    resumes: undefined,
    takesUp: false,
  });
  t.true(continuation.allows(serverOf('v2')));
  const mayBegin = continuation.announce(serverOf('v2'));
  await fleet.pass(400);
  t.false(await mayBegin);
  t.false(continuation.allows(serverOf('v2')));
  t.true(continuation.allows(serverOf('v1')));
  const mayBeginAtDefault = continuation.announce(serverOf('v1'));
  await fleet.pass(400);
  t.true(await mayBeginAtDefault);
  fleet.close();
});
