import {connect} from 'node:net';

import test from 'ava';

import type {EntryHostContext} from '../../context.js';
import {FrontListener} from '../../front/index.js';
import {FleetSimulation} from '../views/fleet-simulation.js';
import {HEADER_NAMES} from './header-names.js';

/** Starts a listener without a configuration, with the given memory. */
const listen = async (memoryMb: number) => {
  const fleet = new FleetSimulation(1);
  const {context} = fleet.startHost('h0');
  const front = new FrontListener(
    {
      ...context,
      settings: {...context.settings, machine: {memoryMb}},
      platform: {forwarding: {headers: HEADER_NAMES}},
    } as unknown as EntryHostContext,
    undefined as never,
    undefined as never,
    undefined as never,
  );
  const port = (await front.listen('127.0.0.1', 0))._unsafeUnwrap();
  const socket = connect({port, host: '127.0.0.1'});
  let received = '';
  socket.on('data', (bytes) => {
    received += bytes.toString('latin1');
  });
  const responses = async (count: number) => {
    while ((received.match(/HTTP\/1\.1 /g) ?? []).length < count) {
      await new Promise((resolve) => socket.once('data', resolve));
    }
    return received.split('HTTP/1.1 ').slice(1);
  };
  const close = () => {
    socket.destroy();
    front.close();
    fleet.close();
  };
  return {socket, responses, close};
};

const head = (id: string, bodyBytes: number): string =>
  `POST / HTTP/1.1\r\nHost: h\r\nX-Id: ${id}\r\n` +
  `Content-Length: ${bodyBytes}\r\n\r\n`;

test('rejects a body beyond the buffer budget before it is sent', async (t) => {
  const {socket, responses, close} = await listen(0.01);
  socket.write(head('large', 10_000));
  const [rejected = ''] = await responses(1);
  t.regex(rejected, /^503 /);
  t.regex(rejected, /\r\nRetry-After: \d/);
  // The connection is reused after the body.
  socket.write('b'.repeat(10_000) + head('small', 1) + 'b');
  const [, other = ''] = await responses(2);
  t.regex(other, /^503 /);
  t.notRegex(
    other,
    /Retry-After/,
    'the body was read; there is no configuration',
  );
  close();
});

test('reads a body that fits the buffer budget', async (t) => {
  const {socket, responses, close} = await listen(1);
  socket.write(head('large', 10_000) + 'b'.repeat(10_000));
  const [other = ''] = await responses(1);
  t.notRegex(other, /Retry-After/);
  close();
});
