import {
  connect,
  constants,
  createServer,
  type ServerHttp2Stream,
} from 'node:http2';
import {type AddressInfo, Socket} from 'node:net';

import {TimerService} from '@basilworks/daemon';
import {ServerPaths, ServerTable} from '@basilworks/dispatch';
import test, {type ExecutionContext} from 'ava';

import {RelayListener} from '../../relay/index.js';
import {RELAY_PATH} from '../../relay/relay-protocol.js';
import type {DialObserver} from '../../upstream/index.js';
import {FleetSimulation, serverEntry} from '../views/fleet-simulation.js';

/** A listener with one stream of a peer whose dial has not ended. */
const startRelay = async (t: ExecutionContext) => {
  const fleet = new FleetSimulation(1);
  const {context} = fleet.startHost('h0');
  const servers = new ServerTable();
  const at = context.clock.now();
  const entry = {...serverEntry('s'), host: '127.0.0.1', port: 9};
  servers.update([{entry, revision: 1}], undefined, at);
  let observer: DialObserver | undefined;
  const relay = {
    ...context,
    timers: new TimerService(),
    servers,
    paths: new ServerPaths(),
  };
  const server = createServer();
  const holdDial = () => (dialObserver: DialObserver) => {
    observer = dialObserver;
    return () => undefined;
  };
  const listener = new RelayListener(relay, holdDial, server);
  (await listener.listen('127.0.0.1', 0))._unsafeUnwrap();
  const opened = new Promise<ServerHttp2Stream>((resolve) => {
    server.once('stream', resolve);
  });
  const {port} = server.address() as AddressInfo;
  const peer = connect(`http://127.0.0.1:${port}`);
  peer.on('error', () => undefined);
  const request = peer.request({
    ':method': 'POST',
    ':path': `${RELAY_PATH}127.0.0.1:9`,
  });
  request.on('error', () => undefined);
  const stream = await opened;
  t.teardown(() => {
    peer.destroy();
    listener.close();
    fleet.close();
  });
  const dial = (): DialObserver => {
    if (observer === undefined) {
      throw new Error('nothing was dialled');
    }
    return observer;
  };
  return {stream, dial};
};

const FAILURE = {
  reason: 'unreachable',
  detail: 'refused',
  refused: true,
} as const;

/** How a stream is left before its dial ends, in the same turn. */
const LEFT: Record<string, (stream: ServerHttp2Stream) => void> = {
  closed: (stream) => {
    stream.close(constants.NGHTTP2_CANCEL);
  },
  destroyed: (stream) => {
    stream.destroy();
  },
  'ended with its session': (stream) => {
    stream.session?.destroy();
  },
  answered: (stream) => {
    stream.respond({':status': 200}, {endStream: true});
  },
};

// Guards against hosts that end by themselves: the peer gave its stream up as the
// dial of its relay ended, and the answer to a closed stream threw.
for (const [left, leave] of Object.entries(LEFT)) {
  test(`a dial that fails after its stream is ${left} ends nothing`, async (t) => {
    const {stream, dial} = await startRelay(t);
    leave(stream);
    t.notThrows(() => {
      dial().failed(FAILURE);
    });
  });

  test(`a dial that succeeds after its stream is ${left} ends nothing`, async (t) => {
    const {stream, dial} = await startRelay(t);
    leave(stream);
    const connection = new Socket();
    t.notThrows(() => {
      dial().connected({
        stream: connection,
        path: 'direct',
        confirmClose: () => undefined,
      });
    });
    t.true(connection.destroyed, 'nobody is left to use it');
  });
}
