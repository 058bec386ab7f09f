import {connect} from 'node:net';

import {RouteTable} from '@basilworks/dispatch';
import test from 'ava';

import type {EntryHostContext} from '../../context.js';
import {FrontListener, type ServerSelector} from '../../front/index.js';
import {ViewFleet} from '../views/view-fleet.js';
import {HEADER_NAMES} from './header-names.js';

const ROUTE = {
  name: 'r',
  host: 'h',
  pathPrefix: '/',
  kind: 'idempotent' as const,
  targets: [{service: 's', weight: 1}],
  timeoutMs: 2_000,
  latencyTargetMs: 500,
  priority: 0,
  maximumAttempts: 1,
  sticky: false,
  resumable: false,
};

const ROUTES = new RouteTable({
  version: 1,
  routes: [ROUTE],
  services: [{name: 's', healthPath: '/', maximumConnections: 1}],
  limits: {
    maximumHeaderBytes: 9_000,
    maximumBodyBytes: 90_000,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 3_000,
  },
});

/** A listener that chooses no server, on a machine with little memory. */
const listen = async (memoryMb: number) => {
  const fleet = new ViewFleet(1);
  const {context} = fleet.startHost('h0');
  const selected: string[] = [];
  const selector = {
    select: ({request}: {request: {id: string}}) => {
      selected.push(request.id);
      return Promise.resolve({type: 'none', reason: '', retryAfterMs: 0});
    },
  } as unknown as ServerSelector;
  const loop = {idle: 0, active: 0};
  const front = new FrontListener(
    {
      ...context,
      settings: {...context.settings, machine: {memoryMb}},
      platform: {forwarding: {headers: HEADER_NAMES}},
    } as unknown as EntryHostContext,
    undefined as never,
    selector,
    () => ({...loop}),
  );
  front.use(ROUTES, undefined, 1);
  /** Lets time pass in which the loop is idle for a share of it. */
  const pass = async (forMs: number, idleShare: number) => {
    const {time} = fleet;
    for (const endMs = time.nowMs + forMs; time.nowMs < endMs;) {
      loop.idle += 10 * idleShare;
      loop.active += 10 * (1 - idleShare);
      await time.advance(time.nowMs + 10);
    }
  };
  const port = (await front.listen('127.0.0.1', 0))._unsafeUnwrap();
  const socket = connect({port, host: '127.0.0.1'});
  let got = '';
  socket.on('data', (bytes) => {
    got += bytes.toString('latin1');
  });
  const answers = async (count: number) => {
    while ((got.match(/HTTP\/1\.1 /g) ?? []).length < count) {
      await new Promise((resolve) => socket.once('data', resolve));
    }
    return got.split('HTTP/1.1 ').slice(1);
  };
  const close = () => {
    socket.destroy();
    front.close();
    fleet.close();
  };
  return {socket, answers, close, pass, selected};
};

const head = (id: string, bodyBytes: number): string =>
  `POST / HTTP/1.1\r\nHost: h\r\nX-Id: ${id}\r\n` +
  `Content-Length: ${bodyBytes}\r\n\r\n`;

test('a body that finds no memory is refused before it is sent', async (t) => {
  const {socket, answers, close, selected} = await listen(0.01);
  socket.write(head('large', 10_000));
  const [refused = ''] = await answers(1);
  t.regex(refused, /^503 /);
  t.regex(refused, /\r\nRetry-After: \d/);
  // The connection goes on behind the body.
  socket.write('b'.repeat(10_000) + head('small', 1) + 'b');
  await answers(2);
  t.deepEqual(selected, ['small']);
  close();
});

test('a body for which there is memory is read', async (t) => {
  const {socket, answers, close, selected} = await listen(1);
  socket.write(head('large', 10_000) + 'b'.repeat(10_000));
  await answers(1);
  t.deepEqual(selected, ['large']);
  close();
});

test('a host that is short of processor refuses by the head alone', async (t) => {
  const {socket, answers, close, pass, selected} = await listen(210);
  await pass(6_000, 0.5);
  socket.write(head('calm', 0));
  await answers(1);
  await pass(400, 0);
  socket.write(head('short', 10));
  const [, refused = ''] = await answers(2);
  t.regex(refused, /^503 /);
  t.regex(refused, /\r\nRetry-After: \d/);
  socket.write('b'.repeat(10) + head('short too', 0));
  await answers(3);
  t.deepEqual(selected, ['calm']);
  await pass(100, 0.5);
  socket.write(head('calm again', 0));
  await answers(4);
  t.deepEqual(selected, ['calm', 'calm again']);
  close();
});
