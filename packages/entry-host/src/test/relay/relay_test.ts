import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  Socket,
} from 'node:net';

import {TimerService} from '@basilworks/daemon';
import {type HostEntry, ServerPaths, ServerTable} from '@basilworks/dispatch';
import test, {type ExecutionContext} from 'ava';

import type {EntryHostContext} from '../../context.js';
import {RelayListener, RelaySessions, ServerDialer} from '../../relay/index.js';
import {
  type ConnectSocket,
  type Dial,
  UpstreamError,
  UpstreamPool,
} from '../../upstream/index.js';
import {AVAILABLE_BYTES, usedBytes} from '../lib/memory.js';
import {FleetSimulation, serverEntry} from '../views/fleet-simulation.js';

/** As many connections as a peer relays, and those that are opened at once. */
const RELAYED = 256;
const RELAYED_AT_ONCE = 16;

const NOBODY: ConnectSocket = () => new Socket();
const REFUSED: ConnectSocket = () =>
  new Socket().destroy(
    Object.assign(new Error('refused'), {code: 'ECONNREFUSED'}),
  );

/** How a peer that does not reach a server fails to connect to it. */
type FailedDial = 'refused' | 'silent';

const failingDial =
  (failed: FailedDial): (() => Dial) =>
  () =>
  (observer) => {
    const refused = failed === 'refused';
    const timer = setTimeout(
      () => {
        const reason = refused ? 'unreachable' : 'connect-timeout';
        observer.failed({reason, detail: failed, refused});
      },
      refused ? 0 : 200,
    );
    return () => {
      clearTimeout(timer);
    };
  };

/** Finds a free port for a peer. */
const freeRelayAddress = async (): Promise<readonly [string, number]> => {
  const probe = createServer();
  await listen(probe);
  const {port} = probe.address() as AddressInfo;
  await new Promise((resolve) => probe.close(resolve));
  return [`127.0.0.1:${port}`, port];
};

/**
 * A server, a peer that relays to it, others that do not reach it, and the pool
 * of a host that is cut.
 */
const startWorld = async (
  t: ExecutionContext,
  answer: (socket: Socket) => void,
  connectSocket: ConnectSocket = NOBODY,
  unable: readonly FailedDial[] = [],
  extra: Partial<HostEntry> = {},
) => {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      answer(socket);
    });
  });
  await listen(server);
  const {port} = server.address() as AddressInfo;
  const fleet = new FleetSimulation(1);
  const {context: simulated} = fleet.startHost('h0');
  const timers = new TimerService();
  const servers = new ServerTable();
  const entry = {...serverEntry('s'), host: '127.0.0.1', port};
  const at = simulated.clock.now();
  servers.update([{entry, revision: 1}], undefined, at);
  const [relayAddress, relayPort] = await freeRelayAddress();
  const peer = {...simulated.membership.self(), host: 'peer', relayAddress};
  const unablePeers = await Promise.all(
    unable.map(async (failed, index) => {
      const [address, ownPort] = await freeRelayAddress();
      return {
        dial: failingDial(failed),
        port: ownPort,
        entry: {...peer, host: `cut-${index}`, relayAddress: address, ...extra},
      };
    }),
  );
  const context = {
    ...simulated,
    timers,
    servers,
    // Peers are asked in the order of the list.
    random: () => 0,
    membership: {
      live: () => [
        simulated.membership.self(),
        ...unablePeers.map(({entry: unableEntry}) => unableEntry),
        peer,
      ],
    },
  } as unknown as EntryHostContext;
  const unableListeners = unablePeers.map(
    ({dial}) => new RelayListener({...context, paths: new ServerPaths()}, dial),
  );
  for (const [index, unableListener] of unableListeners.entries()) {
    const ownPort = unablePeers[index]?.port ?? 0;
    (await unableListener.listen('127.0.0.1', ownPort))._unsafeUnwrap();
  }
  const listener = new RelayListener({...context, paths: new ServerPaths()});
  (await listener.listen('127.0.0.1', relayPort))._unsafeUnwrap();
  const sessions = new RelaySessions(timers, simulated.clock);
  const dialer = new ServerDialer(context, sessions, connectSocket);
  const [known] = servers.all();
  if (known === undefined) {
    throw new Error('the table has no server');
  }
  const pool = new UpstreamPool(
    dialer.dialsFor(known),
    'x-id',
    () => undefined,
  );
  t.teardown(() => {
    pool.close();
    sessions.close();
    listener.close();
    for (const unableListener of unableListeners) {
      unableListener.close();
    }
    server.close();
    timers.close();
    fleet.close();
  });
  return {pool, listener, server, dialer, known, context};
};

