import {ServerHealth, ServerNotices, type Server} from '@basilworks/dispatch';
import test from 'ava';

import {
  CrashDetector,
  type ServerCrash,
  type ServerIdentity,
} from '../../crashes/index.js';
import type {ProbeResult} from '../../upstream/index.js';
import {FleetSimulation, serverEntry} from '../views/fleet-simulation.js';

const AFTERWARDS_MS = 3_000;

const createServer = (leaving = false): Server => ({
  key: 'server',
  entry: {...serverEntry('server'), leaving},
  revision: 1,
  health: new ServerHealth(),
  notices: new ServerNotices(),
  outageEndedAt: undefined,
});

/** A detector and the results of its connection attempts, the last repeated. */
const createDetector = (...results: ProbeResult[]) =>
  createIdentifyingDetector('unknown', ...results);

/** A detector and who answers at the addresses of servers. */
const createIdentifyingDetector = (
  identity: ServerIdentity,
  ...results: ProbeResult[]
) => {
  const fleet = new FleetSimulation(1);
  const {context} = fleet.startHost('h0');
  const crashes: ServerCrash[] = [];
  const completed: string[] = [];
  const detector = new CrashDetector(
    context,
    {
      crashed: (crash) => crashes.push(crash),
      completed: ({requestId}) => completed.push(requestId),
    },
    () => {
      const [first = 'open'] = results;
      if (results.length > 1) {
        results.shift();
      }
      return Promise.resolve(first);
    },
    () => Promise.resolve(identity),
  );
  const {clock} = context;
  const send = (requestId: string) => ({
    requestId,
    keys: ['part/a'],
    sentAt: clock.now(),
  });
  const finish = async () => {
    await fleet.time.advance(fleet.time.nowMs + AFTERWARDS_MS);
    fleet.close();
    const lost = crashes.map(({sends}) => sends.map(({requestId: id}) => id));
    return {lost, completed};
  };
  return {detector, send, finish, time: fleet.time, context};
};

test('a server that refuses connections after it interrupted sends has crashed', async (t) => {
  const {detector, send, finish} = createDetector('refused');
  const server = createServer();
  detector.recordInterrupted(server, send('1'));
  detector.recordInterrupted(server, send('2'));
  t.deepEqual(await finish(), {lost: [['1', '2']], completed: []});
});

// Guards against blaming requests for connections that were reset, links that
// were cut and servers that ended as planned.
for (const [result, leaving] of [
  ['open', false],
  ['silent', false],
  ['refused', true],
] as const) {
  test(`an interrupted send is no crash: ${result}${leaving ? ', leaving' : ''}`, async (t) => {
    const {detector, send, finish} = createDetector(result);
    detector.recordInterrupted(createServer(leaving), send('1'));
    t.deepEqual((await finish()).lost, []);
  });
}

// Guards against taking the end of a crashed process for the end of an answer
// that has neither a length nor chunks.
test('an answer that ends with its connection is lost if its server crashed', async (t) => {
  const {detector, send, finish} = createDetector('open');
  const server = createServer();
  detector.recordClosed(server, send('1'));
  detector.recordUnreachable(server);
  t.deepEqual(await finish(), {lost: [['1']], completed: []});
});

test('an answer that ends with its connection is complete otherwise', async (t) => {
  const {detector, send, finish} = createDetector('open');
  detector.recordClosed(createServer(), send('1'));
  t.deepEqual(await finish(), {lost: [], completed: ['1']});
});

// Guards against a crash that is missed because a connection of the server was
// reset shortly before.
test('a crash after a reset connection is detected', async (t) => {
  const {detector, send, finish, time} = createDetector(
    'open',
    'open',
    'refused',
  );
  const server = createServer();
  detector.recordInterrupted(server, send('1'));
  await time.advance(time.nowMs + 1_000);
  detector.recordInterrupted(server, send('2'));
  t.deepEqual((await finish()).lost, [['1', '2']]);
});

// Guards against an unfinished answer that looks complete: the end of a crashed
// process closes its connections as the end of an answer does.
for (const [result, evidence] of [
  ['open', 'open'],
  ['refused', 'gone'],
  ['closed', 'gone'],
  // A machine that is off or cut off closes nothing in order.
  ['silent', 'silent'],
] as const) {
  test(`what a closed connection shows of its server, then ${result}: ${evidence}`, async (t) => {
    const {detector, finish} = createDetector(result);
    const server = createServer();
    const answers = [detector.checkClose(server), detector.checkClose(server)];
    await finish();
    t.deepEqual(await Promise.all(answers), [evidence, evidence]);
  });
}

// Guards against a stream that looks complete as its server crashed and is back,
// and against blaming a server for an older entry at its address, as another
// writer or a restored store may show.
for (const [start, startedAtWallMs, evidence] of [
  ['a later', 2_000, 'gone'],
  ['an earlier', 1, 'open'],
] as const) {
  test(`${start} start at the address of a server shows that it is ${evidence}`, async (t) => {
    const {detector, finish, context} = createDetector('open');
    const server = createServer();
    const entry = {...server.entry, startedAtWallMs: 1_000};
    const other = {...entry, id: 'other', startedAtWallMs};
    context.servers.update(
      [{entry: other, revision: 1}],
      undefined,
      context.clock.now(),
    );
    const answer = detector.checkClose({...server, entry});
    await finish();
    t.is(await answer, evidence);
  });
}

// Guards against a stream that looks complete as its server crashed and is back,
// while this host stood still and no entry tells of the new start yet.
for (const [identity, evidence] of [
  ['other', 'gone'],
  ['same', 'open'],
  ['unknown', 'open'],
] as const) {
  test(`a server at whose address the answer is from the ${identity} one is ${evidence}`, async (t) => {
    const {detector, finish} = createIdentifyingDetector(identity, 'open');
    const answer = detector.checkClose(createServer());
    await finish();
    t.is(await answer, evidence);
  });
}
