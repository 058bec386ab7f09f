import {
  createServer,
  type Http2Server,
  type ServerHttp2Session,
} from 'node:http2';
import type {AddressInfo} from 'node:net';

import {systemClock, TimerService} from '@basilworks/daemon';
import test, {type ExecutionContext} from 'ava';

import {RelaySessions} from '../../relay/index.js';

const SERVER = {host: '127.0.0.1', port: 1};

/** A peer that accepts each stream, and the sessions of a host with it. */
const startPeer = async (t: ExecutionContext) => {
  const peer: Http2Server = createServer();
  const accepted: ServerHttp2Session[] = [];
  peer.on('session', (session) => {
    accepted.push(session);
    session.on('error', () => undefined);
  });
  peer.on('stream', (stream) => {
    stream.on('error', () => undefined);
    stream.respond({':status': 200});
  });
  await new Promise<void>((resolve) => {
    peer.listen(0, '127.0.0.1', resolve);
  });
  const {port} = peer.address() as AddressInfo;
  const timers = new TimerService();
  const sessions = new RelaySessions(timers, systemClock);
  t.teardown(() => {
    sessions.close();
    timers.close();
    for (const session of accepted) {
      session.destroy();
    }
    peer.close();
  });
  const open = () =>
    sessions.open(`127.0.0.1:${port}`, SERVER, new AbortController().signal);
  return {accepted, open};
};

// Guards against a peer that stops and ends the process of each host that
// connects to servers through it.
test('a peer that ends its session ends no host', async (t) => {
  const {accepted, open} = await startPeer(t);
  const first = await open();
  t.is(first.type, 'connected');
  // A session that is ending takes no new streams while others are open.
  accepted[0]?.goaway();
  await new Promise((resolve) => setTimeout(resolve, 100));
  const second = await open();
  t.is(second.type, 'connected');
  t.is(accepted.length, 2);
});