const listen = (server: Server): Promise<void> =>
  new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });

const send = (
  pool: UpstreamPool,
  onData: () => void = () => undefined,
  directOnly = false,
): Promise<string | UpstreamError> =>
  new Promise((resolve) => {
    let body = '';
    const handle = pool.start(
      {
        method: 'GET',
        head: 'GET / HTTP/1.1\r\nHost: h\r\n\r\n',
        body: Buffer.alloc(0),
        requestId: 'r',
        directOnly,
      },
      4,
      {
        head: () => undefined,
        data: (chunk) => {
          body += chunk.toString();
          onData();
        },
        end: () => {
          resolve(body);
        },
        failed: resolve,
      },
    );
    if (handle instanceof UpstreamError) {
      resolve(handle);
    }
  });

const UNFRAMED = 'HTTP/1.1 200 OK\r\nX-Id: r\r\n\r\nbody';

test('an answer that ends with its connection is complete through a peer', async (t) => {
  const {pool} = await startWorld(t, (socket) => {
    socket.end(UNFRAMED);
  });
  t.is(await send(pool), 'body');
});

// Guards against an answer that looks complete because the peer which relays it
// has ended.
test('an answer that ends with the peer that relays it is not complete', async (t) => {
  const {pool, listener} = await startWorld(t, (socket) => {
    socket.write(UNFRAMED);
  });
  const answer = await send(pool, () => {
    listener.close();
  });
  t.true(answer instanceof UpstreamError && answer.sent);
});

test('an answer that its server resets is not complete through a peer', async (t) => {
  const {pool} = await startWorld(t, (socket) => {
    socket.write(UNFRAMED);
    setTimeout(() => {
      socket.resetAndDestroy();
    }, 50);
  });
  t.true((await send(pool)) instanceof UpstreamError);
});

// Guards against a part of an answer that passes for the whole: the peer finds
// the last bytes and the reset at once, as a busy host does.
test('an answer that is reset as its last bytes are read is not complete through a peer', async (t) => {
  const {pool} = await startWorld(t, (socket) => {
    socket.write(UNFRAMED);
    socket.resetAndDestroy();
  });
  t.true((await send(pool)) instanceof UpstreamError);
});

test('a caller that leaves closes the relayed connection', async (t) => {
  let handleClose: () => void = () => undefined;
  const closed = new Promise<void>((resolve) => {
    handleClose = resolve;
  });
  const {pool} = await startWorld(t, (socket) => {
    socket.write(UNFRAMED);
    socket.on('close', handleClose);
  });
  await send(pool, () => {
    pool.close();
  });
  await closed;
  t.pass();
});

test('orders never go through a peer', async (t) => {
  const {pool} = await startWorld(t, () => {
    t.fail();
  });
  const answer = await send(pool, undefined, true);
  t.true(answer instanceof UpstreamError && !answer.sent);
});

for (const [name, connectSocket] of [
  ['no answer', NOBODY],
  ['a refusal', REFUSED],
] as const) {
  test(`a server that a peer reaches is open, whatever the link shows: ${name}`, async (t) => {
    const world = await startWorld(t, () => undefined, connectSocket);
    t.is(await world.dialer.check(world.known), 'open');
    t.true(world.context.paths.usesRelay(world.known));
  });
}

