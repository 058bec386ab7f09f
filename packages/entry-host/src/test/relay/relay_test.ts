import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  Socket,
} from 'node:net';

import {TimerService} from '@basilworks/daemon';
import {ServerTable} from '@basilworks/dispatch';
import test, {type ExecutionContext} from 'ava';

import type {EntryHostContext} from '../../context.js';
import {RelayListener, RelaySessions, ServerDialer} from '../../relay/index.js';
import {
  type ConnectSocket,
  UpstreamError,
  UpstreamPool,
} from '../../upstream/index.js';
import {FleetSimulation, serverEntry} from '../views/fleet-simulation.js';

/** As many connections as a peer relays at once. */
const RELAYED = 256;

/** Memory of a small machine beside what an idle host uses, megabytes. */
const SMALL_MACHINE_MB = 150;

/** Bytes that the process holds, within and outside of the heap. */
const usedBytes = (): number => {
  const {heapUsed, external} = process.memoryUsage();
  return heapUsed + external;
};

const NOBODY: ConnectSocket = () => new Socket();
const REFUSED: ConnectSocket = () =>
  new Socket().destroy(
    Object.assign(new Error('refused'), {code: 'ECONNREFUSED'}),
  );

/** A server, a peer that relays to it, and the pool of a host that is cut. */
const startWorld = async (
  t: ExecutionContext,
  answer: (socket: Socket) => void,
  connectSocket: ConnectSocket = NOBODY,
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
  const probe = createServer();
  await listen(probe);
  const {port: relayPort} = probe.address() as AddressInfo;
  await new Promise((resolve) => probe.close(resolve));
  const relayAddress = `127.0.0.1:${relayPort}`;
  const peer = {...simulated.membership.self(), host: 'peer', relayAddress};
  const context = {
    ...simulated,
    timers,
    servers,
    membership: {live: () => [simulated.membership.self(), peer]},
  } as unknown as EntryHostContext;
  const listener = new RelayListener({...context, paths: simulated.paths});
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
    const {paths, clock} = world.context;
    t.true(paths.usesRelay(world.known.key, clock.now()));
  });
}

test('a server that has ended is refused for peers as well', async (t) => {
  const {dialer, known, server, context} = await startWorld(
    t,
    () => undefined,
    connect,
  );
  await new Promise((resolve) => server.close(resolve));
  t.is(await dialer.check(known), 'refused');
  t.false(context.paths.usesRelay(known.key, context.clock.now()));
});

// Guards against relayed bytes without end that nobody reads: the peer and the
// host that is cut hold the windows of their streams, not what the server sends.
test.serial(
  'hundreds of answers without end through a peer hold little memory',
  async (t) => {
    const piece = Buffer.alloc(65_536, 'x');
    let writtenBytes = 0;
    const {pool} = await startWorld(t, (socket) => {
      socket.write('HTTP/1.1 200 OK\r\nX-Id: r\r\n\r\n');
      const write = () => {
        while (!socket.destroyed) {
          writtenBytes += piece.length;
          if (!socket.write(piece)) {
            return;
          }
        }
      };
      socket.on('drain', write);
      write();
    });
    const before = usedBytes();
    for (let index = 0; index < RELAYED; index += 1) {
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
          },
          data: () => undefined,
          end: () => undefined,
          failed: () => undefined,
        },
      );
    }
    // No more is written once all windows and buffers are full.
    for (let earlierBytes = -1; earlierBytes < writtenBytes;) {
      earlierBytes = writtenBytes;
      await new Promise((resolve) => setTimeout(resolve, 500));
    }
    const usedMb = (usedBytes() - before) / 1_000_000;
    t.log(
      `${Math.round(usedMb)} MB of ${Math.round(writtenBytes / 1_000_000)}`,
    );
    t.true(usedMb < SMALL_MACHINE_MB);
  },
);
