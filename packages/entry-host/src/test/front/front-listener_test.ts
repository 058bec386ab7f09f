import {connect} from 'node:net';

import test from 'ava';

import type {EntryHostContext} from '../../context.js';
import {FrontListener} from '../../front/index.js';
import {FleetSimulation} from '../views/fleet-simulation.js';
import {HEADER_NAMES} from './header-names.js';

/** A listener without configuration, on a machine with little memory. */
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
  return {socket, answers, close};
};

const head = (id: string, bodyBytes: number): string =>
  `POST / HTTP/1.1\r\nHost: h\r\nX-Id: ${id}\r\n` +
  `Content-Length: ${bodyBytes}\r\n\r\n`;

test('a body that finds no memory is refused before it is sent', async (t) => {
  const {socket, answers, close} = await listen(0.01);
  socket.write(head('large', 10_000));
  const [refused = ''] = await answers(1);
  t.regex(refused, /^503 /);
  t.regex(refused, /\r\nRetry-After: \d/);
  // The connection goes on behind the body.
  socket.write('b'.repeat(10_000) + head('small', 1) + 'b');
  const [, other = ''] = await answers(2);
  t.regex(other, /^503 /);
  t.notRegex(other, /Retry-After/, 'it was read, and found no configuration');
  close();
});

test('a body for which there is memory is read', async (t) => {
  const {socket, answers, close} = await listen(1);
  socket.write(head('large', 10_000) + 'b'.repeat(10_000));
  const [other = ''] = await answers(1);
  t.notRegex(other, /Retry-After/);
  close();
});