for (const failed of ['silent', 'refused'] as const) {
  // Guards against a server that is paused, or counted as crashed, because the
  // two peers that were asked first are cut from it as well.
  test(`a server that two peers do not reach either is open: ${failed}`, async (t) => {
    const world = await startWorld(
      t,
      () => undefined,
      failed === 'silent' ? NOBODY : REFUSED,
      [failed, failed],
    );
    t.is(await world.dialer.check(world.known), 'open');
  });
}

// Guards against connections that fail because peers are asked which say that
// they are cut from the server.
test('peers that say that they do not reach a server are not asked', async (t) => {
  const world = await startWorld(
    t,
    () => undefined,
    NOBODY,
    Array.from({length: 9}, () => 'silent' as const),
    {unreachedServers: ['s']},
  );
  t.is(await world.dialer.check(world.known), 'open');
});

test('a server that has ended is refused for peers as well', async (t) => {
  const {dialer, known, server, context} = await startWorld(
    t,
    () => undefined,
    connect,
  );
  await new Promise((resolve) => server.close(resolve));
  t.is(await dialer.check(known), 'closed');
  t.false(context.paths.usesRelay(known));
});

/** Starts a request and reads nothing after the head; false if it fails. */
const openUnread = (pool: UpstreamPool): Promise<boolean> =>
  new Promise((resolve) => {
    const handle = pool.start(
      {
        method: 'GET',
        head: 'GET / HTTP/1.1\r\nHost: h\r\n\r\n',
        body: Buffer.alloc(0),
        requestId: 'r',
      },
      RELAYED,
      {
        head: () => {
          if (!(handle instanceof UpstreamError)) {
            handle.pause();
          }
          resolve(true);
        },
        data: () => undefined,
        end: () => undefined,
        failed: () => {
          resolve(false);
        },
      },
    );
    if (handle instanceof UpstreamError) {
      resolve(false);
    }
  });

/** A server that answers without end, and how much it has written. */
const answerWithoutEnd = () => {
  const piece = Buffer.alloc(65_536, 'x');
  const written = {bytes: 0};
  const answer = (socket: Socket) => {
    socket.write('HTTP/1.1 200 OK\r\nX-Id: r\r\n\r\n');
    const write = () => {
      while (!socket.destroyed) {
        written.bytes += piece.length;
        if (!socket.write(piece)) {
          return;
        }
      }
    };
    socket.on('drain', write);
    write();
  };
  return {written, answer};
};

/** Starts requests that read nothing; returns how many were connected. */
const openAllUnread = async (
  pool: UpstreamPool,
  count: number,
): Promise<number> => {
  const opened = await Promise.all(
    Array.from({length: count}, () => openUnread(pool)),
  );
  return opened.filter(Boolean).length;
};

// Guards against relayed bytes without end that nobody reads: the peer and the
// host that is cut hold the windows of their streams, not what the server sends.
test.serial('unread answers through a peer hold little memory', async (t) => {
  const {written, answer} = answerWithoutEnd();
  const {pool} = await startWorld(t, answer);
  const before = usedBytes();
  let connected = 0;
  while (connected < RELAYED / 2) {
    // A busy machine may miss the time-outs of some connections.
    connected += await openAllUnread(pool, RELAYED - connected);
  }
  // No more is written once all windows and buffers are full.
  for (let earlierBytes = -1; earlierBytes < written.bytes;) {
    earlierBytes = written.bytes;
    await new Promise((resolve) => setTimeout(resolve, 500));
  }
  const heldBytes = usedBytes() - before;
  t.log(`${heldBytes} of ${written.bytes} bytes, ${connected} connections`);
  t.true(heldBytes < AVAILABLE_BYTES);
});

// Guards against connections that nobody reads and that keep others from being
// opened through the same peer.
test.serial('unread answers block no other connection', async (t) => {
  const {answer} = answerWithoutEnd();
  const {pool} = await startWorld(t, answer);
  let connected = 0;
  while (connected === 0) {
    connected = await openAllUnread(pool, RELAYED_AT_ONCE);
  }
  let others = 0;
  for (let tries = 0; tries < 5 && others === 0; tries += 1) {
    others = await openAllUnread(pool, RELAYED_AT_ONCE);
  }
  t.true(others > 0);
});
